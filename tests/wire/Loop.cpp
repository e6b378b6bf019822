#include "wire/Loop.h"

#include "wire/LoopTime.h"

namespace {

constexpr std::chrono::seconds waitLimit { 5 };
constexpr std::chrono::milliseconds pollInterval { 1 };

void doNothing(evutil_socket_t, short, void*) { }

} // namespace

Loop::Loop()
    : m_base(event_base_new(), event_base_free)
{
}

bool Loop::runUntil(const std::function<bool()>& condition) const
{
    // The timer makes the loop return, so that conditions which change outside of it are checked as well.
    const std::unique_ptr<event, void (*)(event*)> wakeUp(
        event_new(m_base.get(), -1, EV_PERSIST, &doNothing, nullptr), event_free);
    const auto interval = Auburnpost::Wire::toTimeval(pollInterval);
    event_add(wakeUp.get(), &interval);
    const auto end = std::chrono::steady_clock::now() + waitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        event_base_loop(m_base.get(), EVLOOP_ONCE);
    }
    return true;
}

void Loop::runFor(std::chrono::milliseconds duration) const
{
    const auto end = std::chrono::steady_clock::now() + duration;
    [[maybe_unused]] const bool over = runUntil([end] { return std::chrono::steady_clock::now() >= end; });
}
