#include "proxy/GroupHomes.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

/// Numbered hosts, alternating between two data centres.
std::vector<HostEntry> hosts(std::size_t count)
{
    std::vector<HostEntry> result;
    for (std::size_t index = 0; index < count; ++index) {
        HostEntry host;
        host.name = HostName("host-" + std::to_string(index));
        host.dataCentre = DataCentreName(index % 2 ? "east" : "west");
        result.push_back(host);
    }
    return result;
}

GroupHomes homesOf(const std::string& self, const std::string& dataCentre, std::size_t count)
{
    GroupHomes homes { HostName(self), DataCentreName(dataCentre) };
    homes.setHosts(hosts(count));
    return homes;
}

const GroupName group("group");

} // namespace

TEST_CASE("Homes are needed when the connection limit is too low for all hosts", "[proxy][homes]")
{
    const auto homes = homesOf("host-0", "west", 20);
    CHECK_FALSE(homes.areNeeded(20 * GroupHomes::minDirectConnections));
    CHECK(homes.areNeeded(20 * GroupHomes::minDirectConnections - 1));
}

TEST_CASE("All hosts of a data centre forward sessions to one home in it", "[proxy][homes]")
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

TEST_CASE("The homes of the groups are spread over the hosts", "[proxy][homes]")
{
    auto homes = homesOf("other", "west", 20);
    std::set<HostName> chosen;
    constexpr std::size_t groups = 40;
    for (std::size_t index = 0; index < groups; ++index)
        chosen.insert(homes.homeFor(start, GroupName("group-" + std::to_string(index)))->name);
    // With forty groups, nearly all of the ten hosts are the home of at least one.
    CHECK(chosen.size() >= 8);
}

// Guards against the smallest hosts serving as many groups as hosts with six times their processor share.
TEST_CASE("A host is the home of groups in proportion to its processor share", "[proxy][homes]")
{
    auto entries = hosts(20);
    const auto large = entries[0].name;
    for (auto& entry : entries)
        entry.processorShare = entry.name == large ? 0.5 : 0.084;
    GroupHomes homes { HostName("other"), DataCentreName("west") };
    homes.setHosts(entries);
    constexpr int groups = 2000;
    int ofLarge = 0;
    for (int index = 0; index < groups; ++index)
        ofLarge += homes.homeFor(start, GroupName("group-" + std::to_string(index)))->name == large ? 1 : 0;
    // 0.5 of 0.5 + 9 * 0.084; without weights it is a tenth.
    CHECK(ofLarge > groups * 0.35);
    CHECK(ofLarge < groups * 0.45);
}

// Guards against homes that move at a release of the weights in a deployment of equal hosts.
TEST_CASE("Equal processor shares give the same homes as none", "[proxy][homes]")
{
    auto entries = hosts(20);
    for (auto& entry : entries)
        entry.processorShare = 0.25;
    GroupHomes weighted { HostName("other"), DataCentreName("west") };
    weighted.setHosts(entries);
    auto unweighted = homesOf("other", "west", 20);
    for (int index = 0; index < 200; ++index) {
        const GroupName name("group-" + std::to_string(index));
        CHECK(weighted.homeFor(start, name)->name == unweighted.homeFor(start, name)->name);
    }
}

// Guards against a crowd of hosts that all read and write the row of a group when they start at once.
TEST_CASE("A few hosts in different data centres record the members of a group", "[proxy][homes]")
{
    std::map<std::size_t, std::size_t> recorders;
    for (std::size_t index = 0; index < 20; ++index) {
        const auto homes = homesOf("host-" + std::to_string(index), index % 2 ? "east" : "west", 20);
        if (const auto rank = homes.recorderRank(group))
            CHECK(recorders.emplace(*rank, index).second);
        if (homes.recorderRank(group) == std::size_t { 0 })
            CHECK(homes.isHome(group));
    }
    REQUIRE(recorders.size() == GroupHomes::maxRecorders);
    CHECK(recorders.at(0) % 2 != recorders.at(1) % 2);
    CHECK(homesOf("host-0", "west", 1).recorderRank(group) == std::size_t { 0 });
    CHECK_FALSE(homesOf("unknown", "west", 1).recorderRank(group));
}

TEST_CASE("A host that did not accept a session is avoided for a while", "[proxy][homes]")
{
    auto homes = homesOf("other", "west", 20);
    const auto first = *homes.homeFor(start, group);
    homes.recordFailure(start, first.name);
    const auto second = *homes.homeFor(start, group);
    CHECK(second.name != first.name);
    CHECK(second.dataCentre == first.dataCentre);
    CHECK(homes.homeFor(start + GroupHomes::avoidanceTime, group)->name == first.name);

    SECTION("one that refused it is still used for other groups")
    {
        homes.recordFailure(start, first.name);
        homes.recordRefusal(start, second.name, group);
        CHECK(homes.homeFor(start, group)->name != second.name);
        std::set<HostName> others;
        for (int index = 0; index < 200; ++index)
            others.insert(homes.homeFor(start, GroupName("group-" + std::to_string(index)))->name);
        CHECK(others.contains(second.name));
        CHECK_FALSE(others.contains(first.name));
    }
    SECTION("this host serves the session itself when all other hosts are avoided")
    {
        for (const auto& host : hosts(20))
            homes.recordFailure(start, host.name);
        CHECK_FALSE(homes.homeFor(start, group));
    }
}
