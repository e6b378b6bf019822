#pragma once

#include "message/PlatformCall.h"
#include "proxy/PromotionLease.h"
#include "proxy/StoreTable.h"

#include <optional>

namespace Auburnpost::Platform {

// Calls to the platform's store and its promotion service. These functions return a call whose id is not set yet.

/// @param fromKey the first key of the page; empty to read from the start of the table.
PlatformCall makeTableReadCall(Proxy::StoreTable, const std::string& fromKey, Duration timeout);
/// Polls for changes after a version.
/// @param wait maximum time that the store waits for a change; the timeout must be longer.
PlatformCall makeTableFollowCall(Proxy::StoreTable, Proxy::RowVersion after, Duration wait, Duration timeout);
PlatformCall makeHostWriteCall(const HostName&, const std::string& value);
PlatformCall makeLeaseReadCall(const Proxy::GroupName&);
/// The lease is written only if its row still has the expected version; zero if there must be no row.
PlatformCall makeLeaseWriteCall(const Proxy::GroupName&, const Proxy::PromotionLease&, Proxy::RowVersion expected);
/// @param token the version of the lease's row, from which the fencing token is made.
PlatformCall makePromotionCall(
    const Proxy::GroupName&, const TargetName&, const HostName& holder, Proxy::RowVersion token, Duration timeout);

/// @return the page in a reply, or an error. For status 410 it is an empty page with isHistoryUnavailable set.
Expected<Proxy::StorePage> readPage(const Expected<PlatformReply>&);
/// @return the row of the group's promotion lease in a reply; its version is zero if there is no row.
Expected<Proxy::PromotionLeaseRow> readLeaseRow(const Proxy::GroupName&, const Expected<PlatformReply>&);
/// @return the new version of the row; empty if the row did not have the expected version.
Expected<std::optional<Proxy::RowVersion>> readLeaseWrite(const Expected<PlatformReply>&);
/// @return the outcome that the reply proves; Unanswered if the promotion may still take effect.
Proxy::PromotionOutcome readPromotionOutcome(const Expected<PlatformReply>&);

} // namespace Auburnpost::Platform
