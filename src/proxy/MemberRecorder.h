#pragma once

#include "proxy/GroupWatcher.h"
#include "proxy/MemberRecord.h"
#include "proxy/PromotionLease.h"

#include <optional>

namespace Auburnpost::Proxy {

/// Keeps track of the record of a group's members in the store, and decides when this host has to read or write it
/// apart from promotions. Every write of the row by a lease holder carries the record as well.
class MemberRecorder {
public:
    /// Time for which the members have to be unchanged before they are recorded, so that several changes cost one
    /// write. It is shorter than the time after which the record of a target expires.
    static constexpr Duration settleTime = std::chrono::seconds(1);
    /// Additional delay for each host that comes before this one in the order of recorders.
    static constexpr Duration rankDelay = std::chrono::seconds(5);
    /// Minimum interval between attempts, after a failed one or while a promotion is in progress.
    static constexpr Duration retryInterval = std::chrono::seconds(5);

    /// @return the members of the group as they should be recorded.
    [[nodiscard]] static MemberRecord describe(const GroupWatcher&);
    /// @return why the row has no usable record.
    [[nodiscard]] static MemberRecordProblem problemOf(const PromotionLeaseRow&);

    /// Sets the position of this host in the order of the hosts that record the members.
    /// @param rank zero for the first; empty if this host records members only as a lease holder.
    void setRank(std::optional<std::size_t> rank) { m_rank = rank; }
    /// Notes changes of the members.
    /// @return whether the row should be read now, and written if its record is not current.
    [[nodiscard]] bool isDue(Instant now, const GroupWatcher&);
    /// Stores what a read of the row found.
    /// @return whether the problem of the record differs from that of the last read.
    bool read(const PromotionLeaseRow&);
    /// @return whether the record that was last read or written has the members of the group.
    [[nodiscard]] bool isCurrent(const GroupWatcher&) const;
    /// Records that the row was found or brought up to date.
    void finish(const GroupWatcher&);
    /// Requests that the row is read again, as the store may have come back from a copy that lacks the record.
    void checkAgain() { m_mustCheck = true; }
    /// Postpones the next attempt.
    void postpone(Instant now) { m_retryAt = now + retryInterval; }
    /// Stores what this host wrote to the row.
    void written(RowVersion version, const MemberRecord& record);

    /// @return the record that was last read or written; empty if there was none that could be used.
    [[nodiscard]] const std::optional<MemberRecord>& known() const { return m_known; }
    /// @return the number of that record.
    [[nodiscard]] RowVersion version() const { return m_version; }
    [[nodiscard]] MemberRecordProblem problem() const { return m_problem; }
    /// @return since when the members have been unchanged.
    [[nodiscard]] Instant unchangedSince() const { return m_unchangedSince; }
    [[nodiscard]] Instant retryAt() const { return m_retryAt; }
    /// @return the term in which the row was last found or brought up to date.
    [[nodiscard]] Term checkedTerm() const { return m_checkedTerm; }

private:
    std::optional<std::size_t> m_rank;
    std::optional<MemberRecord> m_known;
    RowVersion m_version;
    MemberRecordProblem m_problem { MemberRecordProblem::None };
    Term m_checkedTerm;
    bool m_mustCheck { false };
    /// The members as of the last call of isDue().
    std::vector<RecordedMember> m_members;
    Instant m_unchangedSince {};
    Instant m_retryAt {};
};

} // namespace Auburnpost::Proxy
