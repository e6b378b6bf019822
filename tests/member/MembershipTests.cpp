#include "member/GossipNetwork.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Member;
using namespace Auburnpost::MemberTest;

namespace {

constexpr std::size_t siteHosts = 18;

/// @return a network whose hosts all know each other.
GossipNetwork convergedSite(std::size_t hosts, std::uint64_t seed, NetworkFaults faults = {})
{
    GossipNetwork site(hosts, seed, {}, faults);
    REQUIRE(site.runUntil([&] { return site.hasConverged(); }, 30s) < 30s);
    site.clearChanges();
    return site;
}

} // namespace

TEST_CASE("Hosts that start simultaneously find each other through the seeds", "[member][join]")
{
    for (const std::size_t hosts : { 2U, 5U, 18U }) {
        GossipNetwork site(hosts, hosts);
        CHECK(site.runUntil([&] { return site.hasConverged(); }, 20s) < 20s);
        CHECK(site.count(HostChange::Dead) == 0);
    }
}

TEST_CASE("All hosts declare a killed host dead, within 3 s in the median", "[member][death]")
{
    std::vector<Duration> times;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        auto site = convergedSite(siteHosts, seed);
        site.kill(7);
        times.push_back(site.runUntil([&] { return site.hostsSeeingLive(7) == 0; }, 20s));
        CHECK(site.count(HostChange::Dead) == siteHosts - 1);
    }
    std::sort(times.begin(), times.end());
    CHECK(times[times.size() / 2] <= 3s);
    CHECK(times.back() <= 6s);
}

TEST_CASE("Most hosts learn within 1 s that a host is leaving", "[member][leave]")
{
    auto site = convergedSite(siteHosts, 3);
    site.member(4).announceShutdown(site.now());
    site.run(1s);
    CHECK(site.count(HostChange::Leaving) >= siteHosts - 2);
    site.run(5s);
    CHECK(site.count(HostChange::Leaving) == siteHosts - 1);
    CHECK(site.count(HostChange::Dead) == 0);
}

TEST_CASE("When a third of the hosts is killed at once, exactly those are declared dead", "[member][death]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto site = convergedSite(siteHosts, seed);
        for (std::size_t host = 0; host < siteHosts; host += 3)
            site.kill(host);
        CHECK(site.runUntil([&] { return site.hasConverged(); }, 20s) < 20s);
        CHECK(site.count(HostChange::Dead) == siteHosts / 3 * (siteHosts - siteHosts / 3));
    }
}

TEST_CASE("All hosts can be replaced one by one, the seeds included", "[member][replace]")
{
    auto site = convergedSite(siteHosts, 11);
    std::vector<ListedHost> listed;
    for (std::size_t replaced = 0; replaced < siteHosts; ++replaced) {
        const auto replacement = site.add();
        // The platform's host list lags two hosts behind.
        listed.push_back({ GossipNetwork::nameOf(replacement), GossipNetwork::addressOf(replacement) });
        for (std::size_t host = 0; host < site.size(); ++host) {
            if (site.isRunning(host) && replaced >= 2)
                site.member(host).setHostList(site.now(), { listed.begin(), listed.end() - 2 });
        }
        site.run(2s);
        site.member(replaced).announceShutdown(site.now());
        site.run(2s);
        site.kill(replaced);
    }
    CHECK(site.runUntil([&] { return site.hasConverged(); }, 20s) < 20s);
    CHECK(site.member(siteHosts).liveHosts().size() == siteHosts);
}

TEST_CASE("The two sides of a healed partition merge their views", "[member][cut]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto site = convergedSite(siteHosts, seed);
        site.partition([](std::size_t host) { return static_cast<int>(host % 2); });
        site.run(60s);
        CHECK(site.member(0).liveHosts().size() == siteHosts / 2);
        site.clearChanges();
        site.heal();
        CHECK(site.runUntil([&] { return site.hasConverged(); }, 30s) < 30s);
        // Neither side adopts the deaths that the other side declared during the partition.
        CHECK(site.count(HostChange::Dead) == 0);
    }
}

TEST_CASE("A tenth of the datagrams lost and pauses up to 1 s cause no false death", "[member][false-death]")
{
    NetworkFaults faults;
    faults.loss = 0.1;
    faults.duplication = 0.05;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        auto site = convergedSite(siteHosts, seed, faults);
        RandomEngine random(seed);
        for (int round = 0; round < 60; ++round) {
            site.pause(random() % siteHosts, Duration(random() % 1'000'000));
            site.run(2s);
        }
        CHECK(site.count(HostChange::Dead) == 0);
    }
}

