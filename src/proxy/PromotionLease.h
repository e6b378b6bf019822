#pragma once

#include "proxy/Ids.h"

#include <cstdint>
#include <optional>

namespace Auburnpost::Proxy {

/// Grants one host the right to replace the primary of one group; stored as a row of the platform's store. The row's
/// version is the fencing token: it is unique and increases with each lease.
struct PromotionLease {
    HostName holder;
    /// When the lease expires, on the store's steady clock in milliseconds.
    std::uint64_t expiresAtMs { 0 };
};

/// A lease as read from the store.
struct PromotionLeaseRow {
    /// Zero when there is no row.
    RowVersion version;
    std::optional<PromotionLease> lease;
    /// The store's steady clock at the time of its answer, in milliseconds.
    std::uint64_t storeNowMs { 0 };
};

/// Outcome of a promotion call to the platform.
enum class PromotionOutcome : std::uint8_t {
    Accepted,
    /// The target is not running.
    NotRunning,
    /// The call was not sent, or was refused without effect.
    NotDone,
    /// The call was refused for another reason or not answered: it may still take effect.
    Unanswered,
};

} // namespace Auburnpost::Proxy
