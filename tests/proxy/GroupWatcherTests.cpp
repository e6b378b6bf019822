#include "proxy/GroupWatcher.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

TargetRecord record(const std::string& name, std::uint16_t port, bool claimsPrimary = false)
{
    TargetRecord made;
    made.name = TargetName(name);
    made.address = { "10.0.0.1", port };
    made.claimsPrimary = claimsPrimary;
    made.incarnation = TargetIncarnation(port);
    return made;
}

TargetStanding standing(bool isPrimary, std::uint64_t term, std::uint64_t position, std::uint64_t fenced = 0)
{
    TargetStanding made;
    made.isPrimary = isPrimary;
    made.term = Term(term);
    made.received = { Term(term), Position(position) };
    made.fencedTerm = Term(fenced);
    return made;
}

/// Three members of which p leads, with one synchronous replica.
GroupWatcher threeMembers()
{
    GroupWatcher watcher;
    watcher.setRules({ 50, 1 });
    watcher.setMembers(start, { record("p", 1, true), record("r", 2), record("s", 3) });
    return watcher;
}

const TargetName p("p");
const TargetName r("r");
const TargetName s("s");

} // namespace

TEST_CASE("A read is proven fresh by the primary and enough members, asked after it arrived", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    CHECK(watcher.record(start, p, start, standing(true, 1, 7)));
    CHECK_FALSE(watcher.proofs().covers(start, p));

    SECTION("one unfenced replica completes the proof, as of the earlier question")
    {
        watcher.record(start + 10ms, r, start + 5ms, standing(false, 1, 7));
        CHECK(watcher.proofs().covers(start, p));
        CHECK_FALSE(watcher.proofs().covers(start + 1ms, p));
        CHECK(watcher.proofs().pointAt(start) == LogPoint { Term(1), Position(7) });
    }
    SECTION("a fenced replica proves nothing")
    {
        watcher.record(start + 10ms, r, start + 5ms, standing(false, 1, 7, 2));
        CHECK_FALSE(watcher.proofs().covers(start, p));
    }
    SECTION("nor does one that has joined a higher term")
    {
        watcher.record(start + 10ms, r, start + 5ms, standing(false, 2, 0));
        CHECK_FALSE(watcher.proofs().covers(start, p));
    }
}

TEST_CASE("In a group of four a proof needs two replicas", "[proxy][watcher]")
{
    // With one, a new primary and a member that joined it could have acknowledged a commit unseen.
    auto watcher = threeMembers();
    watcher.setMembers(start, { record("p", 1, true), record("r", 2), record("s", 3), record("t", 4) });
    watcher.record(start, p, start, standing(true, 1, 7));
    watcher.record(start, r, start, standing(false, 1, 7));
    CHECK_FALSE(watcher.proofs().covers(start, p));
    watcher.record(start, s, start, standing(false, 1, 7));
    CHECK(watcher.proofs().covers(start, p));
}

TEST_CASE("An acknowledged commit is a proof as of its sending", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.record(start, p, start, standing(true, 1, 7));
    watcher.committed(p, start + 20ms, { Term(1), Position(8) });
    CHECK(watcher.proofs().covers(start + 20ms, p));
    CHECK_FALSE(watcher.proofs().covers(start + 21ms, p));

    SECTION("but not in a group of four")
    {
        auto larger = threeMembers();
        larger.setMembers(start, { record("p", 1, true), record("r", 2), record("s", 3), record("t", 4) });
        larger.record(start, p, start, standing(true, 1, 7));
        larger.committed(p, start + 20ms, { Term(1), Position(8) });
        CHECK_FALSE(larger.proofs().covers(start, p));
    }
}

TEST_CASE("While enough members are fenced the longest of their logs holds every commit", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.record(start, p, start, standing(true, 1, 9));
    watcher.record(start + 1s, r, start + 1s, standing(false, 1, 7, 2));
    CHECK_FALSE(watcher.proofs().pointAt(start + 1s));
    watcher.record(start + 1s, s, start + 1s, standing(false, 1, 8, 2));
    CHECK(watcher.proofs().pointAt(start + 1s) == LogPoint { Term(1), Position(8) });
}

TEST_CASE("A primary is blocked only when no replica receives what it had before they were asked", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.record(start, p, start, standing(true, 1, 7));
    watcher.record(start, r, start, standing(false, 1, 7));
    watcher.record(start, s, start, standing(false, 1, 7));

    SECTION("not when a quiet group writes again")
    {
        // The replicas' standings are old; they are not behind anything that they were asked after.
        watcher.record(start + 10s, p, start + 10s, standing(true, 1, 8));
        CHECK(watcher.trouble(start + 10s) == PrimaryTrouble::None);
    }
    SECTION("when both stay behind for the limit")
    {
        watcher.record(start + 1s, p, start + 1s, standing(true, 1, 9));
        for (auto at = start + 1100ms; at < start + 4s; at += 500ms) {
            watcher.record(at, r, at, standing(false, 1, 7));
            watcher.record(at, s, at, standing(false, 1, 7));
        }
        CHECK(watcher.trouble(start + 4s) == PrimaryTrouble::Blocked);
    }
    SECTION("not while one of them moves")
    {
        watcher.record(start + 1s, p, start + 1s, standing(true, 1, 9));
        for (int step = 0; step < 6; ++step) {
            const auto at = start + 1100ms + step * 500ms;
            watcher.record(at, r, at, standing(false, 1, 7));
            watcher.record(at, s, at, standing(false, 1, 7 + (step % 2)));
        }
        CHECK(watcher.trouble(start + 4s) == PrimaryTrouble::None);
    }
}

