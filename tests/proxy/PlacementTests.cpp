#include "proxy/ReadPlacement.h"

#include <catch2/catch.hpp>
#include <random>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
constexpr std::size_t slotsPerTarget = 3;

/// A replica next door, the primary and another replica a region away.
GroupWatcher group()
{
    GroupWatcher watcher;
    watcher.setRules({ 50, 1 });
    std::vector<TargetRecord> records(3);
    const std::array names { "near", "primary", "far" };
    for (std::size_t index = 0; index < records.size(); ++index) {
        records[index].name = TargetName(names[index]);
        records[index].address = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
        records[index].slots = slotsPerTarget;
    }
    watcher.setMembers(start, records);
    for (const auto& record : records) {
        TargetStanding standing;
        standing.isPrimary = record.name == TargetName("primary");
        standing.term = Term(1);
        watcher.record(start, record.name, start, standing);
        watcher.health(record.name)->heard(start, record.name == TargetName("near") ? 1ms : 43ms);
    }
    return watcher;
}

std::vector<std::string> namesOf(const std::vector<ReadCandidate>& candidates)
{
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const auto& candidate : candidates)
        names.push_back(candidate.target.value());
    return names;
}

void setBusy(GroupWatcher& watcher, Instant now, const std::string& name, std::size_t busy)
{
    auto standing = *watcher.find(TargetName(name))->standing;
    standing.busy = busy;
    watcher.record(now, TargetName(name), now, standing);
}

} // namespace

TEST_CASE("Reads go to the nearest target, and off the primary where a replica is as near", "[proxy][placement]")
{
    auto watcher = group();
    CHECK(
        namesOf(ReadPlacement::order(start, watcher, {}, {})) == std::vector<std::string> { "near", "far", "primary" });

    SECTION("one that can't serve the read is left out")
    {
        CHECK(namesOf(ReadPlacement::order(start, watcher, {}, { TargetName("near") }))
            == std::vector<std::string> { "far", "primary" });
    }
    SECTION("so is one that does not answer")
    {
        watcher.health(TargetName("near"))->asked(start);
        CHECK(namesOf(ReadPlacement::order(start + 1s, watcher, {}, {}))
            == std::vector<std::string> { "far", "primary" });
    }
    SECTION("a queue that costs more than the way is avoided")
    {
        setBusy(watcher, start, "near", 20);
        CHECK(namesOf(ReadPlacement::order(start, watcher, {}, {})).front() == "far");
    }
}

// Answers a load of short reads that all arrive in one data centre, at 1.5 times what its own replica can run.
TEST_CASE("Under more reads than the near replica can run, callers wait less than with the nearest alone",
    "[proxy][placement][load]")
{
    constexpr Duration service = 20ms;
    constexpr Duration interval = 4440us;
    constexpr int reads = 2000;
    const auto play = [&](bool isNearestOnly) {
        auto watcher = group();
        std::map<std::string, std::vector<Instant>> slots;
        for (const auto* const name : { "near", "primary", "far" })
            slots[name].assign(slotsPerTarget, start);
        std::size_t inAim = 0;
        auto now = start;
        for (int read = 0; read < reads; ++read, now += interval) {
            for (const auto& [name, ends] : slots) {
                std::size_t busy = 0;
                for (const auto end : ends)
                    busy += end > now ? 1 + static_cast<std::size_t>((end - now) / service) : 0;
                setBusy(watcher, now, name, busy);
                watcher.health(TargetName(name))->heard(now, {});
            }
            const auto chosen
                = isNearestOnly ? "near" : ReadPlacement::order(now, watcher, {}, {}).front().target.value();
            auto& slot = *std::min_element(slots[chosen].begin(), slots[chosen].end());
            slot = std::max(slot, now) + service;
            const auto wait = slot - now + watcher.find(TargetName(chosen))->health.roundTrip();
            inAim += wait <= 1000ms ? 1 : 0;
        }
        return inAim;
    };
    const auto spread = play(false);
    const auto nearest = play(true);
    CHECK(spread == reads);
    CHECK(nearest < reads / 2);
}

TEST_CASE("A replica that has just shown to lack the position is left out for a moment", "[proxy][placement]")
{
    auto watcher = group();
    const LogPoint applied { Term(1), Position(7) };
    const LogPoint wanted { Term(1), Position(8) };
    watcher.noteApplied(start, TargetName("near"), applied);
    CHECK(namesOf(ReadPlacement::order(start, watcher, {}, {}, wanted)).front() == "far");
    CHECK(namesOf(ReadPlacement::order(start, watcher, {}, {}, applied)).front() == "near");
    CHECK(namesOf(ReadPlacement::order(start + ReadPlacement::lagRetry, watcher, {}, {}, wanted)).front() == "near");
}

TEST_CASE("A host opens beyond its floor only while the target has told of room", "[proxy][connections]")
{
    ConnectionPool pool;
    pool.setLimit(48);
    RandomEngine random { 1 };
    const TargetName name("t");
    CHECK(pool.mayOpen(start));
    pool.add(start, ConnectionId(1), name).stage = ConnectionStage::Idle;
    pool.add(start, ConnectionId(2), name).stage = ConnectionStage::Idle;
    CHECK_FALSE(pool.mayOpen(start));

    pool.setCount(20);
    CHECK(pool.mayOpen(start));
    pool.setCount(43);
    CHECK_FALSE(pool.mayOpen(start));

    SECTION("a refusal is followed by a pause")
    {
        pool.setCount(20);
        pool.refused(start, random);
        pool.refused(start, random);
        CHECK(pool.mayOpen(start + 5s));
    }
    SECTION("spare connections go early while the target is full, and one always stays")
    {
        CHECK(pool.surplus(start + ConnectionPool::crowdedIdleTimeout).size() == 1);
        pool.setCount(10);
        CHECK(pool.surplus(start + ConnectionPool::crowdedIdleTimeout).empty());
        CHECK(pool.surplus(start + ConnectionPool::idleTimeout).size() == 1);
    }
}

TEST_CASE("A connection gets the session's values, and is cleared of others'", "[proxy][connections]")
{
    TargetConnection connection;
    const Session::PreparedShape shape { Session::Access::Read, "q1" };
    CHECK(setUp(connection, { { "a", "1" } }, &shape).size() == 2);
    CHECK(setUp(connection, { { "a", "1" } }, &shape).empty());
    CHECK(setUp(connection, { { "a", "2" }, { "b", "3" } }, nullptr).size() == 2);

    const auto requests = setUp(connection, { { "b", "3" } }, &shape);
    REQUIRE(requests.size() == 3);
    CHECK(std::holds_alternative<ResetConnection>(requests[0]));
    CHECK(std::holds_alternative<SetValue>(requests[1]));
    CHECK(std::holds_alternative<PrepareStatement>(requests[2]));
}

TEST_CASE("Shapes of different access never share a prepared name", "[proxy][connections]")
{
    CHECK(preparedNameOf({ Session::Access::Read, "q1" }) == preparedNameOf({ Session::Access::Read, "q1" }));
    CHECK(preparedNameOf({ Session::Access::Read, "q1" }) != preparedNameOf({ Session::Access::Write, "q1" }));
    CHECK(preparedNameOf({ Session::Access::Read, "q1" }) != preparedNameOf({ Session::Access::Read, "q2" }));
}
