#include "target/SlotQueue.h"

#include <algorithm>

namespace Auburnpost::Standin {

SlotQueue::SlotQueue(EventLoop& loop, Target& target)
    : m_loop(loop)
    , m_target(target)
{
}

void SlotQueue::submit(std::function<bool()> wanted, std::function<void()> execute)
{
    m_waiting.push_back({ std::move(wanted), std::move(execute) });
    startNext();
}

void SlotQueue::startNext()
{
    while (m_busy < m_target.settings().slots && !m_waiting.empty()) {
        Job job = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (!job.wanted())
            continue;
        ++m_busy;
        m_target.counters.peakSlots = std::max<std::uint64_t>(m_target.counters.peakSlots, m_busy);
        m_loop.after(m_target.settings().statementTime + m_target.faults().slow, [this, execute = job.execute] {
            ++m_target.counters.statements;
            execute();
            --m_busy;
            startNext();
        });
    }
}

} // namespace Auburnpost::Standin