TEST_CASE("A host that resumes after a long pause declares no host dead", "[member][pause]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto site = convergedSite(siteHosts, seed);
        site.pause(5, 10s);
        site.run(9s);
        CHECK(site.hostsSeeingLive(5) == 0);
        CHECK(site.runUntil([&] { return site.hasConverged(); }, 20s) < 20s);
        const auto& changes = site.changes();
        CHECK(std::none_of(changes.begin(), changes.end(),
            [](const SeenChange& seen) { return seen.viewer == 5 && seen.change.change == HostChange::Dead; }));
    }
}

TEST_CASE("A pause of the suspecting host does not shorten the suspect's time to refute", "[member][pause]")
{
    std::size_t runsWithSuspicion = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto site = convergedSite(siteHosts, seed);
        site.pause(7, 1200ms);
        const auto isSuspected
            = [&] { return site.member(5).find(GossipNetwork::nameOf(7))->health == HostHealth::Suspect; };
        if (site.runUntil(isSuspected, 1s) == 1s)
            continue;
        ++runsWithSuspicion;
        site.pause(5, 3s);
        site.run(10s);
        const auto& changes = site.changes();
        CHECK(std::none_of(changes.begin(), changes.end(),
            [](const SeenChange& seen) { return seen.viewer == 5 && seen.change.change == HostChange::Dead; }));
    }
    CHECK(runsWithSuspicion >= 5);
}

TEST_CASE("A host that missed an update learns of it by a digest exchange", "[member][sync]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto site = convergedSite(60, seed);
        site.partition([](std::size_t host) { return host == 9 ? 1 : 0; });
        site.member(4).announceShutdown(site.now());
        site.run(1200ms);
        site.heal();
        const auto hasLearned = [&] { return site.member(9).find(GossipNetwork::nameOf(4))->leaving; };
        CHECK(site.runUntil(hasLearned, 10s) < 8s);
    }
}

TEST_CASE("A dead host is forgotten after its retention instead of being reintroduced", "[member][death]")
{
    MembershipSettings settings;
    settings.deadRetention = 20s;
    GossipNetwork site(siteHosts, 2, settings);
    site.run(10s);
    site.kill(7);
    site.run(60s);
    for (std::size_t host = 0; host < siteHosts; ++host) {
        if (site.isRunning(host))
            CHECK(site.member(host).find(GossipNetwork::nameOf(7)) == nullptr);
    }
}

TEST_CASE("The record of a restarted host replaces that of its previous process", "[member][restart]")
{
    auto site = convergedSite(siteHosts, 21);
    site.kill(6);
    site.run(100ms);
    site.restart(6);
    CHECK(site.runUntil([&] { return site.count(HostChange::Restarted) == siteHosts - 1; }, 10s) < 2s);
    site.run(10s);
    CHECK(site.hasConverged());
    CHECK(site.count(HostChange::Restarted) == siteHosts - 1);
    CHECK(site.count(HostChange::Dead) == 0);
}

TEST_CASE("The platform's host list makes no host live or dead", "[member][list]")
{
    auto site = convergedSite(siteHosts, 31);
    SECTION("a list without the live hosts and with a host that does not exist")
    {
        for (std::size_t host = 0; host < siteHosts; ++host)
            site.member(host).setHostList(site.now(), { { HostName("nobody"), GossipNetwork::addressOf(500) } });
    }
    SECTION("an empty list")
    {
        for (std::size_t host = 0; host < siteHosts; ++host)
            site.member(host).setHostList(site.now(), {});
    }
    site.run(30s);
    CHECK(site.hasConverged());
    CHECK(site.count(HostChange::Dead) == 0);
    CHECK(site.count(HostChange::Joined) == 0);
}

TEST_CASE("A host whose seeds are all unreachable joins through the platform's host list", "[member][list][join]")
{
    MembershipSettings settings;
    settings.seeds = { GossipNetwork::addressOf(400) };
    GossipNetwork site(4, 5, settings);
    site.run(5s);
    CHECK_FALSE(site.hasConverged());
    for (std::size_t host = 1; host < 4; ++host)
        site.member(host).setHostList(site.now(), { { HostName("old name"), GossipNetwork::addressOf(0) } });
    CHECK(site.runUntil([&] { return site.hasConverged(); }, 10s) < 10s);
}

TEST_CASE("The document version spreads by gossip and never decreases", "[member][config]")
{
    auto site = convergedSite(siteHosts, 41);
    site.member(3).setConfigVersion(site.now(), ConfigVersion(7));
    const auto hasLearned = [&] {
        for (std::size_t host = 0; host < siteHosts; ++host) {
            if (site.member(host).highestConfigVersion() != ConfigVersion(7))
                return false;
        }
        return true;
    };
    CHECK(site.runUntil(hasLearned, 10s) <= 2s);
    site.member(3).setConfigVersion(site.now(), ConfigVersion(6));
    CHECK(site.member(3).self().configVersion == ConfigVersion(7));
    CHECK(site.member(9).find(GossipNetwork::nameOf(3))->configVersion <= ConfigVersion(7));
}
