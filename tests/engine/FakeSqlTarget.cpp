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
    m_fenced = Term(1);
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
    m_lockWaits.remove_if([connection](const auto& flight) { return flight.command.connection == connection; });
    m_waits.remove_if([connection](const auto& wait) { return wait.flight.command.connection == connection; });
    releaseLock(connection);
}

void FakeSqlTarget::restart()
{
    m_sessions.clear();
    m_lockWaits.clear();
    m_waits.clear();
    m_lock.reset();
    m_role = TargetRole::Fenced;
    m_following = TargetName();
}

void FakeSqlTarget::execute(Instant now, const TargetCommand& command, Reply reply)
{
    if (!m_sessions.contains(command.connection))
        return;
    Flight flight { command, std::move(reply), now, 0, {} };
    flight.answer.connection = command.connection;
    flight.answer.command = command.command;
    run(now, std::move(flight));
    runLockWaits(now);
    settleWaits(now);
}

void FakeSqlTarget::run(Instant now, Flight flight)
{
    while (flight.next < flight.command.statements.size()) {
        auto& session = m_sessions[flight.command.connection];
        switch (executeStatement(now, flight, session)) {
        case Step::Done:
            ++flight.next;
            continue;
        case Step::Fault:
            session.failed = session.inTransaction;
            finish(flight);
            return;
        case Step::LockWait:
            m_lockWaits.push_back(std::move(flight));
            return;
        case Step::Held:
            return;
        }
    }
    // Outside a transaction the flight is one of its own.
    auto& session = m_sessions[flight.command.connection];
    if (!session.inTransaction && !session.changes.empty())
        commit(flight, session);
    finish(flight);
}

void FakeSqlTarget::finish(Flight& flight)
{
    auto& session = m_sessions[flight.command.connection];
    if (!session.inTransaction) {
        session.changes.clear();
        releaseLock(flight.command.connection);
    }
    flight.answer.standing = standing();
    flight.reply(std::move(flight.answer));
}

FakeSqlTarget::Step FakeSqlTarget::fault(Flight& flight, std::string_view sqlState)
{
    flight.answer.fault = TargetFault { std::string(sqlState), "refused" };
    return Step::Fault;
}

FakeSqlTarget::Step FakeSqlTarget::executeStatement(Instant now, Flight& flight, Session& session)
{
    const auto& statement = flight.command.statements[flight.next];
    const auto& sql = statement.sql;
    if (sql == "ROLLBACK") {
        session = {};
        releaseLock(flight.command.connection);
        flight.answer.results.emplace_back();
        return Step::Done;
    }
    if (session.failed)
        return fault(flight, "25P02");
    if (sql.starts_with("BEGIN")) {
        session.inTransaction = true;
        session.readOnly = sql == "BEGIN READ ONLY";
        flight.answer.results.emplace_back();
        return Step::Done;
    }
    if (sql == "COMMIT")
        return commit(flight, session);
    if (sql.starts_with("SELECT * FROM group_"))
        return groupCall(now, flight, statement);
    if (sql.starts_with("INSERT INTO facts"))
        return write(flight, session, { FakeChange::Kind::Fact, *statement.parameters[0], "", {} });
    if (sql.starts_with("INSERT INTO auburnpost_outcomes")) {
        const bool cancels = sql.find("''") != std::string::npos;
        FakeChange claim { FakeChange::Kind::Claim, *statement.parameters[0], cancels ? "" : *statement.parameters[1],
            {} };
        if (cancels)
            claim.result = statement.parameters[1];
        return write(flight, session, std::move(claim));
    }
    if (sql.starts_with("UPDATE auburnpost_outcomes"))
        return write(
            flight, session, { FakeChange::Kind::Complete, *statement.parameters[0], "", statement.parameters[1] });
    auto& result = flight.answer.results.emplace_back();
    if (sql.starts_with("SELECT request_hash")) {
        const auto found = m_outcomes.find(*statement.parameters[0]);
        if (found != m_outcomes.end())
            result.rows.push_back({ found->second.requestHash, found->second.result });
        return Step::Done;
    }
    for (const auto& fact : m_facts)
        result.rows.push_back({ fact });
    return Step::Done;
}

bool FakeSqlTarget::keyTaken(const Session& session, const std::string& key) const
{
    return m_outcomes.contains(key)
        || std::any_of(session.changes.begin(), session.changes.end(),
            [&key](const auto& change) { return change.kind == FakeChange::Kind::Claim && change.name == key; });
}

FakeSqlTarget::Step FakeSqlTarget::write(Flight& flight, Session& session, FakeChange change)
{
    if (m_role != TargetRole::Primary || session.readOnly)
        return fault(flight, "25006");
    if (m_lock && *m_lock != flight.command.connection)
        return Step::LockWait;
    m_lock = flight.command.connection;
    if (change.kind == FakeChange::Kind::Claim && keyTaken(session, change.name))
        return fault(flight, "23505");
    session.changes.push_back(std::move(change));
    flight.answer.results.emplace_back().rowsAffected = 1;
    return Step::Done;
}

