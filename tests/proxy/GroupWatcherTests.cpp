#include "proxy/GroupWatcher.h"
#include "proxy/UnreplacedPrimary.h"

#include <bit>
#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

TargetRecord record(const std::string& name, std::uint16_t port, bool reportsPrimary = false)
{
    TargetRecord result;
    result.name = TargetName(name);
    result.address = { "10.0.0.1", port };
    result.reportsPrimary = reportsPrimary;
    result.incarnation = TargetIncarnation(port);
    return result;
}

TargetStatus makeStatus(bool isPrimary, std::uint64_t term, std::uint64_t position, std::uint64_t fenced = 0)
{
    TargetStatus result;
    result.isPrimary = isPrimary;
    result.term = Term(term);
    result.received = { Term(term), Position(position) };
    result.fencedTerm = Term(fenced);
    return result;
}

/// A group of primary p and two replicas, one of which has to receive each commit before it is acknowledged.
GroupWatcher threeMembers()
{
    GroupWatcher watcher;
    watcher.setRules({ 50, 1 });
    watcher.setMembers(start, { record("p", 1, true), record("r", 2), record("s", 3) });
    showUnreplaced(watcher, start, TargetName("p"), 1);
    return watcher;
}

const TargetName p("p");
const TargetName r("r");
const TargetName s("s");

} // namespace

TEST_CASE("A primary is confirmed for a read by the status of enough members, queried after the read arrived",
    "[proxy][watcher]")
{
    auto watcher = threeMembers();
    CHECK(watcher.recordStatus(start, p, start, makeStatus(true, 1, 7)));
    CHECK_FALSE(watcher.confirmations().covers(start, p));

    SECTION("one unfenced replica completes the confirmation, as of the earlier of both queries")
    {
        watcher.recordStatus(start + 10ms, r, start + 5ms, makeStatus(false, 1, 7));
        CHECK(watcher.confirmations().covers(start, p));
        CHECK_FALSE(watcher.confirmations().covers(start + 1ms, p));
        CHECK(watcher.confirmations().logPointAt(start) == LogPoint { Term(1), Position(7) });
    }
    SECTION("a fenced replica confirms nothing")
    {
        watcher.recordStatus(start + 10ms, r, start + 5ms, makeStatus(false, 1, 7, 2));
        CHECK_FALSE(watcher.confirmations().covers(start, p));
    }
    SECTION("a replica that has joined a higher term confirms nothing")
    {
        watcher.recordStatus(start + 10ms, r, start + 5ms, makeStatus(false, 2, 0));
        CHECK_FALSE(watcher.confirmations().covers(start, p));
    }
}

TEST_CASE("In a group of four a confirmation needs two replicas", "[proxy][watcher]")
{
    // With only one, a new primary and a member that joined it could have acknowledged a commit without being noticed.
    auto watcher = threeMembers();
    watcher.setMembers(start, { record("p", 1, true), record("r", 2), record("s", 3), record("t", 4) });
    watcher.recordStatus(start, p, start, makeStatus(true, 1, 7));
    watcher.recordStatus(start, r, start, makeStatus(false, 1, 7));
    CHECK_FALSE(watcher.confirmations().covers(start, p));
    watcher.recordStatus(start, s, start, makeStatus(false, 1, 7));
    CHECK(watcher.confirmations().covers(start, p));
}

TEST_CASE("An acknowledged commit confirms the primary as of when the commit was sent", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.recordStatus(start, p, start, makeStatus(true, 1, 7));
    watcher.recordCommit(start + 20ms, p, start + 20ms, { Term(1), Position(8) });
    CHECK(watcher.confirmations().covers(start + 20ms, p));
    CHECK_FALSE(watcher.confirmations().covers(start + 21ms, p));

    SECTION("but not in a group of four")
    {
        auto larger = threeMembers();
        larger.setMembers(start, { record("p", 1, true), record("r", 2), record("s", 3), record("t", 4) });
        larger.recordStatus(start, p, start, makeStatus(true, 1, 7));
        larger.recordCommit(start + 20ms, p, start + 20ms, { Term(1), Position(8) });
        CHECK_FALSE(larger.confirmations().covers(start, p));
    }
}

