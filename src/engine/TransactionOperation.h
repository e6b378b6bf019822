#pragma once

#include "engine/HomeOperation.h"

#include <optional>

namespace Auburnpost {

enum class FailedOutcome : std::uint8_t;
struct WorkDone;

/// Time limits of a transaction.
struct TransactionLimits {
    /// Longest time without a request of the caller.
    Duration idle { std::chrono::seconds(10) };
    /// Longest time in all.
    Duration total { std::chrono::seconds(30) };
};

/// A transaction: from its begin it keeps one connection to the primary. Its requests come one by one as work of
/// their own and are answered by it.
class TransactionOperation : public HomeOperation {
public:
    /// @param work the Begin; its reply names the transaction.
    TransactionOperation(OperationId, Work, Instant deadline, const TransactionLimits&, HomeServices&);

    /// Takes the next request of the caller. One that comes while another is under way is refused.
    /// @param reply names the request for which reply() is called.
    void take(Instant now, OperationId reply, Work, Instant deadline);
    /// Does what time alone brings about.
    void checkTime(Instant now);

    void start(Instant now) override;
    void granted(Instant now, ConnectionId) override;
    void refused(Instant now, const Error&, std::optional<Duration> retryAfter) override;
    void answered(Instant now, const TargetAnswer&) override;
    void connectionLost(Instant now, const Error&) override;
    void durable(Instant now) override;
    void notDurable(Instant now, Group::NoProofReason) override;
    void primaryReplaced(Instant now) override;
    void expired(Instant now) override;
    [[nodiscard]] bool holdsPrimary() const override { return m_phase != Phase::Waiting && !isFinished(); }
    [[nodiscard]] bool isFinished() const override { return m_phase == Phase::Closed; }

private:
    enum class Phase : std::uint8_t {
        /// For a connection.
        Waiting,
        Beginning,
        /// Between two requests.
        Open,
        Executing,
        /// A statement failed; only a rollback is taken.
        Failed,
        Committing,
        AwaitingMajority,
        /// A rollback was asked for by the caller.
        RollingBack,
        Closed,
    };

    void executed(Instant now, const TargetAnswer&);
    void committed(Instant now, const TargetAnswer&);
    void commit(Instant now);
    void rollBack(Instant now);
    void close(Instant now, ConnectionFate);
    void answer(Instant now, WorkDone);
    void answerFailed(Instant now, FailedOutcome, Error);
    /// Ends it and fails the request under way; by the phase its outcome is known or not.
    void abandon(Instant now, const Error&);
    void refuseRequest(Instant now, OperationId reply, Error);

    TransactionLimits m_limits;
    Phase m_phase { Phase::Waiting };
    TargetName m_target;
    std::optional<ConnectionId> m_connection;
    /// The request under way.
    OperationId m_reply;
    Work m_request;
    Instant m_requestDeadline {};
    bool m_requestOpen { true };
    Instant m_startedAt {};
    Instant m_lastRequestAt {};
};

} // namespace Auburnpost
