#include "proxy/FeederChoice.h"
#include "proxy/StoreFollower.h"
#include "proxy/TableFeed.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const DataCentreName dataCentre("alm-a");
const SocketAddress feederAddress { "10.1.0.1", 8080 };

std::vector<HostEntry> hosts(std::size_t count)
{
    std::vector<HostEntry> entries;
    for (std::size_t index = 0; index < count; ++index) {
        const auto address = "10.1.0." + std::to_string(index + 1);
        entries.push_back({ HostName("host-" + std::to_string(index)), dataCentre, { address, 7440 }, { address, 7455 },
            1.0, SocketAddress { address, 8080 } });
    }
    return entries;
}

FeedPage page(std::uint64_t asOf, bool isWhole, Duration age = 0ms)
{
    FeedPage made { RowVersion(asOf), age, {} };
    if (isWhole)
        made.table = TableState { RowVersion(asOf), { { "key", { "key", RowVersion(asOf), "value", false } } } };
    return made;
}

/// Records to whom the follower's calls go.
struct CallRecorder final : StoreDelegate {
    std::size_t storeCalls { 0 };
    std::size_t feederCalls { 0 };
    Duration lastWait {};

    void readTable(StoreTable, const std::string&, Duration, StoreCallSlot) override { ++storeCalls; }
    void followTable(StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { ++storeCalls; }
    void followFeeder(const SocketAddress&, StoreTable, RowVersion, Duration wait, Duration, StoreCallSlot) override
    {
        ++feederCalls;
        lastWait = wait;
    }
    void cancelCall(StoreTable, StoreCallSlot) override { }
    void writeHost(const HostName&, const std::string&) override { }
};

} // namespace

TEST_CASE("All hosts of a data centre but two follow a feeder, so that calls to the store do not grow with hosts",
    "[proxy][feeds]")
{
    const auto count = GENERATE(std::size_t { 10 }, std::size_t { 23 }, std::size_t { 49 });
    std::size_t direct = 0;
    std::set<SocketAddress> feeders;
    for (const auto& host : hosts(count)) {
        FeederChoice choice(host.name, dataCentre);
        choice.setHosts(hosts(count));
        if (const auto feeder = choice.feeder(start))
            feeders.insert(*feeder);
        else
            ++direct;
    }
    CHECK(direct == FeederChoice::feeders);
    CHECK(feeders.size() <= FeederChoice::feeders);
}

TEST_CASE("Every host of a small data centre, and a host without others, follows the store", "[proxy][feeds]")
{
    const auto count = GENERATE(std::size_t { 1 }, std::size_t { 2 }, FeederChoice::minHosts - 1);
    for (const auto& host : hosts(count)) {
        FeederChoice choice(host.name, dataCentre);
        choice.setHosts(hosts(count));
        CHECK_FALSE(choice.areUsed());
        CHECK_FALSE(choice.feeder(start));
    }
}

TEST_CASE("After a feeder failed a host follows the store, then another feeder", "[proxy][feeds]")
{
    FeederChoice choice(HostName("host-0"), dataCentre);
    auto entries = hosts(20);
    choice.setHosts(entries);
    auto first = choice.feeder(start);
    if (!first) {
        choice = FeederChoice(HostName("host-1"), dataCentre);
        choice.setHosts(entries);
        first = choice.feeder(start);
    }
    REQUIRE(first);
    choice.recordFailure(start, *first);
    CHECK_FALSE(choice.feeder(start + FeederChoice::storeTime - 1ms));
    const auto second = choice.feeder(start + FeederChoice::storeTime);
    REQUIRE(second);
    CHECK(second != first);
}

TEST_CASE("A request for a table is answered at the next change, or when its wait ends", "[proxy][feeds]")
{
    TableFeed feed;
    REQUIRE(feed.add({ RequestId(1), StoreTable::Targets, RowVersion(5), start + 2s }));
    REQUIRE(feed.add({ RequestId(2), StoreTable::Configuration, RowVersion(5), start + 2s }));
    CHECK(feed.takeDue(start, StoreTable::Targets, RowVersion(5)).empty());
    const auto changed = feed.takeDue(start + 1s, StoreTable::Targets, RowVersion(6));
    REQUIRE(changed.size() == 1);
    CHECK(changed.front().id == RequestId(1));
    const auto ended = feed.takeDue(start + 2s, StoreTable::Configuration, RowVersion(5));
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().id == RequestId(2));
    CHECK(feed.size() == 0);
}

