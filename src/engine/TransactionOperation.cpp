#include "engine/TransactionOperation.h"

#include "engine/HomeServices.h"
#include "engine/OutcomeRecord.h"
#include "engine/TargetFaults.h"
#include "message/HomeReply.h"

namespace Auburnpost {

namespace {

    /// Results of inserting the outcome record, completing it, and COMMIT.
    constexpr std::size_t commitResultCount = 3;
    constexpr const char* commitRequestHash = "transaction";

} // namespace

TransactionOperation::TransactionOperation(
    OperationId id, HomeRequest homeRequest, Instant deadline, const TransactionLimits& limits, HomeServices& services)
    : HomeOperation(id, std::move(homeRequest), deadline, services)
    , m_limits(limits)
    , m_replyId(id)
    , m_request(this->homeRequest())
    , m_requestDeadline(deadline)
{
}

void TransactionOperation::start(Instant now)
{
    const auto primary = services().writablePrimary(now);
    if (!primary) {
        services().holdForPrimary(id());
        return;
    }
    m_startedAt = now;
    m_lastRequestAt = now;
    m_target = primary->target;
    services().requestConnection(now, id(), m_target, { Limit::Priority::Urgent, true });
}

void TransactionOperation::onConnectionGranted(Instant now, ConnectionId connection)
{
    m_connection = connection;
    m_phase = Phase::Beginning;
    services().send(now, connection, { { "BEGIN", {} } });
}

void TransactionOperation::onConnectionRefused(Instant now, const Error& error, std::optional<Duration> retryAfter)
{
    if (isFinished())
        return;
    m_phase = Phase::Closed;
    m_isRequestPending = false;
    services().reply(now, m_replyId, HomeFailure { FailedOutcome::NotRun, error, retryAfter });
}

void TransactionOperation::handleRequest(Instant now, OperationId replyId, HomeRequest request, Instant deadline)
{
    if (m_isRequestPending) {
        refuseRequest(now, replyId, error(ErrorCode::Conflict, "transaction", "another request of it is under way"));
        return;
    }
    if (isFinished()) {
        refuseRequest(now, replyId, error(ErrorCode::UnknownTransaction, "transaction", "it has ended"));
        return;
    }
    if (m_phase == Phase::Failed && request.kind != HomeRequestKind::Rollback) {
        refuseRequest(now, replyId, error(ErrorCode::Conflict, "transaction", "a statement failed; roll it back"));
        return;
    }
    m_replyId = replyId;
    m_request = std::move(request);
    m_requestDeadline = deadline;
    m_isRequestPending = true;
    m_lastRequestAt = now;
    if (m_request.kind == HomeRequestKind::Commit) {
        commit(now);
        return;
    }
    if (m_request.kind == HomeRequestKind::Rollback) {
        rollBack(now);
        return;
    }
    m_phase = Phase::Executing;
    services().send(now, *m_connection, { m_request.statement });
}

void TransactionOperation::commit(Instant now)
{
    m_phase = Phase::Committing;
    services().send(now, *m_connection,
        { OutcomeSql::insert(m_request.outcomeKey, commitRequestHash), OutcomeSql::complete(m_request.outcomeKey, {}),
            { "COMMIT", {} } });
}

void TransactionOperation::rollBack(Instant now)
{
    m_phase = Phase::RollingBack;
    services().send(now, *m_connection, { { "ROLLBACK", {} } });
}

void TransactionOperation::onAnswer(Instant now, const TargetAnswer& targetAnswer)
{
    switch (m_phase) {
    case Phase::Beginning:
    case Phase::Executing:
        return handleStatementResults(now, targetAnswer);
    case Phase::Committing:
        return handleCommitResults(now, targetAnswer);
    case Phase::RollingBack:
        endTransaction(now, targetAnswer.fault ? ConnectionDisposition::Discard : ConnectionDisposition::Reuse);
        return replyToRequest(now, {});
    default:
        break;
    }
}

void TransactionOperation::handleStatementResults(Instant now, const TargetAnswer& targetAnswer)
{
    if (targetAnswer.fault) {
        m_phase = Phase::Failed;
        return replyRequestFailed(
            now, FailedOutcome::NotRun, statementError(*targetAnswer.fault, "transaction", m_target.value()));
    }
    const bool isBegin = m_phase == Phase::Beginning;
    m_phase = Phase::Open;
    HomeResult success;
    if (isBegin) {
        success.transaction = id().value();
        success.homeIncarnation = services().incarnation();
    } else {
        success.result = targetAnswer.results.front();
    }
    success.servedBy = m_target.value() + " primary";
    replyToRequest(now, std::move(success));
}

void TransactionOperation::handleCommitResults(Instant now, const TargetAnswer& targetAnswer)
{
    if (targetAnswer.fault) {
        endTransaction(now, ConnectionDisposition::RollBack);
        return replyRequestFailed(
            now, FailedOutcome::NotRun, statementError(*targetAnswer.fault, "commit", m_target.value()));
    }
    if (targetAnswer.results.size() != commitResultCount) {
        endTransaction(now, ConnectionDisposition::Discard);
        return replyRequestFailed(
            now, FailedOutcome::Unknown, error(ErrorCode::Internal, "commit", "the target's answer is not whole"));
    }
    services().release(now, *m_connection, ConnectionDisposition::Reuse);
    m_connection.reset();
    m_phase = Phase::AwaitingMajority;
    m_request.required = targetAnswer.targetStatus.end;
    services().awaitDurable(now, id(), targetAnswer.targetStatus.end, m_requestDeadline);
}

void TransactionOperation::onDurable(Instant now)
{
    if (m_phase != Phase::AwaitingMajority)
        return;
    m_phase = Phase::Closed;
    HomeResult success;
    success.durable = m_request.required;
    success.servedBy = m_target.value() + " primary";
    replyToRequest(now, std::move(success));
}

void TransactionOperation::onNotDurable(Instant now, Group::WaitFailureReason reason)
{
    if (m_phase != Phase::AwaitingMajority)
        return;
    m_phase = Phase::Closed;
    replyRequestFailed(now, FailedOutcome::Unknown,
        error(ErrorCode::NoPrimary, "await majority", std::string(Group::toString(reason))));
}

void TransactionOperation::endTransaction(Instant now, ConnectionDisposition disposition)
{
    if (m_connection)
        services().release(now, *m_connection, disposition);
    m_connection.reset();
    m_phase = Phase::Closed;
}

void TransactionOperation::replyToRequest(Instant now, HomeResult success)
{
    m_isRequestPending = false;
    m_lastRequestAt = now;
    services().reply(now, m_replyId, std::move(success));
}

void TransactionOperation::replyRequestFailed(Instant now, FailedOutcome outcome, Error error)
{
    m_isRequestPending = false;
    m_lastRequestAt = now;
    services().reply(now, m_replyId, HomeFailure { outcome, std::move(error), std::nullopt });
}

void TransactionOperation::refuseRequest(Instant now, OperationId replyId, Error error)
{
    services().reply(now, replyId, HomeFailure { FailedOutcome::NotRun, std::move(error), std::nullopt });
}

void TransactionOperation::abandon(Instant now, const Error& error)
{
    // If the commit was not sent, closing the connection discards the transaction without effect.
    const bool mayHaveRun = m_phase == Phase::Committing || m_phase == Phase::AwaitingMajority;
    endTransaction(now, ConnectionDisposition::Discard);
    if (m_isRequestPending)
        replyRequestFailed(now, mayHaveRun ? FailedOutcome::Unknown : FailedOutcome::NotRun, error);
}

void TransactionOperation::onConnectionLost(Instant now, const Error& cause)
{
    m_connection.reset();
    if (m_phase == Phase::AwaitingMajority || isFinished())
        return;
    abandon(now, error(ErrorCode::TransactionLost, "transaction", cause.describe()));
}

void TransactionOperation::onPrimaryReplaced(Instant now)
{
    if (m_phase == Phase::Waiting || m_phase == Phase::AwaitingMajority || isFinished())
        return;
    abandon(now, error(ErrorCode::TransactionLost, "transaction", "the primary was replaced"));
}

void TransactionOperation::onDeadline(Instant now)
{
    if (m_phase == Phase::Waiting || m_phase == Phase::Beginning)
        abandon(now, error(ErrorCode::DeadlineExceeded, "begin", "no answer within the time limit"));
}

void TransactionOperation::checkTimeLimits(Instant now)
{
    if (m_phase == Phase::Waiting || isFinished())
        return;
    if (m_isRequestPending) {
        if (now >= m_requestDeadline && m_phase != Phase::Beginning)
            abandon(now, error(ErrorCode::DeadlineExceeded, "transaction", "no answer within the time limit"));
        return;
    }
    if (now - m_lastRequestAt >= m_limits.idle || now - m_startedAt >= m_limits.total)
        abandon(now, error(ErrorCode::TransactionLimit, "transaction", "it was open for too long"));
}

} // namespace Auburnpost
