#pragma once

#include "proxy/CountingTarget.h"
#include "proxy/RecordedProxy.h"

#include <random>

namespace Auburnpost::Proxy {

/// A proxy, its callers and the targets' side of its connections, in simulated time. Nothing is answered unless the
/// test says so.
class LendingSimulation {
public:
    /// Callers have at most one statement unanswered.
    struct Caller {
        std::uint64_t session { 0 };
        bool isWaiting { false };
        Session::StatementKind sent { Session::StatementKind::Read };
        Session::TransactionState state { Session::TransactionState::Idle };
        /// The transactions that the session has begun, the last of which is open unless the state is idle.
        std::uint64_t transactions { 0 };
        /// Index of the shape that the session has prepared.
        std::size_t shape { 0 };
        /// The answer to the last statement.
        std::optional<Session::Answer> answer;
    };

    explicit LendingSimulation(std::uint64_t seed = 1, bool mayRefuseRollbacks = false);

    // Callers.
    /// Opens a session in place of the caller's last one.
    void open(std::size_t caller);
    void send(std::size_t caller, Session::StatementKind);
    /// Prepares a shape of preparedShapes(), always under the same name.
    void prepare(std::size_t caller, std::size_t shape);
    /// Ends the caller's session, whatever is unanswered.
    void leave(std::size_t caller);
    [[nodiscard]] Caller& caller(std::size_t index) { return m_callers.at(index); }
    [[nodiscard]] std::optional<Session::FailureCode> failureOf(std::size_t caller) const;

    // Targets.
    /// Answers the first unanswered request of the connection.
    void answer(ConnectionId, TargetOutcome = TargetOutcome::Succeeds);
    /// Answers status queries until none is the first unanswered request of a connection.
    void answerStatusQueries();
    /// Answers all requests until nothing is unanswered.
    void answerAll();
    void endConnection(ConnectionId);
    /// Lets the time pass, with a tick of the proxy at its end; connections that it opens are accepted.
    void advance(Duration);
    /// @return the connection whose first unanswered request is the caller's statement.
    [[nodiscard]] ConnectionId connectionOf(std::size_t caller);
    /// @return the first connection whose first unanswered request is of the type.
    template <typename Request> [[nodiscard]] std::optional<ConnectionId> connectionWith();

    /// Makes one random step: of a caller, of a target, of a connection, or of the time.
    void step();
    /// Lets all callers leave and the targets answer everything.
    void settle();

    [[nodiscard]] CountingTarget& target() { return m_target; }
    [[nodiscard]] RecordedProxy& proxy() { return m_proxy; }

private:
    static constexpr std::size_t callerCount = 8;

    /// Passes on what the proxy did since the last event.
    void pump();
    void act(Caller&);
    [[nodiscard]] std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }
    [[nodiscard]] bool chance(double share) { return std::bernoulli_distribution(share)(m_random); }
    void answerRandom();
    [[nodiscard]] std::size_t indexOf(const Caller& caller) const
    {
        return static_cast<std::size_t>(&caller - m_callers.data());
    }

    std::mt19937_64 m_random;
    RecordedProxy m_proxy;
    CountingTarget m_target;
    std::vector<Caller> m_callers { callerCount };
    std::uint64_t m_lastSession { 0 };
};

template <typename Request> std::optional<ConnectionId> LendingSimulation::connectionWith()
{
    for (const auto& [id, connection] : m_target.connections()) {
        if (!connection.unanswered.empty() && std::holds_alternative<Request>(connection.unanswered.front()))
            return id;
    }
    return {};
}

} // namespace Auburnpost::Proxy
