#include "scale/Benches.h"

#include "member/GossipNetwork.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <vector>

namespace Auburnpost::Bench {

namespace {

    using namespace Member;
    using namespace MemberTest;

    /// Size of the IPv4 and UDP headers of each datagram.
    constexpr double headerBytes = 28;
    constexpr Duration measurementTime = 20s;

    double processorSeconds()
    {
        return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
    }

    std::size_t heapBytes()
    {
        return mallinfo2().uordblks;
    }

    struct Traffic {
        double datagrams { 0 };
        double bytes { 0 };
    };

    Traffic totalTraffic(GossipNetwork& site)
    {
        Traffic sum;
        for (std::size_t host = 0; host < site.size(); ++host) {
            if (!site.isRunning(host))
                continue;
            const auto& counters = site.member(host).counters();
            sum.datagrams += static_cast<double>(counters.datagramsSent);
            sum.bytes
                += static_cast<double>(counters.bytesSent) + headerBytes * static_cast<double>(counters.datagramsSent);
        }
        return sum;
    }

    struct Cost {
        double datagramsPerSecond { 0 };
        double bytesPerSecond { 0 };
        /// Percentage of one core, including the work of the simulated network.
        double processorPercent { 0 };
    };

    /// Runs the site for @p time. @return the mean traffic and processor use per host in this time.
    Cost measureCost(GossipNetwork& site, Duration time)
    {
        const auto before = totalTraffic(site);
        const auto processor = processorSeconds();
        site.run(time);
        const auto after = totalTraffic(site);
        const double hostSeconds = static_cast<double>(site.size()) * std::chrono::duration<double>(time).count();
        return { (after.datagrams - before.datagrams) / hostSeconds, (after.bytes - before.bytes) / hostSeconds,
            100 * (processorSeconds() - processor) / hostSeconds };
    }

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    /// @return the time until the given share of the other hosts has seen a change, at most 30 s.
    Duration runUntilSeen(GossipNetwork& site, HostChange change, double share)
    {
        const auto viewers = static_cast<double>(site.size() - 1) * share;
        return site.runUntil([&] { return static_cast<double>(site.count(change)) >= viewers; }, 30s);
    }

    void benchSite(std::size_t hosts)
    {
        const auto heapBefore = heapBytes();
        GossipNetwork site(hosts, hosts);
        const auto joined = site.runUntil([&] { return site.hasConverged(); }, 60s);
        site.run(5s);
        const auto heapPerHost = (heapBytes() - heapBefore) / hosts;
        const auto quiet = measureCost(site, measurementTime);
        NetworkFaults lossy;
        lossy.loss = 0.1;
        site.setFaults(lossy);
        site.clearChanges();
        const auto withLoss = measureCost(site, measurementTime);
        const auto falseDeaths = site.count(HostChange::Dead);
        const auto suspicions = site.count(HostChange::Suspected);
        site.setFaults({});
        site.run(10s);
        site.clearChanges();
        site.member(hosts - 1).announceShutdown(site.now());
        const auto leave = runUntilSeen(site, HostChange::Leaving, 0.95);
        site.run(5s);
        site.clearChanges();
        site.kill(hosts - 2);
        const auto half = runUntilSeen(site, HostChange::Dead, 0.5);
        const auto all = half + runUntilSeen(site, HostChange::Dead, 1);
        std::printf("%5zu %7.2f %8.1f %8.0f %7.3f %9.1f %8.1f %8.0f %7.3f %8zu %6zu %8.2f %8.2f %8.2f\n", hosts,
            seconds(joined), quiet.datagramsPerSecond, quiet.bytesPerSecond, quiet.processorPercent,
            static_cast<double>(heapPerHost) / 1024, withLoss.datagramsPerSecond, withLoss.bytesPerSecond,
            withLoss.processorPercent, suspicions, falseDeaths, seconds(leave), seconds(half), seconds(all));
        std::fflush(stdout);
    }

    /// Prints the distribution of the time until all hosts know of a death, at today's number of hosts.
    void benchDeaths()
    {
        constexpr std::size_t hosts = 18;
        constexpr std::size_t runs = 60;
        std::vector<double> times;
        for (std::size_t run = 0; run < runs; ++run) {
            GossipNetwork site(hosts, 1000 + run);
            site.run(10s);
            site.kill(run % hosts);
            times.push_back(seconds(site.runUntil([&] { return site.hostsSeeingLive(run % hosts) == 0; }, 30s)));
        }
        std::sort(times.begin(), times.end());
        std::printf("death known by all of %zu hosts, %zu runs: median %.2f s, 90%% %.2f s, worst %.2f s\n", hosts,
            runs, times[runs / 2], times[runs * 9 / 10], times.back());
    }

} // namespace

void benchMembership()
{
    std::printf(
        "membership: per host; bytes include %.0f of headers per datagram; CPU includes the simulated network\n",
        headerBytes);
    std::printf(
        "%5s %7s | %27s | %7s | %40s | %8s | %17s\n", "", "", "quiet", "", "10 % loss, 20 s", "leave", "death, s");
    std::printf("%5s %7s %8s %8s %7s %9s %8s %8s %7s %8s %6s %8s %8s %8s\n", "hosts", "join s", "dgrams/s", "bytes/s",
        "CPU %", "heap KiB", "dgrams/s", "bytes/s", "CPU %", "suspects", "dead", "95% s", "half", "all");
    for (const std::size_t hosts : { 5U, 15U, 30U, 60U, 120U, 540U })
        benchSite(hosts);
    benchDeaths();
}

} // namespace Auburnpost::Bench
