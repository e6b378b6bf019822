#include "engine/SettleOperation.h"

#include "engine/HomeServices.h"
#include "engine/TargetFaults.h"

namespace Auburnpost {

void SettleOperation::begin(Instant now)
{
    m_phase = work().kind == WorkKind::Cancel ? Phase::Claiming : Phase::Reading;
    if (m_phase == Phase::Claiming)
        send(now, { OutcomeSql::cancel(work().outcomeKey) });
    else
        send(now, { OutcomeSql::select(work().outcomeKey) });
}

void SettleOperation::answered(Instant now, const TargetAnswer& answer)
{
    if (m_phase == Phase::Claiming)
        claimAnswered(now, answer);
    else if (m_phase == Phase::Reading)
        recordRead(now, answer);
}

void SettleOperation::claimAnswered(Instant now, const TargetAnswer& answer)
{
    if (!answer.fault) {
        m_phase = Phase::Answered;
        giveBack(now, ConnectionFate::Reuse);
        replyWhenDurable(now, {}, answer.standing.end);
        return;
    }
    if (answer.fault->sqlState == SqlState::uniqueViolation) {
        m_phase = Phase::Reading;
        send(now, { OutcomeSql::select(work().outcomeKey) });
        return;
    }
    giveBack(now, ConnectionFate::Reuse);
    auto error = statementError(*answer.fault, "cancel", target().value());
    if (answer.fault->sqlState == SqlState::readOnly)
        error.code = ErrorCode::NotPrimary;
    replyNotRun(now, std::move(error));
}

void SettleOperation::recordRead(Instant now, const TargetAnswer& answer)
{
    m_phase = Phase::Answered;
    giveBack(now, answer.fault ? ConnectionFate::Discard : ConnectionFate::Reuse);
    if (answer.fault || answer.results.size() != 1) {
        replyNotRun(now, error(ErrorCode::Conflict, "read outcome", "the record could not be read"));
        return;
    }
    const auto record = OutcomeRecord::parse(answer.results.front());
    if (!record) {
        replyNotRun(now, record.error());
        return;
    }
    WorkDone done;
    done.found = *record && !(*record)->cancelled;
    if (done.found)
        done.result = (*record)->result;
    if (!*record && work().kind == WorkKind::Cancel) {
        replyNotRun(now, error(ErrorCode::Conflict, "cancel", "another request under this key was under way"));
        return;
    }
    replyWhenDurable(now, std::move(done), answer.standing.end);
}

void SettleOperation::connectionLost(Instant now, const Error& error)
{
    forgetConnection();
    if (!isReplied() && !awaitsProof())
        replyFailed(now, error);
}

void SettleOperation::primaryReplaced(Instant now)
{
    if (isReplied() || awaitsProof() || !holdsPrimary())
        return;
    giveBack(now, ConnectionFate::Discard);
    replyFailed(now, error(ErrorCode::NotPrimary, "settle", "the primary was replaced"));
}

} // namespace Auburnpost
