#pragma once

#include "proxy/Ids.h"
#include "proxy/TargetRequest.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Auburnpost::Proxy {

/// The shapes that callers prepare. The first two have the same XXH64 digest with seed 1, the next two with seed 2; the
/// last one is the text of another shape with another access.
const std::vector<Session::PreparedShape>& preparedShapes();

/// A caller's session and which of its transactions a statement belongs to; 0 for a statement outside one. The id of
/// each statement states it.
struct StatementOrigin {
    std::uint64_t session { 0 };
    std::uint64_t transaction { 0 };
    /// Execute: the index of the shape that the caller prepared.
    std::size_t shape { 0 };

    [[nodiscard]] bool isSameTransaction(const StatementOrigin& other) const
    {
        return session == other.session && transaction == other.transaction;
    }
    static StatementOrigin parse(const Session::StatementId&);
    [[nodiscard]] Session::StatementId toId() const;
};

/// How a target answers a request.
enum class TargetOutcome : std::uint8_t {
    Succeeds,
    /// Refused for lack of capacity, without any effect.
    Refused,
    /// Ran and failed; a failed statement fails its transaction, a failed commit rolls back.
    Fails,
};

/// The targets' side of all connections. Answers the requests of a connection in order, and keeps its own count of the
/// transaction that is open on each, independently of what the proxy assumes.
class CountingTarget {
public:
    struct Connection {
        TargetName target;
        std::deque<TargetRequest> unanswered;
        Session::TransactionState state { Session::TransactionState::Idle };
        /// The caller's transaction that is open on the connection; empty until its first statement has run.
        std::optional<StatementOrigin> owner;
        std::map<std::string, Session::PreparedShape> prepared;
    };

    /// @param mayRefuseRollbacks whether the outcome of a request applies to rollbacks too, which otherwise succeed.
    explicit CountingTarget(bool mayRefuseRollbacks = false)
        : m_mayRefuseRollbacks(mayRefuseRollbacks)
    {
    }

    void open(ConnectionId, const TargetName&);
    /// Ends a connection, which rolls its transaction back.
    void close(ConnectionId id) { m_connections.erase(id); }
    /// Runs the first unanswered request of the connection.
    /// @return the answer.
    TargetReply answer(ConnectionId, TargetOutcome);

    [[nodiscard]] std::map<ConnectionId, Connection>& connections() { return m_connections; }
    /// @return the connections on which a transaction is open.
    [[nodiscard]] std::size_t openTransactions() const;
    /// Statements that ran outside their transaction or inside another one, or ran another shape than was prepared.
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] std::size_t ran() const { return m_ran; }
    [[nodiscard]] std::size_t refusedCommits() const { return m_refusedCommits; }

private:
    void run(ConnectionId, Connection&, const RunStatement&, TargetReply&, TargetOutcome);
    /// Handles a request that changes what is kept for the connection. @return whether it is such a request.
    static bool setUp(Connection&, const TargetRequest&);
    void checkOrigin(ConnectionId, const Connection&, const StatementOrigin&);

    bool m_mayRefuseRollbacks;
    std::map<ConnectionId, Connection> m_connections;
    std::vector<std::string> m_violations;
    std::size_t m_ran { 0 };
    std::size_t m_refusedCommits { 0 };
};

} // namespace Auburnpost::Proxy
