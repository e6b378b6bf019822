#include "proxy/ReadTargetSelector.h"

#include <catch2/catch.hpp>
#include <random>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
constexpr std::size_t slotsPerTarget = 3;

/// A nearby replica, and the primary and another replica in another region.
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
        TargetStatus status;
        status.isPrimary = record.name == TargetName("primary");
        status.term = Term(1);
        watcher.recordStatus(start, record.name, start, status);
        watcher.health(record.name)->recordResponse(start, record.name == TargetName("near") ? 1ms : 43ms);
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
    auto status = *watcher.find(TargetName(name))->status;
    status.busy = busy;
    watcher.recordStatus(now, TargetName(name), now, status);
}

} // namespace

TEST_CASE(
    "Reads are sent to the nearest target, and to a replica rather than an equally near primary", "[proxy][placement]")
{
    auto watcher = group();
    CHECK(namesOf(ReadTargetSelector::rank(start, watcher, {}, {}))
        == std::vector<std::string> { "near", "far", "primary" });

    SECTION("a target that can't serve the read is left out")
    {
        CHECK(namesOf(ReadTargetSelector::rank(start, watcher, {}, { TargetName("near") }))
            == std::vector<std::string> { "far", "primary" });
    }
    SECTION("a target that does not respond is left out")
    {
        watcher.health(TargetName("near"))->recordRequest(start);
        CHECK(namesOf(ReadTargetSelector::rank(start + 1s, watcher, {}, {}))
            == std::vector<std::string> { "far", "primary" });
    }
    SECTION("a queue that costs more than the longer round trip is avoided")
    {
        setBusy(watcher, start, "near", 20);
        CHECK(namesOf(ReadTargetSelector::rank(start, watcher, {}, {})).front() == "far");
    }
}

// Guards against overload of the nearest replica when all short reads arrive in one data centre, at 1.5 times the rate
// that its replica can serve.
TEST_CASE("Under more reads than the near replica can serve, spreading the reads reduces the waiting time",
    "[proxy][placement][load]")
{
    constexpr Duration service = 20ms;
    constexpr Duration interval = 4440us;
    constexpr int reads = 2000;
    const auto simulate = [&](bool isNearestOnly) {
        auto watcher = group();
        std::map<std::string, std::vector<Instant>> slots;
        for (const auto* const name : { "near", "primary", "far" })
            slots[name].assign(slotsPerTarget, start);
        std::size_t inTime = 0;
        auto now = start;
        for (int read = 0; read < reads; ++read, now += interval) {
            for (const auto& [name, ends] : slots) {
                std::size_t busy = 0;
                for (const auto end : ends)
                    busy += end > now ? 1 + static_cast<std::size_t>((end - now) / service) : 0;
                setBusy(watcher, now, name, busy);
                watcher.health(TargetName(name))->recordResponse(now, {});
            }
            const auto chosen
                = isNearestOnly ? "near" : ReadTargetSelector::rank(now, watcher, {}, {}).front().target.value();
            auto& slot = *std::min_element(slots[chosen].begin(), slots[chosen].end());
            slot = std::max(slot, now) + service;
            const auto wait = slot - now + watcher.find(TargetName(chosen))->health.roundTrip();
            inTime += wait <= 1000ms ? 1 : 0;
        }
        return inTime;
    };
    const auto spread = simulate(false);
    const auto nearest = simulate(true);
    CHECK(spread == reads);
    CHECK(nearest < reads / 2);
}

TEST_CASE("A replica that was just found to lack the position is left out for a moment", "[proxy][placement]")
{
    auto watcher = group();
    const LogPoint applied { Term(1), Position(7) };
    const LogPoint wanted { Term(1), Position(8) };
    watcher.recordApplied(start, TargetName("near"), applied);
    CHECK(namesOf(ReadTargetSelector::rank(start, watcher, {}, {}, wanted)).front() == "far");
    CHECK(namesOf(ReadTargetSelector::rank(start, watcher, {}, {}, applied)).front() == "near");
    CHECK(
        namesOf(ReadTargetSelector::rank(start + ReadTargetSelector::lagRetryInterval, watcher, {}, {}, wanted)).front()
        == "near");
}

TEST_CASE("A host exceeds its minimum of connections only while the target reports room", "[proxy][connections]")
{
    ConnectionPool pool;
    pool.setLimit(48);
    RandomEngine random { 1 };
    const TargetName name("t");
    CHECK(pool.mayOpen(start));
    pool.add(start, ConnectionId(1), name).stage = ConnectionStage::Idle;
    pool.add(start, ConnectionId(2), name).stage = ConnectionStage::Idle;
    CHECK_FALSE(pool.mayOpen(start));

    pool.setReportedCount(20);
    CHECK(pool.mayOpen(start));
    pool.setReportedCount(43);
    CHECK_FALSE(pool.mayOpen(start));

    SECTION("connections may be opened again once the delay after a refusal has passed")
    {
        pool.setReportedCount(20);
        pool.recordRefusal(start, random);
        pool.recordRefusal(start, random);
        CHECK(pool.mayOpen(start + 5s));
    }
    SECTION("spare connections are closed early while the target is full, and one is always kept")
    {
        CHECK(pool.surplusConnections(start + ConnectionPool::crowdedIdleTimeout).size() == 1);
        pool.setReportedCount(10);
        CHECK(pool.surplusConnections(start + ConnectionPool::crowdedIdleTimeout).empty());
        CHECK(pool.surplusConnections(start + ConnectionPool::idleTimeout).size() == 1);
    }
}

TEST_CASE("A connection gets the session's values and is reset if it has others", "[proxy][connections]")
{
    TargetConnection connection;
    const Session::PreparedShape shape { Session::Access::Read, "q1" };
    CHECK(makeSetupRequests(connection, { { "a", "1" } }, &shape).size() == 2);
    CHECK(makeSetupRequests(connection, { { "a", "1" } }, &shape).empty());
    CHECK(makeSetupRequests(connection, { { "a", "2" }, { "b", "3" } }, nullptr).size() == 2);

    const auto requests = makeSetupRequests(connection, { { "b", "3" } }, &shape);
    REQUIRE(requests.size() == 3);
    CHECK(std::holds_alternative<ResetConnection>(requests[0]));
    CHECK(std::holds_alternative<SetValue>(requests[1]));
    CHECK(std::holds_alternative<PrepareStatement>(requests[2]));
}

TEST_CASE("Shapes with different access never share a prepared name", "[proxy][connections]")
{
    CHECK(preparedNameOf({ Session::Access::Read, "q1" }) == preparedNameOf({ Session::Access::Read, "q1" }));
    CHECK(preparedNameOf({ Session::Access::Read, "q1" }) != preparedNameOf({ Session::Access::Write, "q1" }));
    CHECK(preparedNameOf({ Session::Access::Read, "q1" }) != preparedNameOf({ Session::Access::Read, "q2" }));
}
