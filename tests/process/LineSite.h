#pragma once

#include "process/ChildProcess.h"
#include "process/ThreadServer.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace Auburnpost::Test {

/// The platform's store with one row of configuration and one of a target, as far as one host needs it: reads, polls
/// that wait in vain, and writes that all succeed.
class LineStore {
public:
    explicit LineStore(std::uint16_t targetPort);
    ~LineStore();
    LineStore(const LineStore&) = delete;
    LineStore& operator=(const LineStore&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    void serve(const LoopbackSocket&);
    std::string answer(const std::string& target);

    std::string m_configuration;
    std::string m_target;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping { false };
    ThreadServer m_server { [this](const LoopbackSocket& connection) { serve(connection); } };
};

/// A target of the line protocol that is the only member of its group. A read of an item answers one short row, a read
/// of the item "large" answers largeRows rows of largeRowBytes each. Connections above connectionLimit are refused.
class LineTarget {
public:
    static constexpr std::size_t largeRows = 4;
    static constexpr std::size_t largeRowBytes = 256UL * 1024;
    static constexpr int connectionLimit = 16;

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    void serve(const LoopbackSocket&);

    void serveConnection(const LoopbackSocket&);

    std::atomic<std::uint64_t> m_position { 1 };
    std::atomic<int> m_connections { 0 };
    ThreadServer m_server { [this](const LoopbackSocket& connection) { serve(connection); } };
};

/// One process of "auburnpost proxy" with its stand-ins, ready to serve the database "orders".
class LineSite {
public:
    /// @param memoryMb and
    /// @param descriptors limits of the host in its settings.
    LineSite(int memoryMb, int descriptors);

    [[nodiscard]] std::uint16_t port() const { return m_callers; }
    [[nodiscard]] pid_t pid() const { return m_process->pid(); }
    /// Opens a session and runs one read. @return whether it was answered with its row.
    [[nodiscard]] bool servesRequest() const;

private:
    LineTarget m_target;
    LineStore m_store { m_target.port() };
    std::uint16_t m_callers { freePort() };
    std::uint16_t m_readiness { freePort() };
    TemporaryFolder m_folder;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace Auburnpost::Test
