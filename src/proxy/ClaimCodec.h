#pragma once

#include "base/Expected.h"
#include "proxy/Claim.h"

#include <string>
#include <string_view>

namespace Auburnpost::Proxy {

/// @return the lease as the value of a row.
std::string encodeClaim(const Claim&);
/// @return the lease, or ErrorCode::BadMessage.
Expected<Claim> decodeClaim(std::string_view value);

} // namespace Auburnpost::Proxy
