#pragma once

#include "base/Expected.h"
#include "limit/AllotmentMessage.h"

#include <string>
#include <string_view>

namespace Auburnpost::Limit {

/// Maximum number of organisations in a message, which keeps a datagram below 1,400 bytes.
constexpr std::size_t maxAllotmentEntries = 80;

/// @return the message as a datagram.
std::string encode(const AllotmentBody&);
/// @return the message of a datagram, or ErrorCode::BadMessage for one in another format.
Expected<AllotmentBody> decodeAllotment(std::string_view datagram);

} // namespace Auburnpost::Limit
