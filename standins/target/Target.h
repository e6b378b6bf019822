#pragma once

#include "common/FaultPlan.h"
#include "message/GroupCommand.h"
#include "message/TargetCommand.h"
#include "target/GroupLog.h"
#include "target/GroupState.h"
#include "target/StateFile.h"
#include "target/Store.h"
#include "target/TargetSettings.h"

#include <sigc++/signal.h>

namespace Auburnpost::Standin {

/// Counters of a target since its start.
struct TargetCounters {
    std::uint64_t statements { 0 };
    std::uint64_t commits { 0 };
    std::uint64_t refusedConnections { 0 };
    std::uint64_t peakConnections { 0 };
    std::uint64_t peakSlots { 0 };
};

/// A server of a database group: log, data, role and active faults.
class Target {
public:
    explicit Target(TargetSettings);

    [[nodiscard]] const TargetSettings& settings() const { return m_settings; }
    [[nodiscard]] const GroupState& group() const { return m_group; }
    [[nodiscard]] const GroupLog& log() const { return m_log; }
    [[nodiscard]] TargetStatus targetStatus() const;
    [[nodiscard]] GroupStatus status(bool accepted) const;
    Store& store() { return m_store; }

    GroupStatus fence(Term, const std::string& candidate);
    GroupStatus promote(Term, const std::string& candidate);
    GroupStatus follow(Term, const TargetName& primary);

    /// Runs a statement of the open write transaction.
    SqlExpected<QueryResult> write(const SqlCommand&);
    /// Commits the open write transaction and appends it to the log.
    /// @param writeTerm the term in which the transaction first wrote.
    /// @return the log point of the entry, or SQLSTATE 25006 when the target is no longer primary in that term.
    SqlExpected<LogPoint> commit(Term writeTerm);
    void rollback();
    /// Reports that a replica has applied the log up to @p applied. Exits the process if the fault
    /// CrashPoint::AfterShip waits for that.
    void recordReplicaProgress(const LogPoint& applied) const;

    /// Records the term of the followed primary.
    /// @return whether entries of that primary may be appended.
    bool acceptLeader(Term);
    /// Applies and appends an entry of the followed primary.
    void replicate(LogEntry);
    /// Removes the entries after @p last, which the primary does not have.
    void truncate(const LogPoint& last);

    void setFaults(FaultPlan);
    [[nodiscard]] const FaultPlan& faults() const { return m_faults; }

    TargetCounters counters;
    bool leaving { false };
    /// Emitted when the log, the role or the term has changed.
    sigc::signal<void()> changed;
    sigc::signal<void()> faultsChanged;

private:
    void append(LogEntry);
    /// Handles a difference between @p before and the group state: persists a new fence, rolls back the write
    /// transaction of a replaced primary, and emits changed.
    void handleGroupChange(const GroupState& before);

    TargetSettings m_settings;
    GroupState m_group;
    GroupLog m_log;
    Store m_store;
    StateFile m_file;
    FaultPlan m_faults;
    LogPoint m_lastCommit;
};

} // namespace Auburnpost::Standin
