#pragma once

#include "base/Time.h"

#include <functional>
#include <queue>
#include <vector>

namespace Auburnpost::Group {

/// Simulated time: runs events in order of time; events of the same time run in the order in which they were posted.
class EventQueue {
public:
    using Task = std::function<void()>;

    [[nodiscard]] Instant now() const { return m_now; }
    void after(Duration delay, Task task) { m_events.push({ m_now + delay, m_posted++, std::move(task) }); }

    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            auto task = std::move(const_cast<Event&>(m_events.top()).task);
            m_now = m_events.top().at;
            m_events.pop();
            task();
        }
        m_now = end;
    }

private:
    struct Event {
        Instant at;
        std::uint64_t order;
        Task task;

        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    Instant m_now {};
    std::uint64_t m_posted { 0 };
    std::priority_queue<Event> m_events;
};

} // namespace Auburnpost::Group
