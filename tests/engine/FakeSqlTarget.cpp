#include "engine/FakeSqlTarget.h"

#include <algorithm>

namespace Auburnpost {

namespace {

    constexpr Duration lockTimeout = std::chrono::seconds(2);

    std::uint64_t number(const SqlValue& value)
    {
        return std::stoull(*value);
    }

} // namespace

FakeSqlTarget::FakeSqlTarget(TargetName name)
    : m_name(std::move(name))
{
}

void FakeSqlTarget::bootstrap()
{
    m_fencedTerm = Term(1);
    m_role = TargetRole::Primary;
    m_log.push_back({ Term(1), {} });
}

LogPoint FakeSqlTarget::end() const
{
    return m_log.empty() ? LogPoint {} : LogPoint { m_log.back().term, Position(m_log.size()) };
}

void FakeSqlTarget::connect(ConnectionId connection)
{
    m_sessions[connection] = {};
}

void FakeSqlTarget::disconnect(ConnectionId connection)
{
    m_sessions.erase(connection);
    m_lockWaits.remove_if([connection](const auto& pending) { return pending.command.connection == connection; });
    m_groupWaits.remove_if([connection](const auto& wait) { return wait.pending.command.connection == connection; });
    releaseLock(connection);
}

void FakeSqlTarget::restart()
{
    m_sessions.clear();
    m_lockWaits.clear();
    m_groupWaits.clear();
    m_lock.reset();
    m_role = TargetRole::Fenced;
    m_following = TargetName();
}

void FakeSqlTarget::execute(Instant now, const TargetCommand& command, Reply reply)
{
    if (!m_sessions.contains(command.connection))
        return;
    PendingCommand pending { command, std::move(reply), now, 0, {} };
    pending.answer.connection = command.connection;
    pending.answer.command = command.command;
    run(now, std::move(pending));
    resumeLockWaits(now);
    answerWaits(now);
}

void FakeSqlTarget::run(Instant now, PendingCommand pending)
{
    while (pending.next < pending.command.statements.size()) {
        auto& session = m_sessions[pending.command.connection];
        switch (executeStatement(now, pending, session)) {
        case StepResult::Done:
            ++pending.next;
            continue;
        case StepResult::Fault:
            session.failed = session.inTransaction;
            finish(pending);
            return;
        case StepResult::LockWait:
            m_lockWaits.push_back(std::move(pending));
            return;
        case StepResult::Held:
            return;
        }
    }
    // Outside a transaction the command is a transaction of its own.
    auto& session = m_sessions[pending.command.connection];
    if (!session.inTransaction && !session.changes.empty())
        commit(pending, session);
    finish(pending);
}

void FakeSqlTarget::finish(PendingCommand& pending)
{
    auto& session = m_sessions[pending.command.connection];
    if (!session.inTransaction) {
        session.changes.clear();
        releaseLock(pending.command.connection);
    }
    pending.answer.targetStatus = targetStatus();
    pending.reply(std::move(pending.answer));
}

FakeSqlTarget::StepResult FakeSqlTarget::fault(PendingCommand& pending, std::string_view sqlState)
{
    pending.answer.fault = TargetFault { std::string(sqlState), "refused" };
    return StepResult::Fault;
}

FakeSqlTarget::StepResult FakeSqlTarget::executeStatement(Instant now, PendingCommand& pending, Session& session)
{
    const auto& statement = pending.command.statements[pending.next];
    const auto& sql = statement.sql;
    if (sql == "ROLLBACK") {
        session = {};
        releaseLock(pending.command.connection);
        pending.answer.results.emplace_back();
        return StepResult::Done;
    }
    if (session.failed)
        return fault(pending, "25P02");
    if (sql.starts_with("BEGIN")) {
        session.inTransaction = true;
        session.readOnly = sql == "BEGIN READ ONLY";
        pending.answer.results.emplace_back();
        return StepResult::Done;
    }
    if (sql == "COMMIT")
        return commit(pending, session);
    if (sql.starts_with("SELECT * FROM group_"))
        return executeGroupOperation(now, pending, statement);
    if (sql.starts_with("INSERT INTO facts"))
        return write(pending, session, { FakeChange::Kind::Fact, *statement.parameters[0], "", {} });
    if (sql.starts_with("INSERT INTO auburnpost_outcomes")) {
        const bool isCancellation = sql.find("''") != std::string::npos;
        FakeChange record { FakeChange::Kind::InsertOutcome, *statement.parameters[0],
            isCancellation ? "" : *statement.parameters[1], {} };
        if (isCancellation)
            record.result = statement.parameters[1];
        return write(pending, session, std::move(record));
    }
    if (sql.starts_with("UPDATE auburnpost_outcomes"))
        return write(pending, session,
            { FakeChange::Kind::CompleteOutcome, *statement.parameters[0], "", statement.parameters[1] });
    auto& result = pending.answer.results.emplace_back();
    if (sql.starts_with("SELECT request_hash")) {
        const auto found = m_outcomes.find(*statement.parameters[0]);
        if (found != m_outcomes.end())
            result.rows.push_back({ found->second.requestHash, found->second.result });
        return StepResult::Done;
    }
    for (const auto& fact : m_facts)
        result.rows.push_back({ fact });
    return StepResult::Done;
}

bool FakeSqlTarget::isKeyTaken(const Session& session, const std::string& key) const
{
    return m_outcomes.contains(key)
        || std::any_of(session.changes.begin(), session.changes.end(), [&key](const auto& change) {
               return change.kind == FakeChange::Kind::InsertOutcome && change.name == key;
           });
}

FakeSqlTarget::StepResult FakeSqlTarget::write(PendingCommand& pending, Session& session, FakeChange change)
{
    if (m_role != TargetRole::Primary || session.readOnly)
        return fault(pending, "25006");
    if (m_lock && *m_lock != pending.command.connection)
        return StepResult::LockWait;
    m_lock = pending.command.connection;
    if (change.kind == FakeChange::Kind::InsertOutcome && isKeyTaken(session, change.name))
        return fault(pending, "23505");
    session.changes.push_back(std::move(change));
    pending.answer.results.emplace_back().rowsAffected = 1;
    return StepResult::Done;
}

FakeSqlTarget::StepResult FakeSqlTarget::commit(PendingCommand& pending, Session& session)
{
    if (!session.changes.empty() && m_role != TargetRole::Primary) {
        session = {};
        releaseLock(pending.command.connection);
        return fault(pending, "25006");
    }
    if (!session.changes.empty()) {
        m_log.push_back({ end().term, std::move(session.changes) });
        apply(m_log.back());
    }
    session = {};
    releaseLock(pending.command.connection);
    pending.answer.results.emplace_back();
    return StepResult::Done;
}

void FakeSqlTarget::releaseLock(ConnectionId connection)
{
    if (m_lock == connection)
        m_lock.reset();
}

void FakeSqlTarget::resumeLockWaits(Instant now)
{
    while (!m_lock && !m_lockWaits.empty()) {
        auto pending = std::move(m_lockWaits.front());
        m_lockWaits.pop_front();
        run(now, std::move(pending));
    }
}

void FakeSqlTarget::expireWaits(Instant now)
{
    for (auto pending = m_lockWaits.begin(); pending != m_lockWaits.end();) {
        if (now - pending->arrivedAt < lockTimeout) {
            ++pending;
            continue;
        }
        auto expired = std::move(*pending);
        pending = m_lockWaits.erase(pending);
        fault(expired, "55P03");
        m_sessions[expired.command.connection].failed = m_sessions[expired.command.connection].inTransaction;
        finish(expired);
    }
    resumeLockWaits(now);
    answerWaits(now);
}

GroupStatus FakeSqlTarget::groupStatus(bool accepted) const
{
    return { accepted, m_role, m_fencedTerm, end(), m_following, m_candidate };
}

void FakeSqlTarget::addStatus(PendingCommand& pending, bool accepted)
{
    const auto current = groupStatus(accepted);
    pending.answer.results.push_back({ {},
        { { accepted ? "t" : "f", std::string(toString(current.role)), std::to_string(current.fencedTerm.value()),
            std::to_string(current.end.term.value()), std::to_string(current.end.position.value()),
            current.following.value(), current.candidate } },
        0 });
}

FakeSqlTarget::StepResult FakeSqlTarget::executeGroupOperation(
    Instant now, PendingCommand& pending, const Statement& statement)
{
    const auto& sql = statement.sql;
    const auto& values = statement.parameters;
    if (sql.find("group_wait") != std::string::npos) {
        const LogPoint point { Term(number(values[0])), Position(number(values[1])) };
        const auto deadline = now + std::chrono::milliseconds(number(values[2]));
        m_groupWaits.push_back({ std::move(pending), point, deadline });
        return StepResult::Held;
    }
    bool accepted = true;
    if (sql.find("group_fence") != std::string::npos)
        accepted = fence(Term(number(values[0])), *values[1]);
    else if (sql.find("group_promote") != std::string::npos)
        accepted = promote(Term(number(values[0])), *values[1]);
    else if (sql.find("group_follow") != std::string::npos)
        accepted = follow(Term(number(values[0])), TargetName(*values[1]));
    addStatus(pending, accepted);
    return StepResult::Done;
}

void FakeSqlTarget::answerWaits(Instant now)
{
    for (auto wait = m_groupWaits.begin(); wait != m_groupWaits.end();) {
        const bool covered = end().covers(wait->point);
        if (!covered && now < wait->deadline) {
            ++wait;
            continue;
        }
        auto ended = std::move(*wait);
        wait = m_groupWaits.erase(wait);
        addStatus(ended.pending, covered);
        finish(ended.pending);
    }
}

bool FakeSqlTarget::fence(Term term, const std::string& candidate)
{
    if (term < m_fencedTerm || (term == m_fencedTerm && candidate != m_candidate))
        return false;
    if (term > m_fencedTerm) {
        m_fencedTerm = term;
        m_candidate = candidate;
        m_role = m_role == TargetRole::Primary ? TargetRole::Fenced : m_role;
        m_following = TargetName();
    }
    return true;
}

bool FakeSqlTarget::promote(Term term, const std::string& candidate)
{
    if (term != m_fencedTerm || candidate != m_candidate)
        return false;
    if (m_role == TargetRole::Primary)
        return true;
    m_role = TargetRole::Primary;
    if (m_promotedFor != candidate)
        m_log.push_back({ term, {} });
    m_promotedFor = candidate;
    return true;
}

bool FakeSqlTarget::follow(Term term, const TargetName& primary)
{
    if (term < m_fencedTerm || primary == m_name || (m_role == TargetRole::Primary && end().term == term))
        return false;
    m_fencedTerm = term;
    m_role = TargetRole::Replica;
    m_following = primary;
    return true;
}

void FakeSqlTarget::replicate(
    Instant now, const TargetName& from, Term term, std::size_t prefix, const std::vector<FakeLogEntry>& entries)
{
    if (m_role != TargetRole::Replica || m_following != from || term < m_fencedTerm || m_log.size() < prefix)
        return;
    m_fencedTerm = term;
    // A log of the same term that is no longer than this one was sent earlier.
    if (end().term == term && m_log.size() >= prefix + entries.size())
        return;
    const auto kept = m_log.begin() + static_cast<std::ptrdiff_t>(prefix);
    const auto known = static_cast<std::size_t>(m_log.end() - kept);
    const bool extends = known <= entries.size() && std::equal(kept, m_log.end(), entries.begin());
    m_log.erase(kept, m_log.end());
    m_log.insert(m_log.end(), entries.begin(), entries.end());
    if (!extends) {
        rebuild();
    } else {
        for (auto index = prefix + known; index < m_log.size(); ++index)
            apply(m_log[index]);
    }
    answerWaits(now);
}

void FakeSqlTarget::rebuild()
{
    m_facts.clear();
    m_outcomes.clear();
    for (const auto& entry : m_log)
        apply(entry);
}

void FakeSqlTarget::apply(const FakeLogEntry& entry)
{
    for (const auto& change : entry.changes) {
        switch (change.kind) {
        case FakeChange::Kind::Fact:
            m_facts.push_back(change.name);
            break;
        case FakeChange::Kind::InsertOutcome:
            m_outcomes[change.name] = { change.requestHash, change.result };
            break;
        case FakeChange::Kind::CompleteOutcome:
            m_outcomes[change.name].result = change.result;
            break;
        }
    }
}

std::map<std::string, int> FakeSqlTarget::factCounts() const
{
    std::map<std::string, int> counts;
    for (const auto& fact : m_facts)
        ++counts[fact];
    return counts;
}

} // namespace Auburnpost