// Guards against stale reads: a member that this host does not know may go on acknowledging with the primary.
TEST_CASE("Fenced members alone confirm no log point", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.recordStatus(start, p, start, makeStatus(true, 1, 9));
    watcher.recordStatus(start + 1s, r, start + 1s, makeStatus(false, 1, 7, 2));
    CHECK_FALSE(watcher.confirmations().logPointAt(start + 1s));
    watcher.recordStatus(start + 1s, s, start + 1s, makeStatus(false, 1, 8, 2));
    CHECK_FALSE(watcher.confirmations().logPointAt(start + 1s));
}

TEST_CASE("A primary is blocked only when no replica catches up with its earlier status", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.recordStatus(start, p, start, makeStatus(true, 1, 7));
    watcher.recordStatus(start, r, start, makeStatus(false, 1, 7));
    watcher.recordStatus(start, s, start, makeStatus(false, 1, 7));

    SECTION("not when an idle group is written to again")
    {
        // The replicas' status is older than the primary's, so it does not show that they lag.
        watcher.recordStatus(start + 10s, p, start + 10s, makeStatus(true, 1, 8));
        CHECK(watcher.failoverReason(start + 10s) == FailoverReason::None);
    }
    SECTION("when both replicas lag without progress for the timeout")
    {
        watcher.recordStatus(start + 1s, p, start + 1s, makeStatus(true, 1, 9));
        for (auto at = start + 1100ms; at < start + 4s; at += 500ms) {
            watcher.recordStatus(at, r, at, makeStatus(false, 1, 7));
            watcher.recordStatus(at, s, at, makeStatus(false, 1, 7));
        }
        CHECK(watcher.failoverReason(start + 4s) == FailoverReason::Blocked);
    }
    SECTION("not while one replica makes progress")
    {
        watcher.recordStatus(start + 1s, p, start + 1s, makeStatus(true, 1, 9));
        for (int step = 0; step < 6; ++step) {
            const auto at = start + 1100ms + step * 500ms;
            watcher.recordStatus(at, r, at, makeStatus(false, 1, 7));
            watcher.recordStatus(at, s, at, makeStatus(false, 1, 7 + (step % 2)));
        }
        CHECK(watcher.failoverReason(start + 4s) == FailoverReason::None);
    }
}

TEST_CASE("A primary that refuses this host's connections at its connection limit is not missing", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.health(p)->recordRequest(start);
    watcher.health(p)->recordResponse(start + 10ms, {});
    CHECK(watcher.failoverReason(start + 10s) == FailoverReason::None);

    SECTION("without a member that is listed as primary, the primary is missing")
    {
        GroupWatcher other;
        other.setRules({ 50, 1 });
        other.setMembers(start, { record("p", 1), record("r", 2), record("s", 3) });
        CHECK(other.failoverReason(start + 1s) == FailoverReason::None);
        CHECK(other.failoverReason(start + 10s) == FailoverReason::Missing);
    }
}

TEST_CASE("A primary that is down is not replaced once another member is listed as primary", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.recordStatus(start, p, start, makeStatus(true, 1, 7));
    watcher.recordStatus(start, r, start, makeStatus(false, 1, 7));
    const auto respond = [&watcher](Instant now) { watcher.health(r)->recordResponse(now, {}); };
    respond(start + 1s);
    for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count)
        watcher.health(p)->recordRefusal(start + 1s);
    REQUIRE(watcher.failoverReason(start + 1s) == FailoverReason::Down);

    watcher.setMembers(start + 2s, { record("p", 1, true), record("r", 2, true), record("s", 3) });
    CHECK(watcher.failoverReason(start + 2s) == FailoverReason::None);

    SECTION("unless that member has since reported that it is a replica")
    {
        watcher.recordStatus(start + 3s, r, start + 3s, makeStatus(false, 1, 7));
        CHECK(watcher.failoverReason(start + 3s) == FailoverReason::Down);
    }
    SECTION("unless that member is down too")
    {
        for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count)
            watcher.health(r)->recordRefusal(start + 3s);
        CHECK(watcher.failoverReason(start + 3s) == FailoverReason::Down);
    }
}

