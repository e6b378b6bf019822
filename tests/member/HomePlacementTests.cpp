#include "member/HomePlacement.h"

#include "member/HostRecord.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace Auburnpost;
using namespace Auburnpost::Member;

namespace {

DataCentreName dataCentre(std::size_t index)
{
    return DataCentreName("data-centre-" + std::to_string(index));
}

std::vector<HostRecord> hostsOf(std::size_t count, std::size_t dataCentres)
{
    std::vector<HostRecord> hosts(count);
    for (std::size_t index = 0; index < count; ++index) {
        hosts[index].host.name = HostName("entry-host-" + std::to_string(index));
        hosts[index].host.dataCentre = dataCentre(index % dataCentres);
    }
    return hosts;
}

PlacementRequirements requirementsOf(std::size_t database, std::size_t homes)
{
    return { DatabaseName("sizing-core-" + std::to_string(database)), dataCentre(database % 3),
        { dataCentre((database + 1) % 3), dataCentre((database + 2) % 3) }, homes };
}

bool contains(const std::vector<HostName>& names, const HostName& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

TEST_CASE("Homes are distinct, live and not leaving, independently of the order of the hosts", "[member][placement]")
{
    CHECK(rc::check([] {
        auto hosts = hostsOf(*rc::gen::inRange<std::size_t>(0, 30), 3);
        for (auto& record : hosts) {
            record.leaving = *rc::gen::inRange(0, 4) == 0;
            record.health = *rc::gen::element(HostHealth::Alive, HostHealth::Suspect, HostHealth::Dead);
        }
        const auto requirements
            = requirementsOf(*rc::gen::inRange<std::size_t>(0, 100), *rc::gen::inRange<std::size_t>(0, 8));
        const auto homes = HomePlacement(hosts).homes(requirements);
        const auto usable = std::count_if(
            hosts.begin(), hosts.end(), [](const HostRecord& record) { return record.isLive() && !record.leaving; });
        RC_ASSERT(homes.size() == std::min(requirements.homes, static_cast<std::size_t>(usable)));
        for (const auto& record : hosts)
            RC_ASSERT(std::count(homes.begin(), homes.end(), record.host.name)
                <= (record.isLive() && !record.leaving ? 1 : 0));
        std::reverse(hosts.begin(), hosts.end());
        RC_ASSERT(HomePlacement(hosts).homes(requirements) == homes);
    }));
}

TEST_CASE("The loss of a host reassigns only the homes that it had", "[member][placement]")
{
    const auto hosts = hostsOf(18, 3);
    const HomePlacement before(hosts);
    for (std::size_t lost = 0; lost < hosts.size(); ++lost) {
        auto rest = hosts;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(lost));
        const HomePlacement after(rest);
        for (std::size_t database = 0; database < 100; ++database) {
            const auto requirements = requirementsOf(database, 4);
            auto expected = before.homes(requirements);
            const auto now = after.homes(requirements);
            std::erase(expected, hosts[lost].host.name);
            for (const auto& name : expected)
                REQUIRE(contains(now, name));
            if (expected.size() == 4)
                REQUIRE(now == expected);
        }
    }
}

TEST_CASE("Each data centre with a target of the database has a home", "[member][placement]")
{
    const auto hosts = hostsOf(18, 3);
    const HomePlacement placement(hosts);
    for (std::size_t database = 0; database < 200; ++database) {
        std::map<DataCentreName, int> homes;
        for (const auto& name : placement.homes(requirementsOf(database, 3)))
            ++homes[dataCentre(std::stoul(name.value().substr(11)) % 3)];
        REQUIRE(homes.size() == 3);
    }
}

TEST_CASE("Homes are spread evenly over the hosts, with more in the primary's data centre", "[member][placement]")
{
    const auto hosts = hostsOf(60, 3);
    const HomePlacement placement(hosts);
    std::map<HostName, int> load;
    std::size_t nearPrimary = 0;
    constexpr std::size_t databases = 3000;
    for (std::size_t database = 0; database < databases; ++database) {
        for (const auto& name : placement.homes(requirementsOf(database, 6))) {
            ++load[name];
            nearPrimary += std::stoul(name.value().substr(11)) % 3 == database % 3 ? 1 : 0;
        }
    }
    const double mean = databases * 6.0 / 60;
    for (const auto& [name, count] : load) {
        CHECK(count > 0.8 * mean);
        CHECK(count < 1.2 * mean);
    }
    CHECK(static_cast<double>(nearPrimary) > databases * 6 * 0.4);
}
