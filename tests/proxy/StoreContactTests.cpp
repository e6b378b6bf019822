#include "proxy/FakeStore.h"
#include "proxy/RecordedProxy.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const auto noAnswer = fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");

/// Records the calls of a follower.
struct CallRecorder final : StoreDelegate {
    std::vector<StoreCallSlot> calls;
    std::vector<StoreCallSlot> cancelled;
    Duration lastWait {};
    Duration lastTimeout {};

    void readTable(StoreTable, const std::string&, Duration timeout, StoreCallSlot slot) override
    {
        record({}, timeout, slot);
    }
    void followTable(StoreTable, RowVersion, Duration wait, Duration timeout, StoreCallSlot slot) override
    {
        record(wait, timeout, slot);
    }
    void followFeeder(
        const SocketAddress&, StoreTable, RowVersion, Duration wait, Duration timeout, StoreCallSlot slot) override
    {
        record(wait, timeout, slot);
    }
    void cancelCall(StoreTable, StoreCallSlot slot) override { cancelled.push_back(slot); }
    void writeHost(const HostName&, const std::string&) override { }

    void record(Duration wait, Duration timeout, StoreCallSlot slot)
    {
        calls.push_back(slot);
        lastWait = wait;
        lastTimeout = timeout;
    }
};

StorePage page(std::uint64_t asOf)
{
    StorePage made;
    made.asOf = RowVersion(asOf);
    return made;
}

/// Two followers that have read their tables, and the polls that followed.
struct Followers {
    Followers()
    {
        for (auto* const follower : { &configuration, &targets }) {
            follower->tick(now);
            follower->tableRead(now, random, page(10));
            follower->tick(now);
        }
    }

    void runUntil(Instant end)
    {
        for (; now < end; now += Auburnpost::Proxy::Proxy::tickInterval) {
            configuration.tick(now);
            targets.tick(now);
        }
    }

    Instant now { start };
    RandomEngine random { 3 };
    TableTimes times { TableTimes::forConfiguration({}) };
    StoreContact contact;
    CallRecorder configurationCalls;
    CallRecorder targetsCalls;
    StoreFollower configuration { StoreTable::Configuration, times, contact, configurationCalls };
    StoreFollower targets { StoreTable::Targets, times, contact, targetsCalls };
};

} // namespace

TEST_CASE("A call that hangs gets a second try beside it, which ends it once it is answered", "[proxy][store]")
{
    Followers both;
    const auto& first = both.configuration.call(StoreCallSlot::First);
    both.now = first.sentAt + first.wait + TableTimes::minAnswerTimeout;
    both.configuration.tick(both.now);
    REQUIRE(both.configurationCalls.calls.back() == StoreCallSlot::First);
    both.now += 1ms;
    both.configuration.tick(both.now);
    REQUIRE(both.configurationCalls.calls.back() == StoreCallSlot::Second);
    CHECK(both.configurationCalls.lastWait == 0ms);
    both.configuration.tableFollowed(both.now, both.random, page(11), StoreCallSlot::Second);
    CHECK(both.configurationCalls.cancelled == std::vector { StoreCallSlot::First });
    CHECK(both.configuration.state().asOf == RowVersion(11));
    CHECK(both.configuration.calls().isConnected);
}

TEST_CASE("A second try that hangs is replaced within its own timeout, however long that of the first call is",
    "[proxy][store]")
{
    Followers both;
    for (int failures = 0; failures < 8; ++failures) {
        both.configuration.tableFollowed(both.now, both.random, noAnswer);
        both.runUntil(both.now + both.times.maxRetryDelay() + 60ms);
    }
    REQUIRE(both.configurationCalls.lastTimeout == both.times.pollTimeout());
    both.configurationCalls.calls.clear();
    both.runUntil(both.now + TableTimes::minAnswerTimeout + 2 * both.times.tryInterval(8) + 60ms);
    REQUIRE(both.configurationCalls.calls == std::vector { StoreCallSlot::Second });
    CHECK(both.configurationCalls.lastTimeout == both.times.tryTimeout());
    both.configuration.tableFollowed(both.now, both.random, noAnswer, StoreCallSlot::Second);
    both.runUntil(both.now + 2 * both.times.tryInterval(8) + 60ms);
    CHECK(both.configurationCalls.calls.size() == 2);
}

TEST_CASE("A poll that was lost with that for another table is noticed by the one that ends first", "[proxy][store]")
{
    Followers both;
    const auto endOf = [](const StoreFollower& follower) {
        const auto& call = follower.call(StoreCallSlot::First);
        return call.sentAt + call.wait;
    };
    const auto firstEnd = std::min(endOf(both.configuration), endOf(both.targets));
    CHECK(firstEnd <= start + both.times.pollWait() * 5 / 8);
    both.runUntil(firstEnd + TableTimes::minAnswerTimeout + 60ms);
    both.runUntil(both.now + both.times.tryInterval(0) + 60ms);
    CHECK(both.configurationCalls.calls.back() == StoreCallSlot::Second);
    CHECK(both.targetsCalls.calls.back() == StoreCallSlot::Second);
}

TEST_CASE("Hosts call a silent store no more often because of second tries than one interval allows", "[proxy][store]")
{
    Followers both;
    both.runUntil(start + both.times.pollTimeout());
    const auto before = both.configurationCalls.calls.size() + both.targetsCalls.calls.size();
    constexpr Duration length = 10s;
    const auto end = both.now + length;
    while (both.now < end) {
        both.runUntil(both.now + both.times.tryTimeout());
        for (auto* const follower : { &both.configuration, &both.targets }) {
            if (follower->call(StoreCallSlot::Second).isInProgress)
                follower->tableFollowed(both.now, both.random, noAnswer, StoreCallSlot::Second);
        }
    }
    const auto calls = both.configurationCalls.calls.size() + both.targetsCalls.calls.size() - before;
    CHECK(calls <= static_cast<std::size_t>(length / both.times.tryInterval(0)));
}

TEST_CASE("Second tries and polls that end in turn cost no calls while nothing fails", "[proxy][store]")
{
    constexpr Duration length = 120s;
    const TimeBounds bounds;
    FakeStore store({ start + 2 * length, start + 3 * length }, 10min, 25ms);
    StoreContact contact;
    StoreFollower configuration(StoreTable::Configuration, TableTimes::forConfiguration(bounds), contact, store);
    StoreFollower targets(StoreTable::Targets, TableTimes::forTargets(bounds), contact, store);
    store.alsoFollow(targets);
    (void)store.run(configuration, Instant(length), bounds);
    const auto polls = static_cast<std::size_t>(length / TableTimes::forConfiguration(bounds).pollWait())
        + static_cast<std::size_t>(length / TableTimes::forTargets(bounds).pollWait());
    // Besides a read of each table, the polls in progress at the end, and one poll that is shorter so that it ends
    // between those of the other table.
    CHECK(store.calls() <= polls + 5);
}
