#pragma once

#include "engine/HomeOperation.h"

#include <optional>

namespace Auburnpost {

enum class FailedOutcome : std::uint8_t;
struct HomeResult;

/// Time limits of a transaction.
struct TransactionLimits {
    /// Maximum time without a request of the caller.
    Duration idle { std::chrono::seconds(10) };
    /// Maximum duration of the transaction.
    Duration total { std::chrono::seconds(30) };
};

/// A transaction, which keeps one connection to the primary from its Begin to its end. Its further requests arrive one
/// by one as requests to the home, and the transaction replies to them.
class TransactionOperation : public HomeOperation {
public:
    /// The request is the Begin; its reply contains the transaction's number.
    TransactionOperation(OperationId, HomeRequest, Instant deadline, const TransactionLimits&, HomeServices&);

    /// Handles the caller's next request; refuses it while another one is in progress.
    /// @param replyId the id under which reply() is called for the request.
    void handleRequest(Instant now, OperationId replyId, HomeRequest, Instant deadline);
    /// Abandons the transaction when a time limit or the deadline of its current request has passed.
    void checkTimeLimits(Instant now);

    void start(Instant now) override;
    void onConnectionGranted(Instant now, ConnectionId) override;
    void onConnectionRefused(Instant now, const Error&, std::optional<Duration> retryAfter) override;
    void onAnswer(Instant now, const TargetAnswer&) override;
    void onConnectionLost(Instant now, const Error&) override;
    void onDurable(Instant now) override;
    void onNotDurable(Instant now, Group::WaitFailureReason) override;
    void onPrimaryReplaced(Instant now) override;
    void onDeadline(Instant now) override;
    [[nodiscard]] bool blocksSwitchover() const override { return m_phase != Phase::Waiting && !isFinished(); }
    [[nodiscard]] bool isFinished() const override { return m_phase == Phase::Closed; }

private:
    enum class Phase : std::uint8_t {
        /// Waiting for a connection.
        Waiting,
        Beginning,
        /// Between two requests.
        Open,
        Executing,
        /// A statement failed; only a rollback is accepted.
        Failed,
        Committing,
        AwaitingMajority,
        /// Executing a rollback that the caller requested.
        RollingBack,
        Closed,
    };

    void handleStatementResults(Instant now, const TargetAnswer&);
    void handleCommitResults(Instant now, const TargetAnswer&);
    void commit(Instant now);
    void rollBack(Instant now);
    void endTransaction(Instant now, ConnectionDisposition);
    void replyToRequest(Instant now, HomeResult);
    void replyRequestFailed(Instant now, FailedOutcome, Error);
    /// Ends the transaction and fails the current request, as not executed or with unknown outcome depending on the
    /// phase.
    void abandon(Instant now, const Error&);
    void refuseRequest(Instant now, OperationId replyId, Error);

    TransactionLimits m_limits;
    Phase m_phase { Phase::Waiting };
    TargetName m_target;
    std::optional<ConnectionId> m_connection;
    /// The current request.
    OperationId m_replyId;
    HomeRequest m_request;
    Instant m_requestDeadline {};
    bool m_isRequestPending { true };
    Instant m_startedAt {};
    Instant m_lastRequestAt {};
};

} // namespace Auburnpost
