#include "engine/TransactionOperation.h"

#include "engine/HomeServices.h"
#include "engine/OutcomeRecord.h"
#include "engine/TargetFaults.h"
#include "message/WorkReply.h"

namespace Auburnpost {

namespace {

    /// Claim, complete, commit.
    constexpr std::size_t commitFlight = 3;
    constexpr const char* commitHash = "transaction";

} // namespace

TransactionOperation::TransactionOperation(
    OperationId id, Work work, Instant deadline, const TransactionLimits& limits, HomeServices& services)
    : HomeOperation(id, std::move(work), deadline, services)
    , m_limits(limits)
    , m_reply(id)
    , m_request(this->work())
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

void TransactionOperation::granted(Instant now, ConnectionId connection)
{
    m_connection = connection;
    m_phase = Phase::Beginning;
    services().send(now, connection, { { "BEGIN", {} } });
}

void TransactionOperation::refused(Instant now, const Error& error, std::optional<Duration> retryAfter)
{
    if (isFinished())
        return;
    m_phase = Phase::Closed;
    m_requestOpen = false;
    services().reply(now, m_reply, WorkFailed { FailedOutcome::NotRun, error, retryAfter });
}

void TransactionOperation::take(Instant now, OperationId reply, Work request, Instant deadline)
{
    if (m_requestOpen) {
        refuseRequest(now, reply, error(ErrorCode::Conflict, "transaction", "another request of it is under way"));
        return;
    }
    if (isFinished()) {
        refuseRequest(now, reply, error(ErrorCode::UnknownTransaction, "transaction", "it has ended"));
        return;
    }
    if (m_phase == Phase::Failed && request.kind != WorkKind::Rollback) {
        refuseRequest(now, reply, error(ErrorCode::Conflict, "transaction", "a statement failed; roll it back"));
        return;
    }
    m_reply = reply;
    m_request = std::move(request);
    m_requestDeadline = deadline;
    m_requestOpen = true;
    m_lastRequestAt = now;
    if (m_request.kind == WorkKind::Commit) {
        commit(now);
        return;
    }
    if (m_request.kind == WorkKind::Rollback) {
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
        { OutcomeSql::insert(m_request.outcomeKey, commitHash), OutcomeSql::complete(m_request.outcomeKey, {}),
            { "COMMIT", {} } });
}

void TransactionOperation::rollBack(Instant now)
{
    m_phase = Phase::RollingBack;
    services().send(now, *m_connection, { { "ROLLBACK", {} } });
}

void TransactionOperation::answered(Instant now, const TargetAnswer& targetAnswer)
{
    switch (m_phase) {
    case Phase::Beginning:
    case Phase::Executing:
        return executed(now, targetAnswer);
    case Phase::Committing:
        return committed(now, targetAnswer);
    case Phase::RollingBack:
        close(now, targetAnswer.fault ? ConnectionFate::Discard : ConnectionFate::Reuse);
        return answer(now, {});
    default:
        break;
    }
}

void TransactionOperation::executed(Instant now, const TargetAnswer& targetAnswer)
{
    if (targetAnswer.fault) {
        m_phase = Phase::Failed;
        return answerFailed(
            now, FailedOutcome::NotRun, statementError(*targetAnswer.fault, "transaction", m_target.value()));
    }
    const bool begun = m_phase == Phase::Beginning;
    m_phase = Phase::Open;
    WorkDone done;
    if (begun) {
        done.transaction = id().value();
        done.homeIncarnation = services().incarnation();
    } else {
        done.result = targetAnswer.results.front();
    }
    done.servedBy = m_target.value() + " primary";
    answer(now, std::move(done));
}

void TransactionOperation::committed(Instant now, const TargetAnswer& targetAnswer)
{
    if (targetAnswer.fault) {
        close(now, ConnectionFate::RollBack);
        return answerFailed(
            now, FailedOutcome::NotRun, statementError(*targetAnswer.fault, "commit", m_target.value()));
    }
    if (targetAnswer.results.size() != commitFlight) {
        close(now, ConnectionFate::Discard);
        return answerFailed(
            now, FailedOutcome::Unknown, error(ErrorCode::Internal, "commit", "the target's answer is not whole"));
    }
    services().release(now, *m_connection, ConnectionFate::Reuse);
    m_connection.reset();
    m_phase = Phase::AwaitingMajority;
    m_request.required = targetAnswer.standing.end;
    services().awaitDurable(now, id(), targetAnswer.standing.end, m_requestDeadline);
}

void TransactionOperation::durable(Instant now)
{
    if (m_phase != Phase::AwaitingMajority)
        return;
    m_phase = Phase::Closed;
    WorkDone done;
    done.durable = m_request.required;
    done.servedBy = m_target.value() + " primary";
    answer(now, std::move(done));
}

void TransactionOperation::notDurable(Instant now, Group::NoProofReason reason)
{
    if (m_phase != Phase::AwaitingMajority)
        return;
    m_phase = Phase::Closed;
    answerFailed(now, FailedOutcome::Unknown,
        error(ErrorCode::NoPrimary, "await majority", std::string(Group::toString(reason))));
}

void TransactionOperation::close(Instant now, ConnectionFate fate)
{
    if (m_connection)
        services().release(now, *m_connection, fate);
    m_connection.reset();
    m_phase = Phase::Closed;
}

void TransactionOperation::answer(Instant now, WorkDone done)
{
    m_requestOpen = false;
    m_lastRequestAt = now;
    services().reply(now, m_reply, std::move(done));
}

void TransactionOperation::answerFailed(Instant now, FailedOutcome outcome, Error error)
{
    m_requestOpen = false;
    m_lastRequestAt = now;
    services().reply(now, m_reply, WorkFailed { outcome, std::move(error), std::nullopt });
}

void TransactionOperation::refuseRequest(Instant now, OperationId reply, Error error)
{
    services().reply(now, reply, WorkFailed { FailedOutcome::NotRun, std::move(error), std::nullopt });
}

void TransactionOperation::abandon(Instant now, const Error& error)
{
    // Without its commit the transaction leaves nothing behind once the connection is closed.
    const bool mayHaveRun = m_phase == Phase::Committing || m_phase == Phase::AwaitingMajority;
    close(now, ConnectionFate::Discard);
    if (m_requestOpen)
        answerFailed(now, mayHaveRun ? FailedOutcome::Unknown : FailedOutcome::NotRun, error);
}

void TransactionOperation::connectionLost(Instant now, const Error& lost)
{
    m_connection.reset();
    if (m_phase == Phase::AwaitingMajority || isFinished())
        return;
    abandon(now, error(ErrorCode::TransactionLost, "transaction", lost.describe()));
}

void TransactionOperation::primaryReplaced(Instant now)
{
    if (m_phase == Phase::Waiting || m_phase == Phase::AwaitingMajority || isFinished())
        return;
    abandon(now, error(ErrorCode::TransactionLost, "transaction", "the primary was replaced"));
}

void TransactionOperation::expired(Instant now)
{
    if (m_phase == Phase::Waiting || m_phase == Phase::Beginning)
        abandon(now, error(ErrorCode::DeadlineExceeded, "begin", "no answer within the time limit"));
}

void TransactionOperation::checkTime(Instant now)
{
    if (m_phase == Phase::Waiting || isFinished())
        return;
    if (m_requestOpen) {
        if (now >= m_requestDeadline && m_phase != Phase::Beginning)
            abandon(now, error(ErrorCode::DeadlineExceeded, "transaction", "no answer within the time limit"));
        return;
    }
    if (now - m_lastRequestAt >= m_limits.idle || now - m_startedAt >= m_limits.total)
        abandon(now, error(ErrorCode::TransactionLimit, "transaction", "it was open for too long"));
}

} // namespace Auburnpost
