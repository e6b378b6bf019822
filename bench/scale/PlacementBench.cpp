#include "scale/Benches.h"

#include "member/HomePlacement.h"
#include "member/HostRecord.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

namespace Auburnpost::Bench {

namespace {

    using namespace Member;

    constexpr std::size_t hostCount = 540;
    constexpr std::size_t databaseCount = 1000;
    constexpr std::size_t dataCentreCount = 10;
    constexpr std::size_t lostHosts = 10;

    DataCentreName dataCentre(std::size_t index)
    {
        return DataCentreName("data-centre-" + std::to_string(index % dataCentreCount));
    }

    std::vector<HostRecord> makeHosts()
    {
        std::vector<HostRecord> hosts(hostCount);
        for (std::size_t index = 0; index < hostCount; ++index) {
            hosts[index].host.name = HostName("entry-host-" + std::to_string(index));
            hosts[index].host.dataCentre = dataCentre(index);
        }
        return hosts;
    }

    std::vector<std::vector<HostName>> placeAll(const std::vector<HostRecord>& hosts, std::size_t homes)
    {
        const HomePlacement placement(hosts);
        std::vector<std::vector<HostName>> all;
        for (std::size_t database = 0; database < databaseCount; ++database)
            all.push_back(placement.homes({ DatabaseName("sizing-core-" + std::to_string(database)),
                dataCentre(database), { dataCentre(database + 1), dataCentre(database + 2) }, homes }));
        return all;
    }

    std::size_t countAddedHomes(std::vector<HostName> before, std::vector<HostName> after)
    {
        std::sort(before.begin(), before.end());
        std::sort(after.begin(), after.end());
        std::vector<HostName> added;
        std::set_difference(after.begin(), after.end(), before.begin(), before.end(), std::back_inserter(added));
        return added.size();
    }

} // namespace

void benchPlacement()
{
    std::printf(
        "\nplacement of %zu databases over %zu hosts, %zu data centres\n", databaseCount, hostCount, dataCentreCount);
    std::printf("%6s %10s %16s %24s\n", "homes", "time ms", "homes per host", "new homes per lost host");
    for (const std::size_t homes : { 3U, 5U, 9U }) {
        const auto hosts = makeHosts();
        const auto start = std::chrono::steady_clock::now();
        const auto before = placeAll(hosts, homes);
        const std::chrono::duration<double, std::milli> placementTime = std::chrono::steady_clock::now() - start;
        std::size_t moved = 0;
        for (std::size_t lost = 0; lost < lostHosts; ++lost) {
            auto remaining = hosts;
            remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(lost * hostCount / lostHosts));
            const auto after = placeAll(remaining, homes);
            for (std::size_t database = 0; database < databaseCount; ++database)
                moved += countAddedHomes(before[database], after[database]);
        }
        std::printf("%6zu %10.1f %16.2f %24.2f\n", homes, placementTime.count(),
            static_cast<double>(homes * databaseCount) / hostCount, static_cast<double>(moved) / lostHosts);
    }
}

} // namespace Auburnpost::Bench
