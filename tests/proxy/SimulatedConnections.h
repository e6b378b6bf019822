#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <set>
#include <utility>

namespace Auburnpost::Proxy {

/// The connections of a host's client to the store: a few, and calls that wait for one in the order of their start.
class SimulatedConnections {
public:
    explicit SimulatedConnections(std::size_t count)
        : m_free(count)
    {
    }

    /// Sends a call, at once or when a connection is free.
    void start(std::uint64_t call, std::function<void()> send)
    {
        m_waiting.emplace_back(call, std::move(send));
        sendWaiting();
    }

    /// Ends a call that was answered or timed out.
    void end(std::uint64_t call)
    {
        m_waiting.remove_if([call](const auto& waiting) { return waiting.first == call; });
        m_free += m_sent.erase(call);
        sendWaiting();
    }

private:
    void sendWaiting()
    {
        while (m_free > 0 && !m_waiting.empty()) {
            const auto [call, send] = std::move(m_waiting.front());
            m_waiting.pop_front();
            m_sent.insert(call);
            --m_free;
            send();
        }
    }

    std::size_t m_free;
    std::list<std::pair<std::uint64_t, std::function<void()>>> m_waiting;
    std::set<std::uint64_t> m_sent;
};

} // namespace Auburnpost::Proxy
