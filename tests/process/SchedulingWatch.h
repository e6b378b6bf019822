#pragma once

#include "process/ConfigHistory.h"

#include <atomic>
#include <thread>

namespace Auburnpost::Test {

/// Records when this process, and with it the stand-ins, got no processor time.
class SchedulingWatch {
public:
    SchedulingWatch();
    ~SchedulingWatch();
    SchedulingWatch(const SchedulingWatch&) = delete;
    SchedulingWatch& operator=(const SchedulingWatch&) = delete;

    /// Ends the watch. @return the gaps, as disturbances of all hosts.
    std::vector<Disturbance> stop();

private:
    void watch();

    std::atomic<bool> m_isStopping { false };
    std::vector<Disturbance> m_gaps;
    std::thread m_thread;
};

} // namespace Auburnpost::Test
