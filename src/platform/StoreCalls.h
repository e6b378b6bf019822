#pragma once

#include "message/PlatformCall.h"
#include "proxy/PromotionLease.h"
#include "proxy/StoreTable.h"

#include <optional>

namespace Auburnpost::Platform {

/// Calls to the platform's store and its promotion service. These functions return a call whose id is not set yet.
PlatformCall makeTableReadCall(Proxy::StoreTable, const std::string& fromKey);
PlatformCall makeTableFollowCall(Proxy::StoreTable, Proxy::RowVersion after, Duration wait, Duration timeout);
PlatformCall makeHostWriteCall(const HostName&, const std::string& value);
PlatformCall makeLeaseReadCall(const Proxy::GroupName&);
PlatformCall makeLeaseWriteCall(const Proxy::GroupName&, const Proxy::PromotionLease&, Proxy::RowVersion expected);
PlatformCall makePromotionCall(
    const Proxy::GroupName&, const TargetName&, const HostName& holder, Proxy::RowVersion token, Duration timeout);

/// @return the page in a reply, or an error.
Expected<Proxy::StorePage> readPage(const Expected<PlatformReply>&);
/// @return the row of the group's promotion lease in a reply; its version is zero if there is no row.
Expected<Proxy::PromotionLeaseRow> readLeaseRow(const Proxy::GroupName&, const Expected<PlatformReply>&);
/// @return the new version of the row; empty if the row did not have the expected version.
Expected<std::optional<Proxy::RowVersion>> readLeaseWrite(const Expected<PlatformReply>&);
Proxy::PromotionOutcome readPromotionOutcome(const Expected<PlatformReply>&);

} // namespace Auburnpost::Platform
