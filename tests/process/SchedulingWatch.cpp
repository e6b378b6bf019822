#include "process/SchedulingWatch.h"

namespace Auburnpost::Test {

namespace {

    constexpr auto interval = std::chrono::milliseconds(10);
    /// A shorter gap delays an answer of the store by less than the hosts' times allow for.
    constexpr auto leastGap = std::chrono::milliseconds(150);

} // namespace

SchedulingWatch::SchedulingWatch()
    : m_thread([this] { watch(); })
{
}

SchedulingWatch::~SchedulingWatch()
{
    (void)stop();
}

std::vector<Disturbance> SchedulingWatch::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    return m_gaps;
}

void SchedulingWatch::watch()
{
    auto last = std::chrono::steady_clock::now();
    while (!m_isStopping) {
        std::this_thread::sleep_for(interval);
        const auto now = std::chrono::steady_clock::now();
        if (now - last >= leastGap)
            m_gaps.push_back({ Disturbance::allHosts, last, now, "the stand-ins got no processor time" });
        last = now;
    }
}

} // namespace Auburnpost::Test
