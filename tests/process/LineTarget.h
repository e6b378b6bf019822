#pragma once

#include "process/ThreadServer.h"
#include "process/TransactionRecord.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace Auburnpost::Test {

/// How a target handles commits.
struct CommitBehaviour {
    /// Commits of 100 that are refused for lack of capacity; their transactions stay open.
    unsigned refusedOfHundred { 0 };
    std::chrono::milliseconds time { 0 };
};

/// A target of the line protocol that is the only member of its group. A read of an item answers one short row, a read
/// of the item "large" answers largeRows rows of largeRowBytes each.
class LineTarget {
public:
    static constexpr std::size_t largeRows = 4;
    static constexpr std::size_t largeRowBytes = 256UL * 1024;
    static constexpr int defaultConnectionLimit = 16;

    /// @param row row that answers a read.
    /// @param connectionLimit connections above it are refused.
    explicit LineTarget(std::string row = "value", int connectionLimit = defaultConnectionLimit, CommitBehaviour = {});

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    [[nodiscard]] int connectionLimit() const { return m_connectionLimit; }
    [[nodiscard]] const TransactionRecord& transactions() const { return m_transactions; }

private:
    void serve(const LoopbackSocket&);

    void serveConnection(const LoopbackSocket&);
    /// @return whether the commit ran.
    bool commit(const std::string& id, TrackedTransaction&);

    std::string m_row;
    int m_connectionLimit;
    CommitBehaviour m_commits;
    TransactionRecord m_transactions;
    std::atomic<unsigned> m_receivedCommits { 0 };
    std::atomic<std::uint64_t> m_position { 1 };
    std::atomic<int> m_connections { 0 };
    ThreadServer m_server { [this](const LoopbackSocket& connection) { serve(connection); } };
};

} // namespace Auburnpost::Test
