#pragma once

#include "target/SlotQueue.h"
#include "target/WriteLock.h"

#include <memory>

namespace Auburnpost::Standin {

/// Runs the statements of one connection in sequence and tracks its transaction.
class Executor : public std::enable_shared_from_this<Executor> {
public:
    using Done = std::function<void(const SqlExpected<QueryResult>&)>;

    /// @param id identifies the connection to the write lock; must not be 0.
    Executor(EventLoop&, Target&, SlotQueue&, WriteLock&, WriteLock::Owner id);

    /// Runs one statement.
    /// @param done called with the result, unless the connection ends first.
    void execute(const SqlCommand&, Done done);
    /// Commits the implicit transaction, if one is open, and calls @p done with the outcome.
    void sync(const Done& done);
    /// Rolls back the transaction of a closed connection.
    void abandon();

    /// @return the result columns of a statement, without running it.
    SqlExpected<std::vector<Column>> describe(const std::string& sql);
    /// @return the transaction status of PostgreSQL's ReadyForQuery: 'I', 'T' or 'E'.
    [[nodiscard]] char status() const;
    /// @return the fenced term, log end and role of the target when the last statement was executed.
    [[nodiscard]] const TargetStatus& targetStatus() const { return m_targetStatus; }

private:
    enum class TransactionState : std::uint8_t {
        Idle,
        /// A transaction without BEGIN, which ends at the next Sync.
        Implicit,
        /// A transaction block started by BEGIN.
        Open,
        /// A transaction block with a failed statement, which accepts only its end and group calls.
        Failed,
    };
    using Handler = void (Executor::*)(const SqlCommand&, const Done&);

    /// A group_wait call that has not been answered.
    struct PendingWait {
        explicit PendingWait(std::uint64_t number)
            : serial(number)
        {
        }
        ~PendingWait() { change.disconnect(); }

        std::uint64_t serial;
        sigc::connection change;
        std::unique_ptr<Timer> timer;
    };

    void runEmpty(const SqlCommand&, const Done&);
    void runBegin(const SqlCommand&, const Done&);
    void runBeginReadOnly(const SqlCommand&, const Done&);
    void runCommit(const SqlCommand&, const Done&);
    void runRollback(const SqlCommand&, const Done&);
    void runSetReadOnly(const SqlCommand&, const Done&);
    void runDiscard(const SqlCommand&, const Done&);
    void runGroup(const SqlCommand&, const Done&);
    void runSql(const SqlCommand&, const Done&);

    void begin(bool readOnly, const std::string& tag, const Done&);
    void waitFor(const GroupCommand&, const Done&);
    void lockAndWrite(const SqlCommand&, const Done&);
    void enqueue(const SqlCommand&, bool writes, const Done&);
    SqlExpected<QueryResult> run(const SqlCommand&, bool writes);
    /// @return whether the target is still primary in the term in which the transaction first wrote.
    [[nodiscard]] bool isPrimaryInWriteTerm() const;
    SqlExpected<LogPoint> commitWrites();
    void endTransaction();
    void rollBackWrites();
    void finishWithTag(const std::string& tag, const Done&);
    void finish(const SqlExpected<QueryResult>&, const Done&);

    EventLoop& m_loop;
    Target& m_target;
    SlotQueue& m_slots;
    WriteLock& m_lock;
    WriteLock::Owner m_id;
    TransactionState m_transactionState { TransactionState::Idle };
    bool m_readOnly { false };
    bool m_hasWritten { false };
    bool m_hasLock { false };
    std::uint64_t m_lastWaitSerial { 0 };
    Term m_writeTerm;
    TargetStatus m_targetStatus;
    std::unique_ptr<PendingWait> m_pendingWait;
};

} // namespace Auburnpost::Standin
