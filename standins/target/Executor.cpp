#include "target/Executor.h"

#include "target/GroupCall.h"
#include "target/StatementKind.h"

#include <array>

namespace Auburnpost::Standin {

Executor::Executor(EventLoop& loop, Target& target, SlotQueue& slots, WriteLock& lock, WriteLock::Owner id)
    : m_loop(loop)
    , m_target(target)
    , m_slots(slots)
    , m_lock(lock)
    , m_id(id)
    , m_targetStatus(target.targetStatus())
{
}

void Executor::execute(const SqlCommand& command, Done done)
{
    static constexpr std::array<Handler, 9> handlers { &Executor::runEmpty, &Executor::runBegin,
        &Executor::runBeginReadOnly, &Executor::runCommit, &Executor::runRollback, &Executor::runSetReadOnly,
        &Executor::runDiscard, &Executor::runGroup, &Executor::runSql };
    const StatementKind kind = classify(command.sql);
    const bool endsTransaction = kind == StatementKind::Commit || kind == StatementKind::Rollback;
    if (m_transactionState == TransactionState::Failed && !endsTransaction && kind != StatementKind::Group) {
        finish(makeSqlError(SqlState::transactionFailed, "the transaction has failed; roll it back"), done);
        return;
    }
    (this->*handlers[static_cast<std::size_t>(kind)])(command, done);
}

void Executor::sync(const Done& done)
{
    if (m_transactionState != TransactionState::Implicit) {
        done(QueryResult {});
        return;
    }
    const auto committed = commitWrites();
    const bool answerWithheld = m_hasWritten && m_target.faults().crash == CrashPoint::AfterShip;
    endTransaction();
    m_targetStatus = m_target.targetStatus();
    if (!committed)
        finish(tl::unexpected<SqlError>(committed.error()), done);
    else if (!answerWithheld)
        done(QueryResult {});
}

void Executor::abandon()
{
    m_pendingWait.reset();
    rollBackWrites();
    m_transactionState = TransactionState::Idle;
}

SqlExpected<std::vector<Column>> Executor::describe(const std::string& sql)
{
    switch (classify(sql)) {
    case StatementKind::Sql:
        return (m_hasWritten ? m_target.store().working() : m_target.store().committed()).describe(sql);
    case StatementKind::Group:
        return groupColumns();
    default:
        return {};
    }
}

char Executor::status() const
{
    switch (m_transactionState) {
    case TransactionState::Open:
        return 'T';
    case TransactionState::Failed:
        return 'E';
    default:
        return 'I';
    }
}

void Executor::runEmpty(const SqlCommand&, const Done& done)
{
    done(QueryResult {});
}

void Executor::runBegin(const SqlCommand&, const Done& done)
{
    begin(false, "BEGIN", done);
}

void Executor::runBeginReadOnly(const SqlCommand&, const Done& done)
{
    begin(true, "BEGIN", done);
}

void Executor::begin(bool readOnly, const std::string& tag, const Done& done)
{
    // As in PostgreSQL, earlier statements of the implicit transaction become part of the transaction block.
    m_transactionState = TransactionState::Open;
    m_readOnly = readOnly;
    finishWithTag(tag, done);
}

void Executor::runCommit(const SqlCommand&, const Done& done)
{
    if (m_transactionState == TransactionState::Failed) {
        endTransaction();
        finishWithTag("ROLLBACK", done);
        return;
    }
    const auto committed = commitWrites();
    const bool answerWithheld = m_hasWritten && m_target.faults().crash == CrashPoint::AfterShip;
    endTransaction();
    if (!committed)
        finish(tl::unexpected<SqlError>(committed.error()), done);
    else if (!answerWithheld)
        finishWithTag("COMMIT", done);
}

void Executor::runRollback(const SqlCommand&, const Done& done)
{
    rollBackWrites();
    endTransaction();
    finishWithTag("ROLLBACK", done);
}

void Executor::runSetReadOnly(const SqlCommand&, const Done& done)
{
    m_readOnly = true;
    finishWithTag("SET", done);
}

void Executor::runDiscard(const SqlCommand&, const Done& done)
{
    if (m_transactionState == TransactionState::Open)
        finish(makeSqlError(SqlState::syntax, "not inside a transaction"), done);
    else
        finishWithTag("DISCARD ALL", done);
}

void Executor::runGroup(const SqlCommand& command, const Done& done)
{
    const auto call = parseGroupCall(command);
    if (!call) {
        finish(tl::unexpected<SqlError>(call.error()), done);
        return;
    }
    GroupStatus status;
    switch (call->operation) {
    case GroupOperation::Status:
        status = m_target.status(true);
        break;
    case GroupOperation::Fence:
        status = m_target.fence(call->term, call->candidate);
        break;
    case GroupOperation::Promote:
        status = m_target.promote(call->term, call->candidate);
        break;
    case GroupOperation::Follow:
        status = m_target.follow(call->term, call->primary);
        break;
    case GroupOperation::Wait:
        waitFor(*call, done);
        return;
    }
    finish(toResult(status), done);
}

void Executor::waitFor(const GroupCommand& call, const Done& done)
{
    const auto covered = [this, point = call.point] { return m_target.log().end().covers(point); };
    if (covered() || call.timeout <= Duration::zero()) {
        finish(toResult(m_target.status(covered())), done);
        return;
    }
    // Answers from the event loop, so that neither the signal nor the timer is freed inside its own callback.
    const auto answer = [this, covered, done, serial = ++m_lastWaitSerial, weak = weak_from_this()] {
        m_loop.runAfter(Duration::zero(), [this, covered, done, serial, weak] {
            if (const auto alive = weak.lock(); alive && m_pendingWait && m_pendingWait->serial == serial) {
                m_pendingWait.reset();
                finish(toResult(m_target.status(covered())), done);
            }
        });
    };
    m_pendingWait = std::make_unique<PendingWait>(m_lastWaitSerial);
    m_pendingWait->timer = std::make_unique<Timer>(m_loop, answer);
    m_pendingWait->timer->start(call.timeout);
    m_pendingWait->change = m_target.changed.connect([covered, answer] {
        if (covered())
            answer();
    });
}

void Executor::runSql(const SqlCommand& command, const Done& done)
{
    if (m_transactionState == TransactionState::Idle)
        m_transactionState = TransactionState::Implicit;
    auto& database = m_hasWritten ? m_target.store().working() : m_target.store().committed();
    if (!database.writes(command.sql))
        enqueue(command, false, done);
    else if (m_readOnly)
        finish(makeSqlError(SqlState::readOnly, "the transaction is read-only"), done);
    else if (m_target.group().role != TargetRole::Primary)
        finish(makeSqlError(SqlState::readOnly, "the target is not primary"), done);
    else if (m_hasWritten)
        enqueue(command, true, done);
    else
        lockAndWrite(command, done);
}

void Executor::lockAndWrite(const SqlCommand& command, const Done& done)
{
    m_lock.request(m_id, [this, command, done, weak = weak_from_this()](bool granted) {
        const auto alive = weak.lock();
        if (!alive)
            return;
        m_hasLock = granted;
        if (granted)
            enqueue(command, true, done);
        else
            finish(makeSqlError(SqlState::lockTimeout, "another transaction holds the write lock"), done);
    });
}

void Executor::enqueue(const SqlCommand& command, bool writes, const Done& done)
{
    const auto weak = weak_from_this();
    m_slots.enqueue([weak] { return !weak.expired(); },
        [this, weak, command, writes, done] {
            if (const auto alive = weak.lock())
                finish(run(command, writes), done);
        });
}

SqlExpected<QueryResult> Executor::run(const SqlCommand& command, bool writes)
{
    if (m_hasWritten && !isPrimaryInWriteTerm())
        return makeSqlError(SqlState::readOnly, "the target was fenced while the transaction was open");
    if (!writes)
        return (m_hasWritten ? m_target.store().working() : m_target.store().committed()).execute(command);
    auto result = m_target.write(command);
    if (result && !m_hasWritten) {
        m_hasWritten = true;
        m_writeTerm = m_target.group().leadingTerm;
    }
    return result;
}

bool Executor::isPrimaryInWriteTerm() const
{
    return m_target.group().role == TargetRole::Primary && m_target.group().leadingTerm == m_writeTerm;
}

SqlExpected<LogPoint> Executor::commitWrites()
{
    if (!m_hasWritten)
        return m_target.log().end();
    return m_target.commit(m_writeTerm);
}

void Executor::endTransaction()
{
    m_transactionState = TransactionState::Idle;
    m_readOnly = false;
    m_hasWritten = false;
    m_hasLock = false;
    m_lock.release(m_id);
}

void Executor::rollBackWrites()
{
    if (m_hasLock)
        m_target.rollback();
    m_hasWritten = false;
    m_hasLock = false;
    m_lock.release(m_id);
}

void Executor::finishWithTag(const std::string& tag, const Done& done)
{
    finish(QueryResult { {}, tag }, done);
}

void Executor::finish(const SqlExpected<QueryResult>& result, const Done& done)
{
    m_targetStatus = m_target.targetStatus();
    if (!result) {
        const bool wasExplicit
            = m_transactionState == TransactionState::Open || m_transactionState == TransactionState::Failed;
        rollBackWrites();
        m_transactionState = wasExplicit ? TransactionState::Failed : TransactionState::Idle;
    }
    done(result);
}

} // namespace Auburnpost::Standin
