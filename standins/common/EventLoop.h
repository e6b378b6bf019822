#pragma once

#include "base/Time.h"

#include <functional>
#include <memory>

struct event_base;
struct event;

namespace Auburnpost::Standin {

/// A libevent loop with timers of microsecond precision. It stops on SIGTERM and SIGINT.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    [[nodiscard]] event_base* base() const { return m_base; }
    /// @return the current time of the monotonic clock.
    [[nodiscard]] static Instant now();
    /// Requests that the kernel sends SIGTERM to this process when its parent process ends.
    static void terminateWithParent();
    /// Runs the loop until SIGTERM or SIGINT arrives.
    void run();
    /// Calls @p task once after @p delay. The call can't be cancelled.
    void runAfter(Duration delay, std::function<void()> task);

private:
    event_base* m_base;
    event* m_terminateSignal;
    event* m_interruptSignal;
};

/// A timer that can be restarted and stopped.
class Timer {
public:
    /// @param onExpiry called each time the timer expires.
    Timer(const EventLoop&, std::function<void()> onExpiry);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Starts or restarts the timer.
    void start(Duration);
    void stop();

private:
    std::function<void()> m_onExpiry;
    event* m_event;
};

} // namespace Auburnpost::Standin