TEST_CASE("Requests of many followers do not grow without a bound", "[proxy][feeds]")
{
    TableFeed feed;
    for (std::size_t count = 0; count < TableFeed::capacity; ++count)
        REQUIRE(feed.add({ RequestId(count), StoreTable::Targets, RowVersion(5), start + 2s }));
    CHECK_FALSE(feed.add({ RequestId(0), StoreTable::Targets, RowVersion(5), start + 2s }));
}

TEST_CASE("A follower takes whole tables from a feeder and never an older one", "[proxy][feeds]")
{
    CallRecorder calls;
    RandomEngine random(1);
    StoreContact contact;
    StoreFollower follower(StoreTable::Targets, TableTimes(3s), contact, calls);
    follower.setFeeder(feederAddress);
    follower.tick(start);
    CHECK(calls.lastWait == 0ms);
    REQUIRE(follower.feederAnswered(start, random, page(7, true, 200ms)));
    CHECK(follower.state().asOf == RowVersion(7));
    CHECK(follower.origin().confirmedAt == start - 200ms);
    follower.tick(start);
    CHECK(calls.lastWait > 0ms);

    SECTION("an unchanged table")
    {
        CHECK_FALSE(follower.feederAnswered(start + 1s, random, page(7, false)));
        CHECK(follower.calls().isConnected);
    }
    SECTION("an older table")
    {
        CHECK_FALSE(follower.feederAnswered(start + 1s, random, page(6, true)));
        CHECK(follower.state().asOf == RowVersion(7));
        CHECK_FALSE(follower.calls().isConnected);
    }
    SECTION("a failed call, after which the store is asked at once for changes")
    {
        CHECK_FALSE(follower.feederAnswered(
            start + 1s, random, fail(ErrorCode::PlatformUnavailable, "follow table", "host-1", "no answer")));
        follower.setFeeder({});
        follower.tick(start + 2s);
        CHECK(calls.storeCalls == 1);
    }
}

TEST_CASE("Two hops pass on a change within the bounds of one", "[proxy][feeds]")
{
    const auto share = GENERATE(1.0, 0.75, 2.0 / 3);
    TimeBounds bounds;
    bounds.configuration = std::chrono::duration_cast<Duration>(6000ms * share);
    bounds.recovery = std::chrono::duration_cast<Duration>(6000ms * share);
    bounds.drain = std::chrono::duration_cast<Duration>(10000ms * share);
    REQUIRE(TableTimes::hopLimit(bounds));
    const auto limit = std::min(bounds.configuration, bounds.recovery);
    for (const auto& times : { TableTimes::forConfiguration(bounds, true), TableTimes::forTargets(bounds, true) }) {
        // The feeder stops when its copy is as old as its followers accept, and calls to the store fail as well.
        const auto afterPoll = times.maxDelay() - times.pollWait() - TableTimes::minAnswerTimeout;
        CHECK(times.feedAgeLimit() + times.pollTimeout() + afterPoll <= limit);
        // A healthy feeder is never taken for one whose copy is too old.
        CHECK(times.pollWait() + TableTimes::minAnswerTimeout <= times.feedAgeLimit());
    }
}

TEST_CASE("Tables are followed in one hop if the bounds are too tight for two", "[proxy][feeds]")
{
    TimeBounds bounds;
    bounds.configuration = 2900ms;
    CHECK_FALSE(TableTimes::hopLimit(bounds));
}

TEST_CASE("A page of a feed that can't be read is an error", "[proxy][feeds]")
{
    const auto encoded = encodeFeedPage(page(7, true, 30ms));
    const auto decoded = decodeFeedPage(encoded);
    REQUIRE(decoded);
    CHECK(decoded->age == 30ms);
    CHECK(decoded->table->rows.at("key").value == "value");
    for (std::size_t length = 0; length < encoded.size(); ++length)
        CHECK_FALSE(decodeFeedPage(encoded.substr(0, length)));
}
