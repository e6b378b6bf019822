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

/// What a target counted since it started.
struct TargetCounters {
    std::uint64_t statements { 0 };
    std::uint64_t commits { 0 };
    std::uint64_t refusedConnections { 0 };
    std::uint64_t peakConnections { 0 };
    std::uint64_t peakSlots { 0 };
};

/// One server of a database group: its log, its data, its role and the faults in force.
class Target {
public:
    explicit Target(TargetSettings);

    [[nodiscard]] const TargetSettings& settings() const { return m_settings; }
    [[nodiscard]] const GroupState& group() const { return m_group; }
    [[nodiscard]] const GroupLog& log() const { return m_log; }
    [[nodiscard]] TargetStatus standing() const;
    [[nodiscard]] GroupStatus status(bool accepted) const;
    Store& store() { return m_store; }

    GroupStatus fence(Term, const std::string& candidate);
    GroupStatus promote(Term, const std::string& candidate);
    GroupStatus follow(Term, const TargetName& primary);

    /// Runs a statement of the open write transaction.
    SqlExpected<QueryResult> write(const SqlCommand&);
    /// Ends the open write transaction with an entry of the log.
    /// @param startedIn the term in which the transaction first wrote.
    /// @return the entry's place, or 25006 when the target is no longer primary in that term.
    SqlExpected<LogPoint> commit(Term startedIn);
    void rollback();
    /// Notes that a replica holds the log up to @p applied, for the fault that waits for it.
    void noteShipped(const LogPoint& applied) const;

    /// Notes the term of the primary that it follows. @return whether its entries may be taken.
    bool acceptLeader(Term);
    /// Takes an entry of the primary that it follows.
    void replicate(LogEntry);
    /// Drops the entries behind @p last, which the primary does not hold.
    void truncate(const LogPoint& last);

    void setFaults(FaultPlan);
    [[nodiscard]] const FaultPlan& faults() const { return m_faults; }

    TargetCounters counters;
    bool leaving { false };
    /// The log, the role or the term changed.
    sigc::signal<void()> changed;
    sigc::signal<void()> faultsChanged;

private:
    void append(LogEntry);
    void changeGroup(const GroupState& before);

    TargetSettings m_settings;
    GroupState m_group;
    GroupLog m_log;
    Store m_store;
    StateFile m_file;
    FaultPlan m_faults;
    LogPoint m_lastCommit;
};

} // namespace Auburnpost::Standin
