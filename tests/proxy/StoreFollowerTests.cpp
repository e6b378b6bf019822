#include "proxy/FakeStore.h"

#include "proxy/TargetDirectory.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

/// A table that is followed, the times to follow it, and the time within which a change has to be known.
struct FollowedTable {
    StoreTable table;
    TableTimes (*times)(const TimeBounds&);
    Duration (*limit)(const TimeBounds&);
};

constexpr FollowedTable configurationTable { StoreTable::Configuration, &TableTimes::forConfiguration,
    [](const TimeBounds& bounds) { return bounds.configuration; } };
/// A target whose record disappears is still used for a while, within the same bound.
constexpr FollowedTable targetsTable { StoreTable::Targets, &TableTimes::forTargets, [](const TimeBounds& bounds) {
                                          return bounds.drain - TargetDirectory(bounds).missingTimeout()
                                              - TargetDirectory::removalDelay;
                                      } };

struct OutageCase {
    FollowedTable followed { configurationTable };
    TimeBounds bounds;
    Duration editInterval {};
    Duration roundTrip {};
    bool losesHistory { false };
};

/// @return the maximum delay of an edit beyond the bounds, over the moments at which the outage may start.
Duration maxDelay(const OutageCase& outage, Duration length)
{
    Duration result {};
    for (Duration phase {}; phase < 6s; phase += 500ms) {
        const auto start = Instant(10s) + phase;
        FakeStore store({ start, start + length }, outage.editInterval, outage.roundTrip);
        if (outage.losesHistory)
            store.loseHistory();
        StoreContact contact;
        StoreFollower follower(outage.followed.table, outage.followed.times(outage.bounds), contact, store);
        auto limits = outage.bounds;
        limits.configuration = outage.followed.limit(outage.bounds);
        result = std::max(result, store.run(follower, start + length + 15s, limits));
    }
    return result;
}

TimeBounds scaled(double factor)
{
    const TimeBounds bounds;
    const auto scale = [factor](Duration bound) { return std::chrono::duration_cast<Duration>(bound * factor); };
    return { scale(bounds.configuration), scale(bounds.recovery), scale(bounds.drain) };
}

} // namespace

TEST_CASE("A change is applied in time after an outage of the store of any length", "[proxy][store]")
{
    OutageCase outage;
    outage.editInterval = GENERATE(Duration(700ms), Duration(3300ms));
    outage.roundTrip = 45ms;
    SECTION("with the usual bounds") { }
    SECTION("with half of the bounds")
    {
        outage.bounds = scaled(0.5);
    }
    SECTION("with twice the bounds")
    {
        outage.bounds = scaled(2);
    }
    SECTION("with a store that answers slowly and loses its history")
    {
        outage.roundTrip = 400ms;
        outage.losesHistory = true;
    }
    for (Duration length {}; length <= 13s; length += 100ms) {
        INFO("outage of " << toMilliseconds(length) << " ms, an edit each " << toMilliseconds(outage.editInterval)
                          << " ms");
        CHECK(toMilliseconds(maxDelay(outage, length)) == 0);
    }
}

TEST_CASE(
    "A release acknowledged in the first moments after a silent outage of the store is known in time", "[proxy][store]")
{
    OutageCase outage;
    outage.editInterval = 100ms;
    outage.roundTrip = GENERATE(Duration(5ms), Duration(45ms));
    outage.followed = GENERATE(configurationTable, targetsTable);
    SECTION("with the usual bounds") { }
    SECTION("with half of the bounds")
    {
        outage.bounds = scaled(0.5);
    }
    SECTION("when the outage loses the history of changes")
    {
        outage.losesHistory = true;
    }
    for (Duration length {}; length <= 8s; length += 100ms) {
        INFO("outage of " << toMilliseconds(length) << " ms, table " << toString(outage.followed.table));
        CHECK(toMilliseconds(maxDelay(outage, length)) == 0);
    }
}

TEST_CASE("Bounds that are too short to be kept give short times, not invalid ones", "[proxy][store]")
{
    const auto bounds = scaled(0.01);
    for (const auto& times : { TableTimes::forConfiguration(bounds), TableTimes::forTargets(bounds) }) {
        CHECK(times.maxDelay() < 1500ms);
        CHECK(times.minRetryDelay() > 0ms);
        CHECK(times.minRetryDelay() < times.maxRetryDelay());
        CHECK(times.callTimeout(0) >= TableTimes::minAnswerTimeout);
    }
    CHECK(TargetDirectory(bounds).missingTimeout() > 2s);
}

