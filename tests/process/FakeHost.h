#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

namespace Auburnpost::Test {

/// Answers each request to its port with one settable status, as a host's GET /ready does.
class FakeHost {
public:
    FakeHost();
    ~FakeHost();
    FakeHost(const FakeHost&) = delete;
    FakeHost& operator=(const FakeHost&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    void answerWith(int status) { m_status = status; }
    /// Closes the port.
    void stop();

private:
    void serve();

    int m_listener;
    std::uint16_t m_port;
    std::atomic<int> m_status { 200 };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace Auburnpost::Test
