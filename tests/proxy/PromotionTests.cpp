#include "proxy/PromotionFixture.h"

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

TEST_CASE("A promotion acquires the lease, fences, records, verifies and calls, in this order", "[proxy][promotion]")
{
    PromotionFixture group;
    group.acquireLease();
    CHECK(group.delegate.commands == std::vector<std::string> { "fence r", "fence s" });
    CHECK(group.delegate.memberReads == 1);
    group.promotion.membersRead(group.now, group.watcher, true);

    group.reportStatus("r", makeStatus(false, 1, 7, 2));
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);
    group.reportStatus("s", makeStatus(false, 1, 8, 2));
    group.tick(30ms);
    CHECK(group.delegate.has("query r"));
    REQUIRE(group.delegate.lease);
    REQUIRE(group.delegate.lease->pending);
    CHECK(group.delegate.lease->pending->candidate == TargetName("s"));
    group.record();
    CHECK_FALSE(group.delegate.promoted);

    group.now += 10ms;
    group.reportStatus("r", makeStatus(false, 1, 7, 2));
    group.reportStatus("s", makeStatus(false, 1, 8, 2));
    group.tick(30ms);
    REQUIRE(group.delegate.promoted);
    CHECK(*group.delegate.promoted == TargetName("s"));
    CHECK(group.delegate.token == 7);

    SECTION("other members are resumed only once the former primary is demoted")
    {
        group.promotion.promoteAnswered(group.now, group.watcher, PromotionOutcome::Accepted);
        group.now += 300ms;
        group.reportStatus("s", makeStatus(true, 2, 0));
        group.reportStatus("p", makeStatus(true, 1, 10));
        group.delegate.commands.clear();
        group.tick(30ms);
        CHECK(group.delegate.has("demote p"));
        CHECK_FALSE(group.delegate.has("resume r"));
        group.reportStatus("p", makeStatus(false, 2, 0));
        group.tick(Promotion::commandRetryInterval);
        CHECK(group.delegate.has("resume r"));
        group.reportStatus("r", makeStatus(false, 2, 0));
        group.tick(30ms);
        CHECK(group.promotion.isIdle());
    }
}

TEST_CASE("A fence that is lost before verification prevents the call", "[proxy][promotion]")
{
    PromotionFixture group;
    group.acquireLease();
    group.reportStatus("r", makeStatus(false, 1, 7, 2));
    group.reportStatus("s", makeStatus(false, 1, 8, 2));
    group.tick(30ms);
    group.now += 10ms;
    group.reportStatus("r", makeStatus(false, 1, 7));
    group.reportStatus("s", makeStatus(false, 1, 8, 2));
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);
}

TEST_CASE("A promotion waits until the lease of another host expires", "[proxy][promotion]")
{
    PromotionFixture group;
    group.promotion.start(group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
    group.tick(Promotion::startJitter);
    group.promotion.leaseRead(group.now, group.watcher,
        PromotionLeaseRow { RowVersion(5), PromotionLease { HostName("other"), 2500, {} }, 1000 });
    CHECK(group.delegate.writes == 0);
    group.tick(1400ms);
    CHECK(group.delegate.reads == 1);
    group.tick(200ms);
    CHECK(group.delegate.reads == 2);
}

TEST_CASE("An attempt whose lease expires before the call resumes the members that it fenced", "[proxy][promotion]")
{
    PromotionFixture group;
    group.acquireLease();
    group.reportStatus("r", makeStatus(false, 1, 7, 2));
    group.tick(Promotion::leaseLifetime);
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);
    CHECK(group.delegate.has("resume r"));
}

TEST_CASE("A host that was paused between verification and call does not call", "[proxy][promotion]")
{
    PromotionFixture group;
    group.verify();
    group.tick(Promotion::leaseLifetime);
    CHECK_FALSE(group.delegate.promoted);
}

TEST_CASE("The fences are kept while the call may still take effect", "[proxy][promotion]")
{
    PromotionFixture group;
    group.call(PromotionOutcome::Unanswered);
    group.tick(2s);
    CHECK_FALSE(group.delegate.has("resume r"));
    CHECK_FALSE(group.delegate.has("resume s"));
}