TEST_CASE("An address at which no target ever answered holds a group up only while it is listed", "[proxy][watcher]")
{
    GroupWatcher watcher;
    const auto appeared = start + 10s;
    SECTION("a group of one without synchronous replicas")
    {
        watcher.setRules({ 50, 0 });
        const std::vector<TargetRecord> members { record("p", 1, true) };
        watcher.setMembers(start, members);
        showUnreplaced(watcher, start, p, 1);
        watcher.recordStatus(appeared, p, appeared, makeStatus(true, 1, 7));
        watcher.setMembers(appeared, { record("p", 1, true), record("foreign", 9, true) });
        watcher.recordStatus(appeared + 10ms, p, appeared + 10ms, makeStatus(true, 1, 7));
        CHECK_FALSE(watcher.confirmations().covers(appeared + 10ms, p));

        watcher.setMembers(appeared + 50ms, members);
        watcher.recordStatus(appeared + 60ms, p, appeared + 60ms, makeStatus(true, 1, 7));
        CHECK(watcher.confirmations().covers(appeared + 60ms, p));
    }
    SECTION("a group of three with one synchronous replica")
    {
        watcher = threeMembers();
        const auto own = std::vector { record("p", 1, true), record("r", 2), record("s", 3) };
        auto withForeign = own;
        withForeign.push_back(record("foreign", 9, true));
        watcher.setMembers(appeared, withForeign);
        CHECK(watcher.confirmationsNeeded() == 2);
        CHECK(watcher.fencesNeeded() == 3);
        SECTION("that refuses connections")
        {
            watcher.health(TargetName("foreign"))->recordRefusal(appeared);
            watcher.setMembers(appeared + 50ms, own);
            CHECK(watcher.confirmationsNeeded() == 1);
            CHECK(watcher.fencesNeeded() == 2);
        }
        SECTION("but one at which a target answered goes on counting")
        {
            watcher.health(TargetName("foreign"))->recordResponse(appeared, {});
            watcher.setMembers(appeared + 50ms, own);
            CHECK(watcher.fencesNeeded() == 3);
        }
    }
}

TEST_CASE("The primary of a group that is watched again is not missing before the timeout", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.recordStatus(start, p, start, makeStatus(true, 1, 7));
    watcher.setMembers(start + 1s, {});
    const auto again = start + 2 * GroupWatcher::missingTimeout;
    watcher.setMembers(again, { record("p", 1), record("r", 2), record("s", 3) });
    CHECK(watcher.failoverReason(again) == FailoverReason::None);
    CHECK(watcher.failoverReason(again + GroupWatcher::missingTimeout) == FailoverReason::Missing);
}

TEST_CASE("The fences that a promotion needs intersect every set that could acknowledge a commit", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    CHECK(watcher.fencesNeeded() == 2);

    SECTION("also when the record of the failed primary has expired")
    {
        watcher.setMembers(start + 1s, { record("r", 2), record("s", 3) });
        CHECK(watcher.fencesNeeded() == 2);
    }
    SECTION("a target that restarts under a new name at its address is not an additional member")
    {
        watcher.setMembers(start + 1s, { record("p", 1), record("r", 2), record("s-again", 3) });
        CHECK(watcher.fencesNeeded() == 2);
    }
    SECTION("a replacement counts in addition to a leaving member")
    {
        auto leaving = record("s", 3);
        leaving.isLeaving = true;
        watcher.setMembers(start + 1s, { record("p", 1), record("r", 2), leaving, record("t", 4) });
        CHECK(watcher.fencesNeeded() == 3);
    }
}

