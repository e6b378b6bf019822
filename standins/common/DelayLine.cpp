#include "common/DelayLine.h"

namespace Auburnpost::Standin {

DelayLine::DelayLine(const EventLoop& loop, std::function<void(const std::string&)> deliver)
    : m_deliver(std::move(deliver))
    , m_timer(loop, [this] { deliverDue(); })
{
}

void DelayLine::setHeld(bool held)
{
    m_held = held;
    // From the loop, since the caller may be inside a delivery.
    if (!m_held)
        m_timer.start(Duration::zero());
}

void DelayLine::push(std::string bytes)
{
    const bool idle = m_parcels.empty();
    m_parcels.push_back({ EventLoop::now() + m_delay, std::move(bytes) });
    if (idle && !m_held)
        m_timer.start(m_delay);
}

void DelayLine::deliverDue()
{
    while (!m_held && !m_parcels.empty()) {
        const auto wait = m_parcels.front().due - EventLoop::now();
        if (wait > Duration::zero()) {
            m_timer.start(wait);
            return;
        }
        const std::string bytes = std::move(m_parcels.front().bytes);
        m_parcels.pop_front();
        m_deliver(bytes);
    }
}

} // namespace Auburnpost::Standin