TEST_CASE("Nothing is fenced if the failover reason disappears before the lease is acquired", "[proxy][promotion]")
{
    PromotionFixture group;
    group.promotion.start(group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
    group.promotion.tick(group.now, group.watcher, FailoverReason::None);
    CHECK(group.promotion.isIdle());
    CHECK(group.delegate.reads == 0);
}

// Guards against lost commits. The holder of a later lease relies on its fences: a member that is resumed nevertheless
// follows the primary again, and the target that is promoted next lacks the commits that this primary then acknowledges
// (docs/incidents/lost-after-return.md).
TEST_CASE("A lease holder removes no fence of a later lease", "[proxy][promotion]")
{
    PromotionFixture group;
    group.finish();
    REQUIRE(group.delegate.has("resume r"));
    group.delegate.commands.clear();

    SECTION("not while its own lease is valid")
    {
        group.reportStatus("r", makeStatus(false, 2, 0, 3));
        group.tick(Promotion::commandRetryInterval);
        CHECK_FALSE(group.delegate.has("resume r"));
    }
    SECTION("not after its own lease has expired, although finishTimeout has not passed")
    {
        group.reportStatus("r", makeStatus(false, 2, 0, 2));
        group.tick(Promotion::finishTimeout - 500ms);
        CHECK_FALSE(group.delegate.has("resume r"));
    }
    SECTION("commands that wait for a connection are not sent after the lease has expired")
    {
        CHECK(group.delegate.resumeBefore <= Instant(100s) + Promotion::startJitter + Promotion::leaseLifetime);
    }
}

TEST_CASE("Fences that remain when the lease expires are removed under a new lease", "[proxy][promotion]")
{
    PromotionFixture group;
    group.finish();
    group.reportStatus("r", makeStatus(false, 2, 0, 2));
    group.delegate.commands.clear();
    // The lease expires before finishTimeout has passed.
    group.tick(Promotion::finishTimeout - 500ms);
    REQUIRE(group.delegate.reads == 2);
    group.promotion.leaseRead(group.now, group.watcher, PromotionLeaseRow { RowVersion(6), {}, 5000 });
    group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(7)));
    CHECK(group.delegate.has("resume r"));

    SECTION("for a limited time")
    {
        group.tick(Promotion::finishTimeout);
        CHECK(group.promotion.isIdle());
    }
}

TEST_CASE("An attempt ends once another target is known to be primary", "[proxy][promotion]")
{
    PromotionFixture group;
    // The fences of another host's attempt, whose success this host has not yet noticed.
    group.reportStatus("r", makeStatus(false, 1, 7, 2));
    group.reportStatus("s", makeStatus(false, 1, 8, 2));
    group.acquireLease();
    group.reportStatus("s", makeStatus(true, 2, 0));
    for (const auto step : { 30ms, 10ms, 30ms }) {
        group.reportStatus("p", makeStatus(false, 2, 0, 3));
        group.reportStatus("r", makeStatus(false, 2, 0, 3));
        group.tick(step);
    }
    CHECK_FALSE(group.delegate.promoted);
    CHECK(group.delegate.has("resume r"));
}

TEST_CASE("A call takes effect while its lease is valid", "[proxy][promotion]")
{
    PromotionFixture group;
    group.call();
    const auto leasedAt = Instant(100s) + Promotion::startJitter;
    CHECK(group.delegate.callBefore + Promotion::callTimeout + Promotion::effectTimeout
        <= leasedAt + Promotion::leaseLifetime);
}

TEST_CASE("A call that was not sent is repeated under a new lease", "[proxy][promotion]")
{
    PromotionFixture group;
    group.call(PromotionOutcome::NotDone);
    CHECK(group.promotion.state() == "Delaying");
    group.tick(Promotion::retryDelay);
    CHECK(group.delegate.reads == 2);
}

TEST_CASE("A member that restarts without its fence is fenced again until the promotion is seen", "[proxy][promotion]")
{
    PromotionFixture group;
    group.call();
    group.delegate.commands.clear();
    group.reportStatus("r", makeStatus(false, 1, 7));
    group.tick(Promotion::commandRetryInterval);
    CHECK(group.delegate.has("fence r"));

    SECTION("but not once it follows the new primary")
    {
        group.delegate.commands.clear();
        group.reportStatus("r", makeStatus(false, 2, 0));
        group.tick(Promotion::commandRetryInterval);
        CHECK_FALSE(group.delegate.has("fence r"));
    }
}
