#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace Auburnpost::Test {

/// What the connections of a target saw of transactions. Used by several threads.
class TransactionRecord {
public:
    void addViolation(std::string text);
    void countRefusedCommit() { ++m_refusedCommits; }
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t refusedCommits() const { return m_refusedCommits; }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_violations;
    std::atomic<std::size_t> m_refusedCommits { 0 };
};

/// The transaction that is open on one connection of a target. The ids of statements say whose they are: those of one
/// transaction are "tx-OWNER-NUMBER", and no statement outside a transaction has an id that begins so.
class TrackedTransaction {
public:
    explicit TrackedTransaction(TransactionRecord& record)
        : m_record(record)
    {
    }

    /// @return the letter for the state in the answers of the target.
    [[nodiscard]] char state() const { return m_isOpen ? 'T' : 'I'; }
    void begin();
    void end();
    /// Checks a statement that runs on the connection.
    void run(const std::string& id);

private:
    TransactionRecord& m_record;
    bool m_isOpen { false };
    /// Empty until the transaction's first statement has run.
    std::string m_owner;
};

} // namespace Auburnpost::Test
