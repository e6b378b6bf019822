#include "proxy/PromotionFixture.h"

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

/// A group whose primary p was demoted by a host that does nothing more, while the operator replaces its targets: p and
/// d have ended, n has started without a log.
struct EndedMemberFixture {
    Instant now { 100s };
    PromotionRecorder delegate;
    GroupWatcher watcher;
    RandomEngine random { 1 };
    Promotion promotion { HostName("host"), GroupName("group"), delegate };
    PromotionLeaseRow row { RowVersion(5), PromotionLease { HostName("other"), 0, {} }, 1000 };

    EndedMemberFixture()
    {
        watcher.setRules({ 50, 1 });
        row.lease->members.emplace();
        row.lease->members->term = Term(1);
        row.lease->unresolvedTerm = Term {};
        list({ "p", "d", "r", "s" });
        showUnreplaced(watcher, now, TargetName("p"));
        report("p", makeStatus(true, 1, 9));
        report("d", makeStatus(false, 1, 8));
    }

    void list(const std::vector<std::string>& names)
    {
        std::vector<TargetRecord> records;
        for (const auto& name : names) {
            records.emplace_back().name = TargetName(name);
            records.back().address = { "10.0.0.1", static_cast<std::uint16_t>(name[0]) };
        }
        watcher.setMembers(now, records);
    }
    void report(const std::string& name, const TargetStatus& status)
    {
        now += 10ms;
        watcher.health(TargetName(name))->recordResponse(now, {});
        watcher.recordStatus(now, TargetName(name), now, status);
    }
    void demotePrimary()
    {
        report("p", makeStatus(false, 1, 9));
        for (const auto* const name : { "d", "r", "s" })
            report(name, makeStatus(false, 1, 9));
    }
    void endMembers()
    {
        list({ "r", "s", "n" });
        report("n", makeStatus(false, 0, 0));
        for (const auto* const name : { "p", "d" }) {
            for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count)
                watcher.health(TargetName(name))->recordRefusal(now);
        }
        watcher.releaseMembers(now);
    }
    void tick(Duration step)
    {
        now += step;
        promotion.tick(now, watcher, FailoverReason::Missing);
    }
    void reportFenced()
    {
        report("r", makeStatus(false, 1, 9, 2));
        report("s", makeStatus(false, 1, 9, 2));
        report("n", makeStatus(false, 0, 0, 2));
    }
    /// Makes an attempt in which every running member is fenced.
    void attempt()
    {
        promotion.start(now, watcher, random, PromotionGoal::ReplacePrimary, FailoverReason::Missing);
        tick(Promotion::startJitter);
        promotion.leaseRead(now, watcher, row);
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(6)));
        reportFenced();
        promotion.membersRead(now, watcher, true);
        tick(30ms);
        if (promotion.state() != "Recording")
            return;
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(7)));
        reportFenced();
        tick(30ms);
    }
};

} // namespace

TEST_CASE("A group whose members leave while it has no primary gets one while a running member has the whole log",
    "[proxy][promotion][ended]")
{
    EndedMemberFixture group;
    group.demotePrimary();
    group.endMembers();
    REQUIRE(group.watcher.groupSize() == 5);

    SECTION("at the first attempt after the demotion") { }
    SECTION("though an earlier call may have had no effect")
    {
        group.row.lease->pending = PendingPromotion { TargetName("s"), Term(1), 900, false };
    }
    group.attempt();
    REQUIRE(group.delegate.promoted);
    CHECK(group.watcher.find(*group.delegate.promoted)->status->received == LogPoint { Term(1), Position(9) });
}

TEST_CASE("A member that left counts as unfenced while it may have acknowledged what no other member has",
    "[proxy][promotion][ended]")
{
    EndedMemberFixture group;

    SECTION("its last status is of a time at which the primary had not been demoted")
    {
        group.report("p", makeStatus(false, 1, 10));
        group.report("r", makeStatus(false, 1, 9));
        group.report("s", makeStatus(false, 1, 9));
    }
    SECTION("a primary of a later term is on record")
    {
        group.demotePrimary();
        group.row.lease->members->term = Term(2);
    }
    SECTION("another target may have been promoted, and does not answer")
    {
        group.demotePrimary();
        group.row.lease->pending = PendingPromotion { TargetName("x"), Term(1), 900, false };
    }
    SECTION("an earlier call that a writer of the row could not follow may have had an effect")
    {
        group.demotePrimary();
        group.row.lease->unresolvedTerm = Term(1);
    }
    SECTION("a host of an earlier version wrote the row")
    {
        group.demotePrimary();
        group.row.lease->unresolvedTerm.reset();
    }
    SECTION("the row has no record of the members")
    {
        group.demotePrimary();
        group.row.lease->members.reset();
    }
    SECTION("the primary is back")
    {
        group.demotePrimary();
        group.report("p", makeStatus(true, 1, 9));
    }
    group.endMembers();
    group.attempt();
    CHECK_FALSE(group.delegate.promoted);
}
