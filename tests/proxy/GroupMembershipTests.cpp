#include "proxy/GroupWatcher.h"
#include "proxy/UnreplacedPrimary.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

TargetRecord record(const std::string& name, std::uint16_t port, bool isLeaving = false)
{
    TargetRecord result;
    result.name = TargetName(name);
    result.address = { "10.0.0.1", port };
    result.isLeaving = isLeaving;
    result.incarnation = TargetIncarnation(port);
    return result;
}

TargetStatus makeStatus(bool isPrimary, std::uint64_t term, std::uint64_t position)
{
    TargetStatus result;
    result.isPrimary = isPrimary;
    result.term = Term(term);
    result.received = { Term(term), Position(position) };
    return result;
}

const TargetName p("p");
const TargetName r("r");
const TargetName s("s");
const TargetName leaver("leaver");

/// A group of primary p and the replicas r, s and leaver, one of which has to receive each commit.
struct Group {
    Instant now { start };
    GroupWatcher watcher;

    Group()
    {
        watcher.setRules({ 50, 1 });
        list({ record("p", 1), record("r", 2), record("s", 3), record("leaver", 4, true) });
        showUnreplaced(watcher, now, p, 1);
        for (const auto& name : { p, r, s, leaver })
            respond(name, name == p, 7);
    }
    void list(const std::vector<TargetRecord>& records) { watcher.setMembers(now, records); }
    void listWithoutLeaver() { list({ record("p", 1), record("r", 2), record("s", 3) }); }
    void respond(const TargetName& name, bool isPrimary, std::uint64_t position)
    {
        watcher.health(name)->recordResponse(now, {});
        watcher.recordStatus(now, name, now, makeStatus(isPrimary, 1, position));
    }
    void refuse(const TargetName& name)
    {
        for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count)
            watcher.health(name)->recordRefusal(now);
    }
    /// Advances the time while the members that stay answer and have the whole log.
    void passWithAnswers(Duration step)
    {
        now += step;
        respond(p, true, 9);
        respond(r, false, 9);
        watcher.releaseMembers(now);
        respond(p, true, 9);
        watcher.releaseMembers(now);
    }
    /// Advances the time and releases what no longer counts.
    void pass(Duration step)
    {
        now += step;
        watcher.releaseMembers(now);
    }
    [[nodiscard]] std::size_t size() const { return watcher.membership().size(); }
};

} // namespace

TEST_CASE(
    "A commit that only the primary and a departed replica have is not left out of the count", "[proxy][membership]")
{
    Group group;
    group.listWithoutLeaver();
    CHECK(group.size() == 4);
    CHECK(group.watcher.fencesNeeded() == 3);
    group.refuse(leaver);

    SECTION("until a member that stays has the log that the primary had after the departure")
    {
        group.pass(10ms);
        group.respond(p, true, 9);
        group.pass(10ms);
        CHECK(group.size() == 4);
        group.respond(r, false, 8);
        group.pass(10ms);
        CHECK(group.size() == 4);
        group.respond(r, false, 9);
        group.pass(10ms);
        CHECK(group.size() == 3);
        CHECK(group.watcher.fencesNeeded() == 2);
    }
    SECTION("for as long as the primary answers and is cut from the replicas that stay")
    {
        for (int second = 0; second < 60; ++second) {
            group.pass(1s);
            group.respond(p, true, 9);
            group.respond(r, false, 7);
            group.respond(s, false, 7);
            CHECK(group.watcher.failoverReason(group.now) == FailoverReason::None);
        }
        CHECK(group.size() == 4);
    }
    SECTION("for which the members are not queried urgently for ever")
    {
        group.pass(10ms);
        CHECK(group.watcher.membership().awaitsEvidence(group.now));
        group.pass(GroupMembership::urgentTime);
        CHECK_FALSE(group.watcher.membership().awaitsEvidence(group.now));
    }
    SECTION("but not for ever when the primary is lost as well")
    {
        group.pass(10ms);
        group.refuse(p);
        group.pass(GroupMembership::retentionLimit - 1s);
        CHECK(group.size() == 4);
        group.pass(1s);
        CHECK(group.size() == 3);
    }
    SECTION("a status of the primary from before the departure releases nothing")
    {
        group.respond(r, false, 7);
        group.pass(10ms);
        CHECK(group.size() == 4);
    }
}

TEST_CASE("A member without a record counts as ended once it is silent", "[proxy][membership]")
{
    Group group;
    SECTION("soon if it had announced its shutdown")
    {
        group.listWithoutLeaver();
        group.passWithAnswers(GroupMembership::leavingSilenceTimeout - 1ms);
        CHECK(group.size() == 4);
        group.passWithAnswers(1ms);
        CHECK(group.size() == 3);
    }
    SECTION("later if its record lapsed")
    {
        group.list({ record("p", 1), record("r", 2), record("leaver", 4, true) });
        group.passWithAnswers(GroupMembership::silenceTimeout - 1ms);
        CHECK(group.size() == 4);
        group.passWithAnswers(1ms);
        CHECK(group.size() == 3);
    }
}

