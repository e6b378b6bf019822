// The faults of hosts and of the store.
#include "process/GroupDriver.h"
#include "process/ProcessState.h"

#include <algorithm>
#include <csignal>

namespace Auburnpost::Test {

void GroupDriver::stopHost(Moment now)
{
    const auto host = pickHost();
    const auto until = now + pick(500, 5000);
    pauseBetween(host, now, until);
    note(now, until, hostName(host) + " stopped");
}

void GroupDriver::starveHost(Moment now)
{
    constexpr auto period = Milliseconds(100);
    constexpr auto pauseInPeriod = Milliseconds(80);
    const auto host = pickHost();
    const auto until = now + pick(1000, 4000);
    for (auto begin = now; begin < until; begin += period)
        pauseBetween(host, begin, begin + pauseInPeriod);
    note(now, until, hostName(host) + " starved");
}

void GroupDriver::restartHost(std::size_t host)
{
    m_site.startHost(host);
    m_isDown[host] = false;
    if (m_pauses[host] > 0)
        m_site.host(host).signal(SIGSTOP);
}

void GroupDriver::killHost(Moment now)
{
    const auto host = pickHost();
    if (m_isDown[host])
        return;
    m_isDown[host] = true;
    if (!isRunning(m_site.host(host).pid()))
        ++m_hostsEnded;
    m_site.killHost(host);
    const auto until = now + pick(0, 3000);
    at(until, [this, host] { restartHost(host); });
    note(now, until, hostName(host) + " killed");
}

void GroupDriver::terminateHost(Moment now)
{
    const auto host = pickHost();
    if (m_isDown[host])
        return;
    m_isDown[host] = true;
    if (!isRunning(m_site.host(host).pid()))
        ++m_hostsEnded;
    m_site.host(host).signal(SIGTERM);
    const auto until = now + pick(1000, 7000);
    at(until, [this, host] {
        m_site.killHost(host);
        restartHost(host);
    });
    note(now, until, hostName(host) + " terminated");
}

void GroupDriver::silenceStoreForHost(Moment now)
{
    const auto host = pickHost();
    const auto until = now + pick(500, 6000);
    m_site.store().setFault(hostName(host), StoreFault::Silent);
    at(until, [this, host] { m_site.store().setFault(hostName(host), StoreFault::None); });
    note(now, until, "store silent for " + hostName(host));
}

void GroupDriver::silenceStore(Moment now)
{
    const auto until = now + pick(300, 4000);
    m_site.store().setFault("", StoreFault::Silent);
    at(until, [this] { m_site.store().setFault("", StoreFault::None); });
    note(now, until, "store silent for all");
}

} // namespace Auburnpost::Test
