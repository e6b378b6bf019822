#include "proxy/VersionExchange.h"

#include "proxy/Proxy.h"
#include "proxy/RecordedProxy.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
constexpr Duration limit = 4s;
const HostName self("host-0");
const DataCentreName west("west");

SocketAddress addressOf(std::size_t host)
{
    return { "10.2.0.1", static_cast<std::uint16_t>(host + 1) };
}

/// @return hosts of which the first ones are in the data centre west.
std::vector<HostEntry> hosts(std::size_t local, std::size_t remote)
{
    std::vector<HostEntry> entries;
    for (std::size_t host = 0; host < local + remote; ++host)
        entries.push_back({ HostName("host-" + std::to_string(host)), host < local ? west : DataCentreName("east"), {},
            {}, 1.0, addressOf(host) });
    return entries;
}

bool isRemote(const SocketAddress& address, std::size_t local)
{
    return address.port > local;
}

struct Fixture {
    explicit Fixture(std::size_t local, std::size_t remote)
        : exchange(self, west, limit)
    {
        exchange.setHosts(hosts(local, remote));
    }

    /// @return the hosts that are asked within a time, in order.
    std::vector<SocketAddress> asked(Duration time)
    {
        std::vector<SocketAddress> all;
        for (const auto end = now + time; now < end; now += 30ms) {
            const auto partner = exchange.nextQuestion(now);
            if (!partner)
                continue;
            all.push_back(*partner);
            if (down.contains(*partner))
                exchange.recordFailure(now, *partner);
        }
        return all;
    }

    Instant now { start };
    VersionExchange exchange;
    std::set<SocketAddress> down;
};

} // namespace

TEST_CASE("A host asks each of its partners in turn, one of them in another data centre", "[proxy][versions]")
{
    Fixture test(6, 6);
    const auto asked = test.asked(limit / 2 + 100ms);
    const std::set<SocketAddress> partners(asked.begin(), asked.end());
    CHECK(partners.size() == VersionExchange::partners);
    CHECK(std::count_if(partners.begin(), partners.end(), [](const auto& each) { return isRemote(each, 6); }) == 1);
    CHECK_FALSE(partners.contains(addressOf(0)));
}

TEST_CASE("A host whose data centre has few hosts asks more of other data centres", "[proxy][versions]")
{
    Fixture test(2, 6);
    const auto asked = test.asked(limit);
    CHECK(std::set<SocketAddress>(asked.begin(), asked.end()).size() == VersionExchange::partners);
}

TEST_CASE("A partner that does not answer is avoided, and another host is asked at once", "[proxy][versions]")
{
    Fixture test(4, 4);
    const auto first = test.asked(30ms);
    REQUIRE(first.size() == 1);
    CHECK(test.exchange.recordFailure(test.now, first.front()));
    const auto second = test.asked(30ms);
    REQUIRE(second.size() == 1);
    CHECK(second != first);
    const auto further = test.asked(VersionExchange::avoidanceTime - 500ms);
    CHECK(std::count(further.begin(), further.end(), first.front()) == 0);
    const auto later = test.asked(limit);
    CHECK(std::count(later.begin(), later.end(), first.front()) > 0);
}

// Guards against questions without a pause while a host is cut off.
TEST_CASE("Questions keep their interval while no host answers", "[proxy][versions]")
{
    Fixture test(4, 4);
    for (std::size_t host = 0; host < 8; ++host)
        test.down.insert(addressOf(host));
    test.asked(limit);
    CHECK(test.asked(limit).size() <= static_cast<std::size_t>(limit / test.exchange.interval()) + 1);
}

TEST_CASE("Seeds are asked while no other host is known", "[proxy][versions]")
{
    Fixture test(1, 0);
    CHECK(test.asked(limit).empty());
    test.exchange.setSeeds({ addressOf(8) });
    CHECK(test.asked(limit).front() == addressOf(8));
}

TEST_CASE(
    "Every partner is asked and a newer configuration fetched within three quarters of the bound", "[proxy][versions]")
{
    const auto bounds = GENERATE(TimeBounds { 4s, 5s, 7s }, TimeBounds { 6s, 6s, 10s }, TimeBounds { 8s, 8s, 10s });
    const auto limitOfTable = TableTimes::forConfiguration(bounds).limit();
    const VersionExchange exchange(self, west, limitOfTable);
    const auto fetch = Auburnpost::Proxy::Proxy::versionQueryDelay + Auburnpost::Proxy::Proxy::peerAnswerTimeout
        + 2 * Auburnpost::Proxy::Proxy::tickInterval;
    CHECK(VersionExchange::partners * exchange.interval() + fetch <= limitOfTable * 3 / 4);
}

TEST_CASE("A host that another one finds behind logs it and fetches the configuration", "[proxy][versions]")
{
    RecordedProxy host;
    SECTION("as it answers a question")
    {
        host.proxy.versionAnswered(host.now, addressOf(3), ConfigVersion(11));
    }
    SECTION("as it asks")
    {
        const HostEntry other { HostName("other"), west, {}, {}, 1.0, addressOf(3) };
        const HostEntry readable { other.name, west, addressOf(4), addressOf(5), 1.0, addressOf(3) };
        host.read(StoreTable::Hosts, { 110, StoreEra(1) }, { { "other", HostDirectory::encode(readable) } });
        CHECK(host.proxy.versionQueried(host.now, other.name, ConfigVersion(11)) == ConfigVersion(10));
    }
    host.run(120ms);
    const auto& queried = host.delegate.queriedPeers;
    CHECK(std::count(queried.begin(), queried.end(), addressOf(3)) > 0);
    const auto fields = host.fieldsOf(LogEvent::ConfigurationBehind);
    REQUIRE(fields.contains("version"));
    CHECK(fields.at("version") == "11");
    CHECK(fields.at("applied") == "10");
    CHECK(fields.at("failures") == "0");
}

TEST_CASE("A host that no other one finds behind logs nothing and states its age", "[proxy][versions]")
{
    RecordedProxy host;
    CHECK_FALSE(host.proxy.versionAge(host.now));
    host.proxy.versionAnswered(host.now, addressOf(3), ConfigVersion(10));
    host.run(120ms);
    CHECK(host.proxy.versionAge(host.now) == Duration(120ms));
    CHECK(host.fieldsOf(LogEvent::ConfigurationBehind).empty());
    CHECK(host.fieldsOf(LogEvent::NewerConfigurationStated).empty());
}

TEST_CASE("A configuration that arrives by itself is not fetched from the host that stated it", "[proxy][versions]")
{
    RecordedProxy host;
    host.proxy.versionAnswered(host.now, addressOf(3), ConfigVersion(11));
    host.change(StoreTable::Configuration, { 120, StoreEra(1) }, { { "config", "11 orders group" } });
    host.run(120ms);
    CHECK(host.fieldsOf(LogEvent::ConfigurationBehind).empty());
}
