#pragma once

#include "base/Expected.h"
#include "proxy/PromotionLease.h"
#include "proxy/StoreTable.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace Auburnpost::Proxy {

/// What a call to the store does.
enum class StoreCallKind : std::uint8_t { Read, Poll, Write };

enum class StoreCallOutcome : std::uint8_t {
    /// A read that was answered, or a write that was done.
    Done,
    /// A long poll that returned changes.
    Changed,
    /// A long poll that ended without a change.
    Unchanged,
    /// The store no longer has the changes after the requested version.
    HistoryLost,
    /// A conditional write that was not done because the row had another version.
    Conflict,
    /// The store answered with an error, or with something that could not be read.
    Refused,
    Unanswered,
};

/// Counts the calls of this host to the store by table, kind and outcome, for the metrics.
class StoreCallCounts {
public:
    /// The table of the promotion leases, which is not followed and so not a StoreTable.
    static constexpr std::string_view leaseTable = "leases";

    void recordRead(StoreTable, const Expected<StorePage>&);
    void recordPoll(StoreTable, const Expected<StorePage>&);
    void recordHostWrite(const Expected<bool>& isDone);
    void recordLeaseRead(const Expected<PromotionLeaseRow>&);
    void recordLeaseWrite(const Expected<std::optional<RowVersion>>&);

    /// @return one line for each combination that occurred, such as "store_calls_targets_poll_changed count=3".
    [[nodiscard]] std::string dump() const;

private:
    void record(std::string_view table, StoreCallKind, StoreCallOutcome);

    std::map<std::tuple<std::string_view, StoreCallKind, StoreCallOutcome>, std::uint64_t> m_counts;
};

} // namespace Auburnpost::Proxy
