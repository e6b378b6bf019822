#include "target/SlotQueue.h"

#include <algorithm>

namespace Auburnpost::Standin {

SlotQueue::SlotQueue(EventLoop& loop, Target& target)
    : m_loop(loop)
    , m_target(target)
{
}

void SlotQueue::enqueue(std::function<bool()> isWanted, std::function<void()> execute)
{
    m_waiting.push_back({ std::move(isWanted), std::move(execute) });
    startNext();
}

void SlotQueue::startNext()
{
    while (m_busySlots < m_target.settings().slots && !m_waiting.empty()) {
        Job job = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (!job.isWanted())
            continue;
        ++m_busySlots;
        m_target.counters.peakSlots = std::max<std::uint64_t>(m_target.counters.peakSlots, m_busySlots);
        m_loop.runAfter(m_target.settings().statementTime + m_target.faults().slow, [this, execute = job.execute] {
            ++m_target.counters.statements;
            execute();
            --m_busySlots;
            startNext();
        });
    }
}

} // namespace Auburnpost::Standin
