#pragma once

#include "base/Expected.h"
#include "proxy/PromotionLease.h"

#include <string>
#include <string_view>

namespace Auburnpost::Proxy {

/// @return the lease as the value of a row.
std::string encodePromotionLease(const PromotionLease&);
/// @return the lease, or ErrorCode::BadMessage.
Expected<PromotionLease> decodePromotionLease(std::string_view value);

} // namespace Auburnpost::Proxy
