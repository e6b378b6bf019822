#include "target/Target.h"

#include <unistd.h>

namespace Auburnpost::Standin {

namespace {

    constexpr int crashExitStatus = 70;

    LogEntry initialEntry(const TargetSettings& settings)
    {
        LogEntry entry { { Term(1), Position(1) }, {} };
        for (const std::string& statement : settings.schema)
            entry.statements.push_back({ statement, {} });
        return entry;
    }

    GroupState initialState(const TargetSettings& settings)
    {
        GroupState state { TargetRole::Replica, Term(1), {}, {}, settings.initialPrimary };
        if (settings.initialPrimary == settings.name)
            state = { TargetRole::Primary, Term(1), {}, Term(1), {} };
        return state;
    }

} // namespace

Target::Target(TargetSettings settings)
    : m_settings(std::move(settings))
    , m_file(m_settings.stateDirectory)
{
    if (const auto stored = m_file.read()) {
        m_group = { TargetRole::Fenced, stored->fencedTerm, stored->candidate, {}, {} };
        for (const LogEntry& entry : stored->entries)
            m_log.append(entry);
        m_file.rewrite(m_log.entries());
        m_store.rebuild(m_log.entries());
        return;
    }
    m_group = initialState(m_settings);
    m_file.rewrite({});
    m_file.writeFence(m_group.fencedTerm, m_group.candidate);
    const LogEntry entry = initialEntry(m_settings);
    m_store.apply(entry);
    append(entry);
}

TargetStatus Target::targetStatus() const
{
    return { m_group.fencedTerm, m_log.end(), m_group.role };
}

GroupStatus Target::status(bool accepted) const
{
    return { accepted, m_group.role, m_group.fencedTerm, m_log.end(), m_group.following, m_group.candidate };
}

GroupStatus Target::fence(Term term, const std::string& candidate)
{
    const GroupState before = m_group;
    const bool accepted = m_group.fence(term, candidate);
    handleGroupChange(before);
    return status(accepted);
}

GroupStatus Target::promote(Term term, const std::string& candidate)
{
    const GroupState before = m_group;
    const bool accepted = m_group.promote(term, candidate);
    if (accepted && before.role != TargetRole::Primary)
        append({ { term, Position(m_log.end().position.value() + 1) }, {} });
    handleGroupChange(before);
    return status(accepted);
}

GroupStatus Target::follow(Term term, const TargetName& primary)
{
    const GroupState before = m_group;
    const bool accepted = m_settings.members.contains(primary) && m_group.follow(term, primary, m_settings.name);
    handleGroupChange(before);
    return status(accepted);
}

SqlExpected<QueryResult> Target::write(const SqlCommand& command)
{
    if (m_group.role != TargetRole::Primary)
        return makeSqlError(SqlState::readOnly, "the target is not primary");
    return m_store.write(command);
}

SqlExpected<LogPoint> Target::commit(Term writeTerm)
{
    if (m_faults.crash == CrashPoint::BeforeCommit)
        _exit(crashExitStatus);
    if (m_group.role != TargetRole::Primary || m_group.leadingTerm != writeTerm) {
        rollback();
        return makeSqlError(SqlState::readOnly, "the target is no longer primary in the transaction's term");
    }
    const LogPoint point { m_group.leadingTerm, Position(m_log.end().position.value() + 1) };
    LogEntry entry { point, m_store.openStatements() };
    m_store.commit();
    append(std::move(entry));
    ++counters.commits;
    m_lastCommit = point;
    if (m_faults.crash == CrashPoint::AfterCommit)
        _exit(crashExitStatus);
    changed.emit();
    return point;
}

void Target::rollback()
{
    m_store.rollback();
}

void Target::recordReplicaProgress(const LogPoint& applied) const
{
    if (m_faults.crash == CrashPoint::AfterShip && m_lastCommit != LogPoint {} && applied.covers(m_lastCommit))
        _exit(crashExitStatus);
}

bool Target::acceptLeader(Term term)
{
    const GroupState before = m_group;
    const bool accepted = m_group.acceptLeader(term);
    handleGroupChange(before);
    return accepted;
}

void Target::replicate(LogEntry entry)
{
    m_store.apply(entry);
    append(std::move(entry));
    changed.emit();
}

void Target::truncate(const LogPoint& last)
{
    m_log.truncate(last.position);
    m_file.rewrite(m_log.entries());
    m_store.rebuild(m_log.entries());
    changed.emit();
}

void Target::setFaults(FaultPlan faults)
{
    m_faults = std::move(faults);
    m_lastCommit = {};
    faultsChanged.emit();
}

void Target::append(LogEntry entry)
{
    m_file.append(entry);
    m_log.append(std::move(entry));
}

void Target::handleGroupChange(const GroupState& before)
{
    if (before == m_group)
        return;
    if (before.fencedTerm != m_group.fencedTerm || before.candidate != m_group.candidate)
        m_file.writeFence(m_group.fencedTerm, m_group.candidate);
    if (before.role == TargetRole::Primary && m_group.role != TargetRole::Primary)
        rollback();
    changed.emit();
}

} // namespace Auburnpost::Standin