TEST_CASE("Fences and confirmations exclude another primary in groups of any size", "[proxy][watcher]")
{
    const auto others = GENERATE(range(0U, 7U));
    const auto size = others + 1;
    const auto sync = GENERATE_COPY(range(0U, size));
    CAPTURE(size, sync);
    const auto quorum = sync + 1;
    std::vector<TargetRecord> records;
    for (unsigned index = 0; index < size; ++index)
        records.push_back(record(std::to_string(index), static_cast<std::uint16_t>(index + 1), index == 0));
    const auto& primary = records.front().name;
    // Each bit stands for one member besides the primary.
    for (unsigned members = 0; members < 1U << others; ++members) {
        const auto count = static_cast<unsigned>(std::popcount(members));
        GroupWatcher joined;
        joined.setRules({ 50, sync });
        joined.setMembers(start, records);
        showUnreplaced(joined, start, primary, 1);
        auto fenced = joined;
        joined.recordStatus(start, primary, start, makeStatus(true, 1, 7));
        for (unsigned index = 1; index < size; ++index) {
            const bool isAmong = (members >> (index - 1)) & 1U;
            joined.recordStatus(start, records[index].name, start, makeStatus(false, isAmong ? 2 : 1, 7));
            fenced.recordStatus(start, records[index].name, start, makeStatus(false, 1, index, isAmong ? 2 : 0));
        }
        // Members that joined another primary may have acknowledged a commit with it.
        const bool mayHaveCommitted = count >= quorum;
        CHECK_FALSE((joined.confirmations().covers(start, primary) && mayHaveCommitted));
        if (count == 0)
            CHECK(joined.confirmations().covers(start, primary));

        // Enough fenced members for a promotion: the others can't acknowledge a commit, and did not acknowledge one
        // alone.
        if (sync > 0 && count >= fenced.fencesNeeded())
            CHECK(size - count < quorum);
        if (count > 0)
            CHECK_FALSE(fenced.confirmations().logPointAt(start));
    }
    // If the primary alone is lost, the others are enough for a promotion.
    GroupWatcher watcher;
    watcher.setRules({ 50, sync });
    watcher.setMembers(start, records);
    if (size > quorum)
        CHECK(watcher.fencesNeeded() <= size - 1);
}

TEST_CASE("The status of a target is discarded once the target restarts", "[proxy][watcher]")
{
    auto watcher = threeMembers();
    watcher.recordStatus(start, p, start, makeStatus(true, 1, 7));
    auto restarted = record("p", 1);
    restarted.incarnation = TargetIncarnation(99);
    watcher.setMembers(start + 1s, { restarted, record("r", 2), record("s", 3) });
    CHECK_FALSE(watcher.primary());
    CHECK_FALSE(watcher.find(p)->status);
}

TEST_CASE("A target is down only when a new connection attempt gets no response either", "[proxy][health]")
{
    TargetHealth health;
    health.recordRequest(start);
    CHECK_FALSE(health.isSuspect(start + 100ms));
    CHECK(health.isSuspect(start + 300ms));
    CHECK(health.needsConnectProbe(start + 300ms));
    CHECK_FALSE(health.isDown(start + 5s));

    health.recordConnectAttempt(start + 300ms);
    CHECK_FALSE(health.isDown(start + 600ms));
    CHECK(health.isDown(start + 800ms));

    SECTION("any response clears the suspicion")
    {
        health.recordResponse(start + 800ms, 20ms);
        CHECK_FALSE(health.isSuspect(start + 800ms));
        CHECK(health.roundTrip() == 20ms);
    }
    SECTION("a pause of this process is discounted")
    {
        health.discountPause(start + 10s);
        CHECK_FALSE(health.isSuspect(start + 10s));
    }
    SECTION("refused connection attempts need no timeout")
    {
        TargetHealth refusing;
        refusing.recordRefusal(start);
        CHECK_FALSE(refusing.isDown(start));
        refusing.recordRefusal(start + 1ms);
        CHECK(refusing.isDown(start + 1ms));
    }
}

TEST_CASE("On the first start of a deployment a primary is used once all members have answered without a fence",
    "[proxy][watcher]")
{
    GroupWatcher watcher;
    watcher.setRules({ 50, 1 });
    watcher.guard().setFirstStart();
    watcher.setMembers(start, { record("p", 1, true), record("r", 2), record("s", 3) });
    watcher.recordStatus(start, p, start, makeStatus(true, 1, 7));
    watcher.recordStatus(start, r, start, makeStatus(false, 1, 7));
    CHECK_FALSE(watcher.guard().allows(p));
    SECTION("by a member that follows")
    {
        watcher.recordStatus(start, s, start, makeStatus(false, 1, 7));
        CHECK(watcher.guard().allows(p));
    }
    SECTION("but not if one is fenced")
    {
        watcher.recordStatus(start, s, start, makeStatus(false, 1, 7, 2));
        CHECK_FALSE(watcher.guard().allows(p));
    }
    SECTION("nor if one is in a later term")
    {
        watcher.recordStatus(start, s, start, makeStatus(false, 2, 7));
        CHECK_FALSE(watcher.guard().allows(p));
    }
}