TEST_CASE("A primary that refuses this host for lack of room is not missing", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.health(p)->asked(start);
    watcher.health(p)->heard(start + 10ms, {});
    CHECK(watcher.trouble(start + 10s) == PrimaryTrouble::None);

    SECTION("one that nobody listed as primary is")
    {
        GroupWatcher other;
        other.setRules({ 50, 1 });
        other.setMembers(start, { record("p", 1), record("r", 2), record("s", 3) });
        CHECK(other.trouble(start + 1s) == PrimaryTrouble::None);
        CHECK(other.trouble(start + 10s) == PrimaryTrouble::Missing);
    }
}

TEST_CASE("A primary that is down needs no replacement once another member is listed as primary", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.record(start, p, start, standing(true, 1, 7));
    watcher.record(start, r, start, standing(false, 1, 7));
    const auto heard = [&watcher](Instant now) { watcher.health(r)->heard(now, {}); };
    heard(start + 1s);
    for (std::size_t count = 0; count < TargetHealth::refusalLimit; ++count)
        watcher.health(p)->refused(start + 1s);
    REQUIRE(watcher.trouble(start + 1s) == PrimaryTrouble::Down);

    watcher.setMembers(start + 2s, { record("p", 1, true), record("r", 2, true), record("s", 3) });
    CHECK(watcher.trouble(start + 2s) == PrimaryTrouble::None);

    SECTION("unless it answers since as a replica")
    {
        watcher.record(start + 3s, r, start + 3s, standing(false, 1, 7));
        CHECK(watcher.trouble(start + 3s) == PrimaryTrouble::Down);
    }
    SECTION("unless it is down too")
    {
        for (std::size_t count = 0; count < TargetHealth::refusalLimit; ++count)
            watcher.health(r)->refused(start + 3s);
        CHECK(watcher.trouble(start + 3s) == PrimaryTrouble::Down);
    }
}

TEST_CASE("A member that is gone counts as part of the group for a while", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    // Nothing changes in the list for longer than a member that is gone is remembered.
    const auto gone = start + 2 * GroupWatcher::membershipMemory;
    watcher.setMembers(gone, { record("r", 2), record("s", 3) });
    CHECK(watcher.witnessesNeeded() == 1);
    watcher.setMembers(gone + GroupWatcher::membershipMemory + 1ms, { record("r", 2), record("s", 3) });
    CHECK(watcher.witnessesNeeded() == 0);
}

TEST_CASE("A group that is watched again has its primary looked for first", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.record(start, p, start, standing(true, 1, 7));
    watcher.setMembers(start + 1s, {});
    const auto again = start + 2 * GroupWatcher::missingLimit;
    watcher.setMembers(again, { record("p", 1), record("r", 2), record("s", 3) });
    CHECK(watcher.trouble(again) == PrimaryTrouble::None);
    CHECK(watcher.trouble(again + GroupWatcher::missingLimit) == PrimaryTrouble::Missing);
}

TEST_CASE("The fences that a promotion needs meet every set that could acknowledge a commit", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    CHECK(watcher.fencesNeeded() == 2);

    SECTION("also when the dead primary's entry has lapsed")
    {
        watcher.setMembers(start + 1s, { record("r", 2), record("s", 3) });
        CHECK(watcher.fencesNeeded() == 2);
    }
    SECTION("a target that starts again under a new name at its address is no further member")
    {
        watcher.setMembers(start + 1s, { record("p", 1), record("r", 2), record("s-again", 3) });
        CHECK(watcher.fencesNeeded() == 2);
    }
    SECTION("a replacement counts besides a leaving member until that one is gone")
    {
        auto leaving = record("s", 3);
        leaving.isLeaving = true;
        watcher.setMembers(start + 1s, { record("p", 1), record("r", 2), leaving, record("t", 4) });
        CHECK(watcher.fencesNeeded() == 3);
        watcher.setMembers(start + 2s, { record("p", 1), record("r", 2), record("t", 4) });
        CHECK(watcher.fencesNeeded() == 2);
    }
}

TEST_CASE("What was known of a target is void once it starts again", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.record(start, p, start, standing(true, 1, 7));
    auto reborn = record("p", 1);
    reborn.incarnation = TargetIncarnation(99);
    watcher.setMembers(start + 1s, { reborn, record("r", 2), record("s", 3) });
    CHECK_FALSE(watcher.primary());
    CHECK_FALSE(watcher.find(p)->standing);
}

TEST_CASE("A target is silent only when a fresh connection brings no answer either", "[proxy][health]")
{
    TargetHealth health;
    health.asked(start);
    CHECK_FALSE(health.isDoubtful(start + 100ms));
    CHECK(health.isDoubtful(start + 300ms));
    CHECK(health.needsFreshConnect(start + 300ms));
    CHECK_FALSE(health.isDown(start + 5s));

    health.connecting(start + 300ms);
    CHECK_FALSE(health.isDown(start + 600ms));
    CHECK(health.isDown(start + 800ms));

    SECTION("any answer clears it")
    {
        health.heard(start + 800ms, 20ms);
        CHECK_FALSE(health.isDoubtful(start + 800ms));
        CHECK(health.roundTrip() == 20ms);
    }
    SECTION("time in which the host did not run is not held against it")
    {
        health.forgiveSilence(start + 10s);
        CHECK_FALSE(health.isDoubtful(start + 10s));
    }
    SECTION("refused connects count at once")
    {
        TargetHealth refusing;
        refusing.refused(start);
        CHECK_FALSE(refusing.isDown(start));
        refusing.refused(start + 1ms);
        CHECK(refusing.isDown(start + 1ms));
    }
}
