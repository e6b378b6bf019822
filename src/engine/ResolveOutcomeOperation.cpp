#include "engine/ResolveOutcomeOperation.h"

#include "engine/HomeServices.h"
#include "engine/TargetFaults.h"

namespace Auburnpost {

void ResolveOutcomeOperation::sendFirstStatements(Instant now)
{
    m_phase = homeRequest().kind == HomeRequestKind::Cancel ? Phase::InsertingRecord : Phase::ReadingRecord;
    if (m_phase == Phase::InsertingRecord)
        send(now, { OutcomeSql::cancel(homeRequest().outcomeKey) });
    else
        send(now, { OutcomeSql::select(homeRequest().outcomeKey) });
}

void ResolveOutcomeOperation::onAnswer(Instant now, const TargetAnswer& answer)
{
    if (m_phase == Phase::InsertingRecord)
        handleCancelResults(now, answer);
    else if (m_phase == Phase::ReadingRecord)
        handleOutcomeRecord(now, answer);
}

void ResolveOutcomeOperation::handleCancelResults(Instant now, const TargetAnswer& answer)
{
    if (!answer.fault) {
        m_phase = Phase::Replying;
        releaseConnection(now, ConnectionDisposition::Reuse);
        replyWhenDurable(now, {}, answer.targetStatus.end);
        return;
    }
    if (answer.fault->sqlState == SqlState::uniqueViolation) {
        m_phase = Phase::ReadingRecord;
        send(now, { OutcomeSql::select(homeRequest().outcomeKey) });
        return;
    }
    releaseConnection(now, ConnectionDisposition::Reuse);
    auto error = statementError(*answer.fault, "cancel", target().value());
    if (answer.fault->sqlState == SqlState::readOnly)
        error.code = ErrorCode::NotPrimary;
    replyNotRun(now, std::move(error));
}

void ResolveOutcomeOperation::handleOutcomeRecord(Instant now, const TargetAnswer& answer)
{
    m_phase = Phase::Replying;
    releaseConnection(now, answer.fault ? ConnectionDisposition::Discard : ConnectionDisposition::Reuse);
    if (answer.fault || answer.results.size() != 1) {
        replyNotRun(now, error(ErrorCode::Conflict, "read outcome", "the record could not be read"));
        return;
    }
    const auto record = OutcomeRecord::parse(answer.results.front());
    if (!record) {
        replyNotRun(now, record.error());
        return;
    }
    HomeResult success;
    success.wasExecuted = *record && !(*record)->cancelled;
    if (success.wasExecuted)
        success.result = (*record)->result;
    if (!*record && homeRequest().kind == HomeRequestKind::Cancel) {
        replyNotRun(now, error(ErrorCode::Conflict, "cancel", "another request under this key was under way"));
        return;
    }
    replyWhenDurable(now, std::move(success), answer.targetStatus.end);
}

void ResolveOutcomeOperation::onConnectionLost(Instant now, const Error& error)
{
    forgetConnection();
    if (!isReplied() && !isAwaitingMajority())
        replyFailure(now, error);
}

void ResolveOutcomeOperation::onPrimaryReplaced(Instant now)
{
    if (isReplied() || isAwaitingMajority() || !blocksSwitchover())
        return;
    releaseConnection(now, ConnectionDisposition::Discard);
    replyFailure(now, error(ErrorCode::NotPrimary, "settle", "the primary was replaced"));
}

} // namespace Auburnpost
