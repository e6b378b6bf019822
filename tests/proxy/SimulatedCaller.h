#pragma once

#include "proxy/Ids.h"
#include "proxy/ProxyChecker.h"
#include "session/SessionState.h"

#include <map>
#include <string>

namespace Auburnpost::Proxy {

class ProxySimulation;

/// A caller with one session that sends reads, writes and transactions in random order, with pauses.
class SimulatedCaller {
public:
    SimulatedCaller(ProxySimulation&, std::size_t host, SessionId);

    /// @return the databases, each with the required freshness of its reads.
    static const std::map<std::string, ProxyChecker::Unit>& routes();
    /// @return the session that sent the statement.
    static std::uint64_t sessionOf(const Session::StatementId&);

    /// Opens a session.
    void connect();
    void accepted();
    /// The session was refused; opens another later.
    void refused();
    /// The session broke, and with it the statement in progress.
    void disconnected();
    void answered(const Session::Answer&);
    [[nodiscard]] const Session::SessionValues& values() const { return m_values; }
    [[nodiscard]] const ProxyChecker::Unit& unit() const { return m_unit; }
    /// @return when the unit of the statement began; a statement may run after its caller went on.
    [[nodiscard]] Instant begunAt(const Session::StatementId&) const;
    [[nodiscard]] bool isInTransaction() const { return m_isInTransaction; }
    void stop() { m_isStopped = true; }

private:
    void startUnit();
    void sendNextOfTransaction();
    void send(Session::StatementKind, std::string argument);
    void scheduleNextUnit(Duration pause);
    /// Runs a task later unless the session breaks before.
    void after(Duration, void (SimulatedCaller::*task)());
    void rollBack() { send(Session::StatementKind::Rollback, ""); }
    /// @param isCommittedOnSuccess whether an answer without a failure means that the writes of the unit are committed.
    void recordWriteOutcomes(const Session::Answer&, bool isCommittedOnSuccess);

    ProxySimulation& m_simulation;
    std::size_t m_host;
    SessionId m_id;
    std::string m_database;
    ProxyChecker::Unit m_unit;
    Session::SessionValues m_values;
    bool m_isInTransaction { false };
    bool m_isReadOnly { false };
    bool m_isStopped { false };
    std::size_t m_remainingStatements { 0 };
    std::uint64_t m_sent { 0 };
    /// When the unit of each statement began, by the number of its first statement.
    std::map<std::uint64_t, Instant> m_units;
    /// Number of sessions that broke.
    std::uint64_t m_brokenSessions { 0 };
    Session::StatementKind m_kind { Session::StatementKind::Read };
    /// Writes of the unit in progress.
    std::vector<std::string> m_writes;
};

} // namespace Auburnpost::Proxy
