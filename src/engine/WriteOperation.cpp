#include "engine/WriteOperation.h"

#include "engine/HomeServices.h"
#include "engine/TargetFaults.h"

namespace Auburnpost {

namespace {

    /// Index of each statement's result in the answer to the first command.
    enum ResultIndex : std::size_t {
        BeginIndex,
        KeyIndex,
        StatementIndex,
        ResultCount,
    };
    constexpr std::size_t commitResultCount = 2;

} // namespace

void WriteOperation::sendFirstStatements(Instant now)
{
    m_phase = Phase::Executing;
    send(now,
        { { "BEGIN", {} }, OutcomeSql::insert(homeRequest().outcomeKey, homeRequest().requestHash),
            homeRequest().statement });
}

bool WriteOperation::mayHaveRun() const
{
    // The key already has a record, possibly of an earlier attempt at this write; until the record is read, the write
    // may have been executed.
    return m_phase == Phase::Committing || m_phase == Phase::Committed || m_isKeyTaken;
}

void WriteOperation::onAnswer(Instant now, const TargetAnswer& answer)
{
    switch (m_phase) {
    case Phase::Executing:
        return handleStatementResults(now, answer);
    case Phase::Committing:
        return handleCommitResults(now, answer);
    case Phase::RollingBack:
        return handleRollbackDone(now);
    case Phase::ReadingRecord:
        return handleOutcomeRecord(now, answer);
    case Phase::Waiting:
    case Phase::Committed:
        break;
    }
}

void WriteOperation::handleStatementResults(Instant now, const TargetAnswer& answer)
{
    if (!answer.fault && answer.results.size() == ResultCount) {
        m_phase = Phase::Committing;
        m_result = answer.results[StatementIndex];
        send(now, { OutcomeSql::complete(homeRequest().outcomeKey, m_result), { "COMMIT", {} } });
        return;
    }
    const auto fault = answer.fault.value_or(TargetFault { "XX000", "the answer is not whole" });
    const auto failedIndex = answer.results.size();
    m_failure = statementError(fault, "write", target().value());
    if (fault.sqlState == SqlState::readOnly)
        m_failure->code = ErrorCode::NotPrimary;
    m_isKeyTaken = failedIndex == KeyIndex && fault.sqlState == SqlState::uniqueViolation;
    m_phase = Phase::RollingBack;
    send(now, { { "ROLLBACK", {} } });
}

void WriteOperation::handleRollbackDone(Instant now)
{
    if (!m_isKeyTaken) {
        releaseConnection(now, ConnectionDisposition::Reuse);
        replyNotRun(now, *m_failure);
        return;
    }
    m_phase = Phase::ReadingRecord;
    send(now, { OutcomeSql::select(homeRequest().outcomeKey) });
}

void WriteOperation::handleCommitResults(Instant now, const TargetAnswer& answer)
{
    if (answer.fault) {
        // The target rejected the commit, so the transaction has no effect.
        m_phase = Phase::RollingBack;
        m_failure = statementError(*answer.fault, "commit", target().value());
        if (answer.fault->sqlState == SqlState::readOnly)
            m_failure->code = ErrorCode::NotPrimary;
        send(now, { { "ROLLBACK", {} } });
        return;
    }
    if (answer.results.size() != commitResultCount) {
        releaseConnection(now, ConnectionDisposition::Discard);
        replyUnknown(now, error(ErrorCode::Internal, "commit", "the target's answer is not whole"));
        return;
    }
    m_phase = Phase::Committed;
    releaseConnection(now, ConnectionDisposition::Reuse);
    HomeResult success;
    success.result = std::move(m_result);
    replyWhenDurable(now, std::move(success), answer.targetStatus.end);
}

void WriteOperation::handleOutcomeRecord(Instant now, const TargetAnswer& answer)
{
    releaseConnection(now, answer.fault ? ConnectionDisposition::Discard : ConnectionDisposition::Reuse);
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
        // The other execution with this key was rolled back in the meantime.
        m_isKeyTaken = false;
        replyNotRun(now, error(ErrorCode::Conflict, "write", "another request under this key was under way"));
        return;
    }
    replyFromRecord(now, **record, answer.targetStatus.end);
}

void WriteOperation::replyFromRecord(Instant now, const OutcomeRecord& record, const LogPoint& end)
{
    if (record.cancelled) {
        replyNotRunWhenDurable(now, error(ErrorCode::Conflict, "write", "the write was cancelled before it ran"), end);
        return;
    }
    if (record.requestHash != homeRequest().requestHash) {
        m_isKeyTaken = false;
        replyNotRun(now, error(ErrorCode::KeyReused, "write", "the key belongs to another request"));
        return;
    }
    HomeResult success;
    success.result = record.result;
    success.wasExecuted = true;
    replyWhenDurable(now, std::move(success), end);
}

void WriteOperation::onConnectionLost(Instant now, const Error& error)
{
    forgetConnection();
    if (!isReplied() && !isAwaitingMajority())
        replyFailure(now, error);
}

void WriteOperation::onPrimaryReplaced(Instant now)
{
    if (isReplied() || isAwaitingMajority() || m_phase == Phase::Waiting)
        return;
    // If the commit was not sent, closing the connection discards the transaction without effect.
    releaseConnection(now, ConnectionDisposition::Discard);
    replyFailure(now, error(ErrorCode::NotPrimary, "write", "the primary was replaced"));
}

} // namespace Auburnpost
