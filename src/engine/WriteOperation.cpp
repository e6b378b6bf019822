#include "engine/WriteOperation.h"

#include "engine/HomeServices.h"
#include "engine/TargetFaults.h"

namespace Auburnpost {

namespace {

    /// Index of each statement in the first flight.
    enum Flight : std::size_t {
        BeginIndex,
        KeyIndex,
        StatementIndex,
        FlightSize,
    };
    constexpr std::size_t commitFlight = 2;

} // namespace

void WriteOperation::begin(Instant now)
{
    m_phase = Phase::Executing;
    send(now, { { "BEGIN", {} }, OutcomeSql::insert(work().outcomeKey, work().requestHash), work().statement });
}

bool WriteOperation::mayHaveRun() const
{
    // A record that is being read is another run's: it says nothing against this key having run.
    return m_phase == Phase::Committing || m_phase == Phase::Committed || m_keyTaken;
}

void WriteOperation::answered(Instant now, const TargetAnswer& answer)
{
    switch (m_phase) {
    case Phase::Executing:
        return executed(now, answer);
    case Phase::Committing:
        return committed(now, answer);
    case Phase::RollingBack:
        return rolledBack(now);
    case Phase::ReadingRecord:
        return recordRead(now, answer);
    case Phase::Waiting:
    case Phase::Committed:
        break;
    }
}

void WriteOperation::executed(Instant now, const TargetAnswer& answer)
{
    if (!answer.fault && answer.results.size() == FlightSize) {
        m_phase = Phase::Committing;
        m_result = answer.results[StatementIndex];
        send(now, { OutcomeSql::complete(work().outcomeKey, m_result), { "COMMIT", {} } });
        return;
    }
    const auto fault = answer.fault.value_or(TargetFault { "XX000", "the answer is not whole" });
    const auto failedAt = answer.results.size();
    m_refusal = statementError(fault, "write", target().value());
    if (fault.sqlState == SqlState::readOnly)
        m_refusal->code = ErrorCode::NotPrimary;
    m_keyTaken = failedAt == KeyIndex && fault.sqlState == SqlState::uniqueViolation;
    m_phase = Phase::RollingBack;
    send(now, { { "ROLLBACK", {} } });
}

void WriteOperation::rolledBack(Instant now)
{
    if (!m_keyTaken) {
        giveBack(now, ConnectionFate::Reuse);
        replyNotRun(now, *m_refusal);
        return;
    }
    m_phase = Phase::ReadingRecord;
    send(now, { OutcomeSql::select(work().outcomeKey) });
}

void WriteOperation::committed(Instant now, const TargetAnswer& answer)
{
    if (answer.fault) {
        // The target refused the commit: it kept nothing.
        m_phase = Phase::RollingBack;
        m_refusal = statementError(*answer.fault, "commit", target().value());
        if (answer.fault->sqlState == SqlState::readOnly)
            m_refusal->code = ErrorCode::NotPrimary;
        send(now, { { "ROLLBACK", {} } });
        return;
    }
    if (answer.results.size() != commitFlight) {
        giveBack(now, ConnectionFate::Discard);
        replyUnknown(now, error(ErrorCode::Internal, "commit", "the target's answer is not whole"));
        return;
    }
    m_phase = Phase::Committed;
    giveBack(now, ConnectionFate::Reuse);
    WorkDone done;
    done.result = std::move(m_result);
    replyWhenDurable(now, std::move(done), answer.standing.end);
}

void WriteOperation::recordRead(Instant now, const TargetAnswer& answer)
{
    giveBack(now, answer.fault ? ConnectionFate::Discard : ConnectionFate::Reuse);
    if (answer.fault || answer.results.size() != 1) {
        replyUnknown(now, error(ErrorCode::Internal, "read outcome", "the record could not be read"));
        return;
    }
    const auto record = OutcomeRecord::parse(answer.results.front());
    if (!record) {
        replyUnknown(now, record.error());
        return;
    }
    if (!*record) {
        // The other run under this key was rolled back in between.
        m_keyTaken = false;
        replyNotRun(now, error(ErrorCode::Conflict, "write", "another request under this key was under way"));
        return;
    }
    answerRecord(now, **record, answer.standing.end);
}

void WriteOperation::answerRecord(Instant now, const OutcomeRecord& record, const LogPoint& end)
{
    if (record.cancelled) {
        refuseWhenDurable(now, error(ErrorCode::Conflict, "write", "the write was cancelled before it ran"), end);
        return;
    }
    if (record.requestHash != work().requestHash) {
        m_keyTaken = false;
        replyNotRun(now, error(ErrorCode::KeyReused, "write", "the key belongs to another request"));
        return;
    }
    WorkDone done;
    done.result = record.result;
    done.found = true;
    replyWhenDurable(now, std::move(done), end);
}

void WriteOperation::connectionLost(Instant now, const Error& error)
{
    forgetConnection();
    if (!isReplied() && !awaitsProof())
        replyFailed(now, error);
}

void WriteOperation::primaryReplaced(Instant now)
{
    if (isReplied() || awaitsProof() || m_phase == Phase::Waiting)
        return;
    // Closing the connection before the commit was sent leaves nothing behind.
    giveBack(now, ConnectionFate::Discard);
    replyFailed(now, error(ErrorCode::NotPrimary, "write", "the primary was replaced"));
}

} // namespace Auburnpost
