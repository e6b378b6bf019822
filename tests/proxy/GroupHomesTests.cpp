#include "proxy/GroupHomes.h"

#include <catch2/catch.hpp>
#include <set>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

/// Hosts in two data centres, numbered through.
std::vector<HostEntry> hosts(std::size_t count)
{
    std::vector<HostEntry> made;
    for (std::size_t index = 0; index < count; ++index) {
        HostEntry host;
        host.name = HostName("host-" + std::to_string(index));
        host.dataCentre = DataCentreName(index % 2 ? "east" : "west");
        made.push_back(host);
    }
    return made;
}

GroupHomes homesOf(const std::string& self, const std::string& dataCentre, std::size_t count)
{
    GroupHomes homes { HostName(self), DataCentreName(dataCentre) };
    homes.setHosts(hosts(count));
    return homes;
}

const GroupName group("group");

} // namespace

TEST_CASE("Homes are needed when the connection limit leaves each host too few", "[proxy][homes]")
{
    const auto homes = homesOf("host-0", "west", 20);
    CHECK_FALSE(homes.areNeeded(20 * GroupHomes::directConnections));
    CHECK(homes.areNeeded(20 * GroupHomes::directConnections - 1));
}

TEST_CASE("All hosts of a data centre pass sessions to one home in it", "[proxy][homes]")
{
    std::set<HostName> chosen;
    std::size_t served = 0;
    for (std::size_t index = 0; index < 20; index += 2) {
        auto homes = homesOf("host-" + std::to_string(index), "west", 20);
        const auto home = homes.homeFor(start, group);
        CHECK(homes.isHome(group) != home.has_value());
        if (!home) {
            ++served;
            chosen.insert(HostName("host-" + std::to_string(index)));
            continue;
        }
        CHECK(home->dataCentre == DataCentreName("west"));
        chosen.insert(home->name);
    }
    CHECK(served == 1);
    CHECK(chosen.size() == 1);
}

TEST_CASE("Groups are spread over the hosts", "[proxy][homes]")
{
    auto homes = homesOf("other", "west", 20);
    std::set<HostName> chosen;
    constexpr std::size_t groups = 40;
    for (std::size_t index = 0; index < groups; ++index)
        chosen.insert(homes.homeFor(start, GroupName("group-" + std::to_string(index)))->name);
    // Of ten hosts, all but a few have one of forty groups.
    CHECK(chosen.size() >= 8);
}

TEST_CASE("A host that took no session is passed over for a while", "[proxy][homes]")
{
    auto homes = homesOf("other", "west", 20);
    const auto first = *homes.homeFor(start, group);
    homes.failed(start, first.name);
    const auto second = *homes.homeFor(start, group);
    CHECK(second.name != first.name);
    CHECK(second.dataCentre == first.dataCentre);
    CHECK(homes.homeFor(start + GroupHomes::avoidance, group)->name == first.name);

    SECTION("and this host serves the session itself when no other is left")
    {
        for (const auto& host : hosts(20))
            homes.failed(start, host.name);
        CHECK_FALSE(homes.homeFor(start, group));
    }
}