TEST_CASE("A read waits for no confirmation of a member that has ended", "[proxy][membership]")
{
    Group group;
    group.listWithoutLeaver();
    CHECK(group.watcher.confirmationsNeeded() == 2);
    group.refuse(leaver);
    group.pass(10ms);
    CHECK(group.size() == 4);
    CHECK(group.watcher.confirmationsNeeded() == 1);
}

TEST_CASE("A replica whose record lapsed counts while it answers", "[proxy][membership]")
{
    Group group;
    group.list({ record("p", 1), record("r", 2), record("s", 3), record("leaver", 4) });
    group.listWithoutLeaver();
    for (int second = 0; second < 30; ++second) {
        group.pass(1s);
        group.respond(p, true, 9);
        group.respond(r, false, 9);
        group.respond(leaver, false, 9);
    }
    CHECK(group.size() == 4);

    SECTION("and is a listed member again once its record is back")
    {
        group.list({ record("p", 1), record("r", 2), record("s", 3), record("leaver", 4) });
        CHECK(group.watcher.find(leaver)->isListed());
        CHECK(group.watcher.find(leaver)->status);
    }
    SECTION("and is released after a time of silence")
    {
        group.pass(GroupMembership::silenceTimeout);
        group.respond(p, true, 10);
        group.respond(r, false, 10);
        group.pass(10ms);
        CHECK(group.size() == 3);
    }
}

TEST_CASE("A member without a record is not the primary and is sent no statements", "[proxy][membership]")
{
    Group group;
    group.list({ record("r", 2), record("s", 3), record("leaver", 4) });
    CHECK_FALSE(group.watcher.primary());
    group.respond(p, true, 9);
    CHECK_FALSE(group.watcher.primary());
    CHECK(group.size() == 4);
}

TEST_CASE(
    "A target that restarts under a new name at its address replaces the member once it answers", "[proxy][membership]")
{
    Group group;
    auto restarted = record("again", 4);
    restarted.incarnation = TargetIncarnation(99);
    const std::vector<TargetRecord> both { record("p", 1), record("r", 2), record("s", 3), record("leaver", 4),
        restarted };
    group.list(both);
    CHECK(group.size() == 4);
    CHECK(group.watcher.find(leaver));
    group.respond(TargetName("again"), false, 7);
    group.pass(10ms);
    CHECK_FALSE(group.watcher.find(leaver));
    CHECK(group.size() == 4);

    SECTION("also while its former record is still listed")
    {
        group.list(both);
        CHECK_FALSE(group.watcher.find(leaver));
    }
}

// Guards against lost commits: the record of another writer at the address of a working replica hid the replica.
TEST_CASE("A record that nobody answers for hides no member at its address", "[proxy][membership]")
{
    Group group;
    auto foreign = record("foreign", 4);
    foreign.incarnation = TargetIncarnation(99);
    SECTION("of two listed ones")
    {
        group.list({ record("p", 1), record("r", 2), record("s", 3), record("leaver", 4), foreign });
        group.refuse(TargetName("foreign"));
        group.pass(10ms);
        CHECK(group.watcher.find(leaver)->status);
        CHECK(group.size() == 4);
    }
    SECTION("whose own record has lapsed")
    {
        group.list({ record("p", 1), record("r", 2), record("s", 3), foreign });
        group.pass(10ms);
        CHECK(group.watcher.find(leaver)->status);
        CHECK(group.size() == 4);
    }
}

TEST_CASE("A record that never answered counts only while it is listed", "[proxy][membership]")
{
    Group group;
    group.list({ record("p", 1), record("r", 2), record("s", 3), record("leaver", 4), record("foreign", 9) });
    CHECK(group.size() == 5);
    group.list({ record("p", 1), record("r", 2), record("s", 3), record("leaver", 4) });
    CHECK(group.size() == 4);
}

TEST_CASE(
    "A primary that acknowledges commits is not blocked by the replicas that this host knows", "[proxy][membership]")
{
    Group group;
    const auto stall = [&group] {
        for (const auto& name : { r, s, leaver })
            group.respond(name, false, 7);
    };
    group.now += 100ms;
    group.respond(p, true, 20);
    group.now += 100ms;
    stall();
    group.now += GroupWatcher::blockedTimeout;
    group.respond(p, true, 30);
    group.now += 10ms;
    stall();
    CHECK(group.watcher.failoverReason(group.now) == FailoverReason::Blocked);
    group.watcher.recordCommit(group.now, p, group.now, { Term(1), Position(31) });
    CHECK(group.watcher.failoverReason(group.now) == FailoverReason::None);
}
