#pragma once

#include "base/Time.h"

#include <functional>
#include <memory>

struct event_base;
struct event;

namespace Auburnpost::Standin {

/// One libevent loop with timers of microsecond precision; stops on SIGTERM and SIGINT.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    [[nodiscard]] event_base* base() const { return m_base; }
    /// @return the monotonic time.
    [[nodiscard]] static Instant now();
    /// Asks for SIGTERM when the process that started this one ends.
    static void endWithParent();
    /// Runs until a signal asks for the end.
    void run();
    /// Calls @p task once after @p delay; it can't be cancelled.
    void after(Duration delay, std::function<void()> task);

private:
    event_base* m_base;
    event* m_terminate;
    event* m_interrupt;
};

/// A timer that can be restarted and stopped.
class Timer {
public:
    /// @param expired called each time the timer runs out.
    Timer(const EventLoop&, std::function<void()> expired);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Starts or restarts the timer.
    void start(Duration);
    void stop();

private:
    std::function<void()> m_expired;
    event* m_event;
};

} // namespace Auburnpost::Standin
