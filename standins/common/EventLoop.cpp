#include "common/EventLoop.h"

#include <algorithm>
#include <csignal>
#include <event2/event.h>
#include <sys/prctl.h>

namespace Auburnpost::Standin {

namespace {

    timeval toTimeval(Duration delay)
    {
        constexpr std::int64_t microsecondsPerSecond = 1'000'000;
        const auto count = std::max<std::int64_t>(0, delay.count());
        return { count / microsecondsPerSecond, count % microsecondsPerSecond };
    }

    event_base* makeBase()
    {
        event_config* const config = event_config_new();
        event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
        event_config_set_flag(config, EVENT_BASE_FLAG_NO_CACHE_TIME);
        event_base* const base = event_base_new_with_config(config);
        event_config_free(config);
        return base;
    }

    void stopLoop(evutil_socket_t, short, void* base)
    {
        event_base_loopbreak(static_cast<event_base*>(base));
    }

    void runTask(evutil_socket_t, short, void* argument)
    {
        const std::unique_ptr<std::function<void()>> task(static_cast<std::function<void()>*>(argument));
        (*task)();
    }

    void runTimer(evutil_socket_t, short, void* argument)
    {
        (*static_cast<std::function<void()>*>(argument))();
    }

} // namespace

EventLoop::EventLoop()
    : m_base(makeBase())
    , m_terminateSignal(evsignal_new(m_base, SIGTERM, stopLoop, m_base))
    , m_interruptSignal(evsignal_new(m_base, SIGINT, stopLoop, m_base))
{
    std::signal(SIGPIPE, SIG_IGN);
    event_add(m_terminateSignal, nullptr);
    event_add(m_interruptSignal, nullptr);
}

EventLoop::~EventLoop()
{
    event_free(m_terminateSignal);
    event_free(m_interruptSignal);
    event_base_free(m_base);
}

Instant EventLoop::now()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

void EventLoop::terminateWithParent()
{
    prctl(PR_SET_PDEATHSIG, SIGTERM);
}

void EventLoop::run()
{
    event_base_dispatch(m_base);
}

void EventLoop::runAfter(Duration delay, std::function<void()> task)
{
    const timeval wait = toTimeval(delay);
    auto owned = std::make_unique<std::function<void()>>(std::move(task));
    event_base_once(m_base, -1, EV_TIMEOUT, runTask, owned.release(), &wait);
}

Timer::Timer(const EventLoop& loop, std::function<void()> onExpiry)
    : m_onExpiry(std::move(onExpiry))
    , m_event(evtimer_new(loop.base(), runTimer, &m_onExpiry))
{
}

Timer::~Timer()
{
    event_free(m_event);
}

void Timer::start(Duration delay)
{
    const timeval wait = toTimeval(delay);
    evtimer_add(m_event, &wait);
}

void Timer::stop()
{
    evtimer_del(m_event);
}

} // namespace Auburnpost::Standin
