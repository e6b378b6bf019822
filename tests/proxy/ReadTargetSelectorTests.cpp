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

RandomEngine engine { 1 };

std::vector<ReadCandidate> rank(Instant now, const GroupWatcher& watcher, const std::set<TargetName>& avoided = {},
    const std::optional<LogPoint>& requiredLogPoint = {})
{
    return ReadTargetSelector::rank(now, watcher, {}, avoided, requiredLogPoint, engine);
}

/// @return how often the target comes first in a hundred rankings.
int timesFirst(Instant now, const GroupWatcher& watcher, const std::string& name)
{
    int times = 0;
    for (int ranking = 0; ranking < 100; ++ranking)
        times += rank(now, watcher).front().target.value() == name ? 1 : 0;
    return times;
}

void setBusy(GroupWatcher& watcher, Instant now, const std::string& name, std::size_t busy)
{
    const TargetName target(name);
    watcher.load(target)->recordReport(now, busy, 0, watcher.find(target)->health.roundTrip());
    auto status = *watcher.find(TargetName(name))->status;
    status.busy = busy;
    watcher.recordStatus(now, TargetName(name), now, status);
}

} // namespace

TEST_CASE(
    "Reads are sent to the nearest target, and to a replica rather than an equally near primary", "[proxy][placement]")
{
    auto watcher = group();
    CHECK(namesOf(rank(start, watcher)) == std::vector<std::string> { "near", "far", "primary" });

    SECTION("a target that can't serve the read is left out")
    {
        CHECK(namesOf(rank(start, watcher, { TargetName("near") })) == std::vector<std::string> { "far", "primary" });
    }
    SECTION("a target that does not respond is left out")
    {
        watcher.health(TargetName("near"))->recordRequest(start);
        CHECK(namesOf(rank(start + 1s, watcher)) == std::vector<std::string> { "far", "primary" });
    }
    SECTION("a queue that costs more than the longer round trip is avoided")
    {
        setBusy(watcher, start, "near", 20);
        CHECK(namesOf(rank(start, watcher)).front() == "far");
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
            const auto chosen = isNearestOnly ? "near" : rank(now, watcher).front().target.value();
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
    CHECK(namesOf(rank(start, watcher, {}, wanted)).front() == "far");
    CHECK(namesOf(rank(start, watcher, {}, applied)).front() == "near");
    CHECK(namesOf(rank(start + ReadTargetSelector::lagRetryInterval, watcher, {}, wanted)).front() == "near");
}

// Guards against hosts that all send their reads to the same target until the next report.
TEST_CASE("Hosts with the same information choose different targets", "[proxy][placement]")
{
    auto watcher = group();
    CHECK(timesFirst(start, watcher, "near") == 100);
    // The far replica and the primary are equally good.
    watcher.load(TargetName("primary"))->recordReport(start, 0, 0, 43ms - ReadTargetSelector::primaryPenalty);
    setBusy(watcher, start, "near", 100);
    const auto far = timesFirst(start, watcher, "far");
    CHECK(far > 20);
    CHECK(far < 80);
}

// Guards against a burst of a host's own reads that all go to one target, as no report shows them yet.
TEST_CASE("A host counts its own unanswered reads before a report shows them", "[proxy][placement]")
{
    auto watcher = group();
    setBusy(watcher, start, "near", 0);
    ReadTargetSelector::Pools pools;
    auto& pool = pools[TargetName("near")];
    constexpr std::uint64_t ownReads = 24;
    for (std::uint64_t id = 1; id <= ownReads; ++id)
        pool.add(start, ConnectionId(id), TargetName("near")).expectedReplies.push_back({});
    CHECK(namesOf(ReadTargetSelector::rank(start, watcher, pools, {}, {}, engine)).front() == "far");
    for (std::uint64_t id = 1; id <= ownReads; ++id)
        pool.find(ConnectionId(id))->expectedReplies.clear();
    CHECK(namesOf(ReadTargetSelector::rank(start, watcher, pools, {}, {}, engine)).front() == "near");
}

// Guards against a full target that is tried again at once, while others have room.
TEST_CASE("A target that refused a read for lack of capacity comes last for a moment", "[proxy][placement]")
{
    auto watcher = group();
    auto& load = *watcher.load(TargetName("near"));
    load.recordRefusal(start);
    CHECK(namesOf(rank(start, watcher)).back() == "near");
    CHECK(namesOf(rank(start, watcher)).size() == 3);
    CHECK(load.pausedUntil() == start + TargetLoad::refusalPause);

    SECTION("refusals of reads that were sent together count once")
    {
        load.recordRefusal(start + 1ms);
        CHECK(load.pausedUntil() == start + TargetLoad::refusalPause);
    }
    SECTION("the pause doubles with each refusal that follows it, up to a limit, and an answer resets it")
    {
        auto now = load.pausedUntil();
        load.recordRefusal(now);
        CHECK(load.pausedUntil() == now + 2 * TargetLoad::refusalPause);
        for (int refusal = 0; refusal < 10; ++refusal) {
            now = load.pausedUntil();
            load.recordRefusal(now);
        }
        CHECK(load.pausedUntil() == now + TargetLoad::longestRefusalPause);
        now = load.pausedUntil();
        load.recordAnswer(now, 20ms, 1, slotsPerTarget);
        load.recordRefusal(now);
        CHECK(load.pausedUntil() == now + TargetLoad::refusalPause);
    }
}

// Guards against reads that stay at a target which became slow while its reports show little load.
TEST_CASE("A target with slow answers is avoided until the answers are old", "[proxy][placement]")
{
    auto watcher = group();
    for (int answer = 0; answer < 30; ++answer)
        watcher.load(TargetName("near"))->recordAnswer(start, 200ms, 1, slotsPerTarget);
    CHECK(timesFirst(start, watcher, "near") == 0);
    CHECK(timesFirst(start + 10s, watcher, "near") == 100);
}

TEST_CASE("A target that does not answer reads loses most of them but is never left out", "[proxy][placement]")
{
    auto watcher = group();
    for (const auto* const name : { "near", "far", "primary" }) {
        for (int loss = 0; loss < 20; ++loss)
            watcher.load(TargetName(name))->recordFailure(start);
    }
    CHECK(rank(start, watcher).size() == 3);
    for (int answer = 0; answer < 20; ++answer)
        watcher.load(TargetName("far"))->recordAnswer(start, 60ms, 1, slotsPerTarget);
    CHECK(timesFirst(start + 1s, watcher, "near") == 0);
    CHECK(timesFirst(start + 60s, watcher, "near") == 100);
}

// Guards against a rush of all hosts to a target that has just started.
TEST_CASE("A target that returns takes load in steps", "[proxy][placement]")
{
    auto watcher = group();
    watcher.load(TargetName("near"))->recordReturn(start);
    const auto share = [&](int step) { return timesFirst(start + step * TargetLoad::returnStep, watcher, "near"); };
    const auto atFirst = share(0);
    CHECK(atFirst > 5);
    CHECK(atFirst < 40);
    const auto later = share(2);
    CHECK(later > 40);
    CHECK(later < 80);
    CHECK(share(TargetLoad::returnSteps) == 100);
}

// Guards against a group of few targets that serves no reads because each target is late with one answer.
TEST_CASE("A group is not emptied by suspicion alone", "[proxy][placement]")
{
    auto watcher = group();
    for (const auto* const name : { "near", "far", "primary" })
        watcher.health(TargetName(name))->recordRequest(start);
    CHECK(rank(start + 300ms, watcher).size() == 3);
    watcher.health(TargetName("far"))->recordResponse(start + 300ms, {});
    CHECK(namesOf(rank(start + 300ms, watcher)) == std::vector<std::string> { "far" });

    SECTION("targets that are down stay out")
    {
        watcher.health(TargetName("far"))->recordRefusal(start);
        watcher.health(TargetName("far"))->recordRefusal(start);
        CHECK(rank(start + 300ms, watcher).size() == 2);
    }
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
    const NamedShape shape({ Session::Access::Read, "q1" });
    CHECK(makeSetupRequests(connection, { { "a", "1" } }, &shape).size() == 2);
    CHECK(makeSetupRequests(connection, { { "a", "1" } }, &shape).empty());
    CHECK(makeSetupRequests(connection, { { "a", "2" }, { "b", "3" } }, nullptr).size() == 2);

    const auto requests = makeSetupRequests(connection, { { "b", "3" } }, &shape);
    REQUIRE(requests.size() == 3);
    CHECK(std::holds_alternative<ResetConnection>(requests[0]));
    CHECK(std::holds_alternative<SetValue>(requests[1]));
    CHECK(std::holds_alternative<PrepareStatement>(requests[2]));
}
