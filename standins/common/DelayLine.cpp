#include "common/DelayLine.h"

namespace Auburnpost::Standin {

DelayLine::DelayLine(const EventLoop& loop, std::function<void(const std::string&)> deliver)
    : m_deliver(std::move(deliver))
    , m_timer(loop, [this] { deliverDue(); })
{
}

void DelayLine::setPaused(bool paused)
{
    m_isPaused = paused;
    // Delivers from the event loop, since the caller may itself run inside m_deliver.
    if (!m_isPaused)
        m_timer.start(Duration::zero());
}

void DelayLine::push(std::string bytes)
{
    const bool wasEmpty = m_chunks.empty();
    m_chunks.push_back({ EventLoop::now() + m_delay, std::move(bytes) });
    if (wasEmpty && !m_isPaused)
        m_timer.start(m_delay);
}

void DelayLine::deliverDue()
{
    while (!m_isPaused && !m_chunks.empty()) {
        const auto wait = m_chunks.front().due - EventLoop::now();
        if (wait > Duration::zero()) {
            m_timer.start(wait);
            return;
        }
        const std::string bytes = std::move(m_chunks.front().bytes);
        m_chunks.pop_front();
        m_deliver(bytes);
    }
}

} // namespace Auburnpost::Standin
