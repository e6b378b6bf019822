#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"
#include "proxy/MemberRecord.h"

#include <cstdint>
#include <optional>

namespace Auburnpost::Proxy {

/// A promotion that a lease holder has called for, or is about to call for. The platform may carry it out seconds
/// later.
struct PendingPromotion {
    TargetName candidate;
    /// Term of the primary that is to be replaced.
    Term replacedTerm;
    /// When it was recorded, on the store's steady clock in milliseconds.
    std::uint64_t recordedAtMs { 0 };
    /// Whether an earlier call, which may also still take effect, was pending then.
    bool isRepeated { false };
};

/// Grants one host the right to replace the primary of one group; stored as a row of the platform's store. The row's
/// version is the fencing token: it is unique and increases with each write.
struct PromotionLease {
    HostName holder;
    /// When the lease expires, on the store's steady clock in milliseconds.
    std::uint64_t expiresAtMs { 0 };
    /// The group's last promotion that may still take effect; empty when there is none.
    std::optional<PendingPromotion> pending;
    /// The members that may hold an acknowledged commit; empty when there is no record that can be used.
    std::optional<MemberRecord> members {};
    /// Why there is none.
    MemberRecordProblem membersProblem { MemberRecordProblem::Missing };
    /// The highest term whose primary the holder may replace under the lease; zero if it replaces none. Empty when the
    /// holder does not know the term.
    std::optional<Term> replacedTerm {};
    /// The highest term whose primary an earlier call may have replaced without a trace in the rest of the row; zero if
    /// there is none. Empty when a host of an earlier version wrote the row.
    std::optional<Term> unresolvedTerm {};
};

/// A lease as read from the store.
struct PromotionLeaseRow {
    /// Zero when there is no row.
    RowVersion version;
    std::optional<PromotionLease> lease;
    /// The store's steady clock at the time of its answer, in milliseconds.
    std::uint64_t storeNowMs { 0 };
};

/// A read of the lease's row, and when it was answered.
struct LeaseReading {
    PromotionLeaseRow row;
    Instant at;
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