TEST_CASE("The times of a followed table add up to less than the bounds", "[proxy][store]")
{
    const auto factor = GENERATE(0.5, 1.0, 2.0);
    const auto bounds = scaled(factor);
    CAPTURE(factor);
    const auto configuration = TableTimes::forConfiguration(bounds);
    CHECK(configuration.maxDelay() <= bounds.configuration);
    CHECK(configuration.maxDelay() <= bounds.recovery);
    CHECK(configuration.pollWait() > 0ms);
    const auto targets = TableTimes::forTargets(bounds);
    CHECK(targets.maxDelay() <= bounds.recovery);
    CHECK(targets.pollWait() > 0ms);

    // Running targets are back in the table two seconds after an outage of the store.
    const auto missing = TargetDirectory(bounds).missingTimeout();
    CHECK(missing > 2s);
    CHECK(targets.maxDelay() + missing + TargetDirectory::removalDelay <= bounds.drain);

    SECTION("no single call takes longer than a long poll")
    {
        for (std::size_t failures = 0; failures < 20; ++failures)
            CHECK(configuration.callTimeout(failures) <= configuration.pollTimeout());
        CHECK(configuration.callTimeout(0) < configuration.callTimeout(1));
    }
}

namespace {

/// A follower whose calls are answered by the test.
struct AnsweredTable final : StoreDelegate {
    StoreContact contact;
    StoreFollower follower { StoreTable::Targets, TableTimes::forTargets({}), contact, *this };
    RandomEngine random { 1 };

    void readTable(StoreTable, const std::string&, Duration, StoreCallSlot) override { }
    void followTable(StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void followFeeder(const SocketAddress&, StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void cancelCall(StoreTable, StoreCallSlot) override { }
    void writeHost(const HostName&, const std::string&) override { }
};

StoreRow makeRow(const std::string& key, std::uint64_t version, bool isDeleted = false)
{
    return { key, RowVersion(version), "", isDeleted };
}

} // namespace

TEST_CASE("A poll that waited while the table was read anew changes nothing back", "[proxy][store]")
{
    AnsweredTable table;
    constexpr Instant now { std::chrono::seconds(100) };
    table.follower.tick(now);
    table.follower.tableRead(now, table.random, StorePage { { makeRow("a", 3) }, RowVersion(5), false, false });
    table.follower.tick(now);

    // The row was changed and deleted before it was read anew.
    CHECK(table.follower.adoptRead(now, { RowVersion(9), { { "b", makeRow("b", 8) } } }));
    CHECK_FALSE(table.follower.tableFollowed(
        now, table.random, StorePage { { makeRow("a", 6) }, RowVersion(6), false, false }));
    CHECK_FALSE(table.follower.state().rows.contains("a"));
    CHECK(table.follower.state().rows.contains("b"));

    SECTION("but later changes are applied")
    {
        CHECK(table.follower.tableFollowed(
            now, table.random, StorePage { { makeRow("b", 12, true) }, RowVersion(12), false, false }));
        CHECK(table.follower.state().rows.empty());
    }
    SECTION("an older table is not adopted")
    {
        CHECK_FALSE(table.follower.adoptRead(now, { RowVersion(8), {} }));
        CHECK(table.follower.state().rows.contains("b"));
    }
}

namespace {

/// A store that comes back from a copy and is edited afterwards, followed by one host.
struct CopyCase {
    Duration age {};
    Duration outage {};
    Duration rewriteDelay {};
    Duration editInterval {};
    Duration otherWriteInterval {};
};

std::ostream& operator<<(std::ostream& stream, const CopyCase& copy)
{
    return stream << "copy of " << toMilliseconds(copy.age) << " ms, outage of " << toMilliseconds(copy.outage)
                  << " ms, written again after " << toMilliseconds(copy.rewriteDelay) << " ms, an edit each "
                  << toMilliseconds(copy.editInterval) << " ms, other rows each "
                  << toMilliseconds(copy.otherWriteInterval) << " ms";
}

} // namespace

TEST_CASE(
    "An edit whose version the store gives out again after it came back from a copy is known in time", "[proxy][store]")
{
    const TimeBounds bounds;
    CopyCase copy;
    copy.age = GENERATE(Duration(500ms), Duration(2s), Duration(8s));
    copy.otherWriteInterval = GENERATE(Duration(0ms), Duration(40ms), Duration(400ms));
    copy.editInterval = GENERATE(Duration(700ms), Duration(9s));
    copy.rewriteDelay = 300ms;
    for (const Duration outage : { 50ms, 1000ms, 7000ms }) {
        copy.outage = outage;
        const Instant start(12s);
        FakeStore store({ start, start + copy.outage }, copy.editInterval, 5ms);
        store.comeBackFromCopy(copy.age, copy.rewriteDelay);
        store.writeOtherRows(copy.otherWriteInterval);
        StoreContact contact;
        StoreFollower follower(StoreTable::Configuration, TableTimes::forConfiguration(bounds), contact, store);
        INFO(copy);
        CHECK(toMilliseconds(store.run(follower, start + copy.outage + 40s, bounds)) == 0);
    }
}

TEST_CASE("A store that came back from a copy is not called without a pause", "[proxy][store]")
{
    const Instant start(12s);
    FakeStore store({ start, start + 100ms }, 1min, 5ms);
    store.writeOtherRows(1s);
    store.comeBackFromCopy(8s, 300ms);
    StoreContact contact;
    StoreFollower follower(StoreTable::Configuration, TableTimes::forConfiguration({}), contact, store);
    (void)store.run(follower, start, {});
    const auto before = store.calls();
    (void)store.run(follower, start + 6s, {});
    CHECK(store.calls() - before <= 20);
}
