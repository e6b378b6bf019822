#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

namespace Auburnpost::Test {

/// An HTTP server that answers every request with a settable status, like GET /ready of a host.
class FakeHost {
public:
    FakeHost();
    ~FakeHost();
    FakeHost(const FakeHost&) = delete;
    FakeHost& operator=(const FakeHost&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    void setStatus(int status) { m_status = status; }
    /// Closes the listener and ends the serving thread.
    void stop();

private:
    void serve();

    int m_listener;
    std::uint16_t m_port;
    std::atomic<int> m_status { 200 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace Auburnpost::Test