FakeSqlTarget::Step FakeSqlTarget::commit(Flight& flight, Session& session)
{
    if (!session.changes.empty() && m_role != TargetRole::Primary) {
        session = {};
        releaseLock(flight.command.connection);
        return fault(flight, "25006");
    }
    if (!session.changes.empty()) {
        m_log.push_back({ end().term, std::move(session.changes) });
        apply(m_log.back());
    }
    session = {};
    releaseLock(flight.command.connection);
    flight.answer.results.emplace_back();
    return Step::Done;
}

void FakeSqlTarget::releaseLock(ConnectionId connection)
{
    if (m_lock == connection)
        m_lock.reset();
}

void FakeSqlTarget::runLockWaits(Instant now)
{
    while (!m_lock && !m_lockWaits.empty()) {
        auto flight = std::move(m_lockWaits.front());
        m_lockWaits.pop_front();
        run(now, std::move(flight));
    }
}

void FakeSqlTarget::checkTime(Instant now)
{
    for (auto flight = m_lockWaits.begin(); flight != m_lockWaits.end();) {
        if (now - flight->arrived < lockTimeout) {
            ++flight;
            continue;
        }
        auto expired = std::move(*flight);
        flight = m_lockWaits.erase(flight);
        fault(expired, "55P03");
        m_sessions[expired.command.connection].failed = m_sessions[expired.command.connection].inTransaction;
        finish(expired);
    }
    runLockWaits(now);
    settleWaits(now);
}

GroupStatus FakeSqlTarget::status(bool accepted) const
{
    return { accepted, m_role, m_fenced, end(), m_following, m_candidate };
}

void FakeSqlTarget::addStatus(Flight& flight, bool accepted)
{
    const auto now = status(accepted);
    flight.answer.results.push_back({ {},
        { { accepted ? "t" : "f", std::string(toString(now.role)), std::to_string(now.fencedTerm.value()),
            std::to_string(now.end.term.value()), std::to_string(now.end.position.value()), now.following.value(),
            now.candidate } },
        0 });
}

FakeSqlTarget::Step FakeSqlTarget::groupCall(Instant now, Flight& flight, const Statement& statement)
{
    const auto& sql = statement.sql;
    const auto& values = statement.parameters;
    if (sql.find("group_wait") != std::string::npos) {
        const LogPoint point { Term(number(values[0])), Position(number(values[1])) };
        const auto deadline = now + std::chrono::milliseconds(number(values[2]));
        m_waits.push_back({ std::move(flight), point, deadline });
        return Step::Held;
    }
    bool accepted = true;
    if (sql.find("group_fence") != std::string::npos)
        accepted = fence(Term(number(values[0])), *values[1]);
    else if (sql.find("group_promote") != std::string::npos)
        accepted = promote(Term(number(values[0])), *values[1]);
    else if (sql.find("group_follow") != std::string::npos)
        accepted = follow(Term(number(values[0])), TargetName(*values[1]));
    addStatus(flight, accepted);
    return Step::Done;
}

void FakeSqlTarget::settleWaits(Instant now)
{
    for (auto wait = m_waits.begin(); wait != m_waits.end();) {
        const bool covered = end().covers(wait->point);
        if (!covered && now < wait->deadline) {
            ++wait;
            continue;
        }
        auto settled = std::move(*wait);
        wait = m_waits.erase(wait);
        addStatus(settled.flight, covered);
        finish(settled.flight);
    }
}

bool FakeSqlTarget::fence(Term term, const std::string& candidate)
{
    if (term < m_fenced || (term == m_fenced && candidate != m_candidate))
        return false;
    if (term > m_fenced) {
        m_fenced = term;
        m_candidate = candidate;
        m_role = m_role == TargetRole::Primary ? TargetRole::Fenced : m_role;
        m_following = TargetName();
    }
    return true;
}

bool FakeSqlTarget::promote(Term term, const std::string& candidate)
{
    if (term != m_fenced || candidate != m_candidate)
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
    if (term < m_fenced || primary == m_name || (m_role == TargetRole::Primary && end().term == term))
        return false;
    m_fenced = term;
    m_role = TargetRole::Replica;
    m_following = primary;
    return true;
}

void FakeSqlTarget::replicate(
    Instant now, const TargetName& from, Term term, std::size_t prefix, const std::vector<FakeLogEntry>& entries)
{
    if (m_role != TargetRole::Replica || m_following != from || term < m_fenced || m_log.size() < prefix)
        return;
    m_fenced = term;
    // A shorter log of the same term was sent earlier than what is here.
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
    settleWaits(now);
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
        case FakeChange::Kind::Claim:
            m_outcomes[change.name] = { change.requestHash, change.result };
            break;
        case FakeChange::Kind::Complete:
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
