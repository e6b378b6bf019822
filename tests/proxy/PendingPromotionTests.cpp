#include "proxy/PromotionFixture.h"
#include "proxy/PromotionLeaseCodec.h"

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

/// The lease's row as another host left it after it recorded a promotion of the target.
PromotionLeaseRow rowWithPending(const std::string& target, std::uint64_t recordedAtMs, std::uint64_t storeNowMs)
{
    PromotionLease lease { HostName("other"), 0,
        PendingPromotion { TargetName(target), Term(1), recordedAtMs, false } };
    return { RowVersion(5), lease, storeNowMs };
}

} // namespace

// Guards against lost commits: once the members are resumed, the present primary acknowledges commits that the target
// lacks when its promotion takes effect after all.
TEST_CASE("Fences are kept while a promotion of an earlier lease may still take effect", "[proxy][promotion]")
{
    PromotionFixture group;
    group.reportStatus("p", makeStatus(true, 1, 9));
    group.reportStatus("r", makeStatus(false, 1, 7, 2));
    group.reportStatus("s", makeStatus(false, 1, 8, 2));
    group.promotion.start(group.now, group.watcher, group.random, PromotionGoal::ResumeMembers, FailoverReason::None);
    group.now += Promotion::startJitter;
    group.promotion.tick(group.now, group.watcher, FailoverReason::None);

    SECTION("and the promotion is finished instead")
    {
        group.promotion.leaseRead(group.now, group.watcher, rowWithPending("s", 1000, 6000));
        REQUIRE(group.delegate.lease);
        REQUIRE(group.delegate.lease->pending);
        CHECK(group.delegate.lease->pending->candidate == TargetName("s"));
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(6)));
        CHECK_FALSE(group.delegate.has("resume r"));
        CHECK(group.promotion.state() != "Finishing");
    }
    SECTION("but not for ever")
    {
        const auto later = 1000 + static_cast<std::uint64_t>(toMilliseconds(Promotion::pendingLifetime));
        group.promotion.leaseRead(group.now, group.watcher, rowWithPending("s", 1000, later));
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(6)));
        CHECK(group.delegate.has("resume r"));
    }
    SECTION("nor after a primary of a later term was seen")
    {
        group.reportStatus("s", makeStatus(true, 2, 0));
        group.promotion.leaseRead(group.now, group.watcher, rowWithPending("s", 1000, 6000));
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(6)));
        CHECK(group.promotion.state() == "Finishing");
    }
}

TEST_CASE("A call that was not seen to take effect is repeated although the primary is back", "[proxy][promotion]")
{
    PromotionFixture group;
    group.call(PromotionOutcome::Unanswered);
    group.reportStatus("p", makeStatus(true, 1, 9));
    group.now += Promotion::awaitTimeout;
    group.promotion.tick(group.now, group.watcher, FailoverReason::None);
    REQUIRE(group.promotion.state() == "Delaying");
    group.now += Promotion::retryDelay;
    group.promotion.tick(group.now, group.watcher, FailoverReason::None);
    CHECK(group.promotion.state() == "Reading");
    CHECK_FALSE(group.delegate.has("resume r"));

    SECTION("until it can't take effect any more")
    {
        group.promotion.leaseRead(group.now, group.watcher, fail(ErrorCode::PlatformUnavailable, "", "", ""));
        group.now += Promotion::pendingLifetime;
        group.promotion.tick(group.now, group.watcher, FailoverReason::None);
        CHECK(group.promotion.isIdle());
    }
}

TEST_CASE("Among equal logs the target of a promotion that may still take effect is promoted", "[proxy][promotion]")
{
    PromotionFixture group;
    const auto candidateWith = [&group](std::uint64_t positionOfR) {
        group.promotion.start(
            group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
        group.tick(Promotion::startJitter);
        group.promotion.leaseRead(group.now, group.watcher, rowWithPending("r", 1000, 2000));
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(6)));
        group.promotion.membersRead(group.now, group.watcher, true);
        group.reportStatus("r", makeStatus(false, 1, positionOfR, 2));
        group.reportStatus("s", makeStatus(false, 1, 8, 2));
        group.tick(30ms);
        return group.delegate.lease->pending->candidate;
    };
    SECTION("if its log is as long as any")
    {
        CHECK(candidateWith(8) == TargetName("r"));
    }
    SECTION("and not if its log lacks what may have been acknowledged")
    {
        CHECK(candidateWith(7) == TargetName("s"));
    }
    SECTION("although the former primary has commits that no replica received")
    {
        group.reportStatus("p", makeStatus(false, 1, 20, 2));
        CHECK(candidateWith(8) == TargetName("r"));
    }
}

TEST_CASE("A call is made only once its target is recorded with the lease", "[proxy][promotion]")
{
    PromotionFixture group;
    group.acquireLease();
    group.reportFenced();
    group.promotion.membersRead(group.now, group.watcher, true);
    group.tick(30ms);
    REQUIRE(group.promotion.state() == "Recording");
    group.reportFenced();
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);

    SECTION("and not if another host holds the lease by then")
    {
        group.promotion.leaseWritten(group.now, group.watcher, std::optional<RowVersion> {});
        CHECK(group.promotion.state() == "Delaying");
        CHECK_FALSE(group.delegate.promoted);
        CHECK(group.delegate.has("resume r"));
    }
}

// Guards against lost commits: once the target of two calls has been replaced, the later effect of the other call
// promotes it again, without what was acknowledged since.
TEST_CASE(
    "A planned switch waits while another call for the present primary may still take effect", "[proxy][promotion]")
{
    PromotionFixture group;
    auto leaving = group.watcher.find(TargetName("p"))->record;
    leaving.isLeaving = true;
    group.reportStatus("p", makeStatus(true, 2, 9));
    group.watcher.setMembers(group.now,
        { leaving, group.watcher.find(TargetName("r"))->record, group.watcher.find(TargetName("s"))->record });
    auto row = rowWithPending("p", 1000, 5000);
    row.lease->pending->isRepeated = true;
    const auto read = [&group, &row] {
        group.promotion.start(
            group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Leaving);
        group.now += Promotion::startJitter;
        group.promotion.tick(group.now, group.watcher, FailoverReason::Leaving);
        group.promotion.leaseRead(group.now, group.watcher, row);
        return group.promotion.state();
    };
    SECTION("for a time")
    {
        CHECK(read() == "Delaying");
        group.now += Promotion::maxHandoverDelay;
        group.promotion.tick(group.now, group.watcher, FailoverReason::Leaving);
        group.promotion.leaseRead(group.now, group.watcher, row);
        CHECK(group.promotion.state() == "Writing");
    }
    SECTION("but not if there was one call")
    {
        row.lease->pending->isRepeated = false;
        CHECK(read() == "Writing");
    }
    SECTION("nor once the call can't take effect any more")
    {
        row.storeNowMs = 1000 + static_cast<std::uint64_t>(toMilliseconds(Promotion::pendingLifetime));
        CHECK(read() == "Writing");
    }
    SECTION("nor if the primary is down")
    {
        for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count)
            group.watcher.health(TargetName("p"))->recordRefusal(group.now);
        CHECK(read() == "Writing");
    }
}

TEST_CASE("A pending promotion is stored with the lease", "[proxy][promotion]")
{
    const PromotionLease lease { HostName("front-1"), 77, PendingPromotion { TargetName("t"), Term(3), 41, true } };
    const auto decoded = decodePromotionLease(encodePromotionLease(lease));
    REQUIRE(decoded);
    REQUIRE(decoded->pending);
    CHECK(decoded->pending->candidate == TargetName("t"));
    CHECK(decoded->pending->replacedTerm == Term(3));
    CHECK(decoded->pending->recordedAtMs == 41);
    CHECK(decoded->pending->isRepeated);

    SECTION("a lease of an earlier version has none")
    {
        const auto earlier = decodePromotionLease(R"({"holder": "front-1", "expires_at_ms": 77})");
        REQUIRE(earlier);
        CHECK_FALSE(earlier->pending);
    }
    SECTION("fields of a later version are ignored")
    {
        CHECK(decodePromotionLease(R"({"holder": "front-1", "expires_at_ms": 77, "more": [1]})"));
    }
    SECTION("one that can't be read makes the lease unreadable")
    {
        CHECK_FALSE(decodePromotionLease(R"({"holder": "front-1", "expires_at_ms": 77, "pending": {"candidate": 1}})"));
    }
}

// Guards against lost commits: with an unknown term the former primary ended the wait for the promotion's effect.
TEST_CASE("A host that never saw the primary records the term that the members report", "[proxy][promotion]")
{
    PromotionRecorder delegate;
    GroupWatcher watcher;
    RandomEngine random { 1 };
    Promotion promotion { HostName("host"), GroupName("group"), delegate };
    Instant now { 100s };
    watcher.setRules({ 50, 1 });
    std::vector<TargetRecord> records(3);
    for (std::size_t index = 0; index < records.size(); ++index) {
        records[index].name = TargetName(std::string(1, "prs"[index]));
        records[index].address = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
    }
    watcher.setMembers(now, records);
    const auto report = [&watcher, &now](std::uint64_t fenced) {
        for (const auto* const name : { "r", "s" }) {
            watcher.health(TargetName(name))->recordResponse(now, {});
            watcher.recordStatus(now, TargetName(name), now, makeStatus(false, 4, 8, fenced));
        }
    };
    report(0);
    now += GroupWatcher::missingTimeout;
    promotion.start(now, watcher, random, PromotionGoal::ReplacePrimary, FailoverReason::Missing);
    now += Promotion::startJitter;
    promotion.tick(now, watcher, FailoverReason::Missing);
    promotion.leaseRead(now, watcher, PromotionLeaseRow { RowVersion(5), {}, 1000 });
    promotion.leaseWritten(now, watcher, std::optional(RowVersion(6)));
    promotion.membersRead(now, watcher, true);
    report(5);
    promotion.tick(now, watcher, FailoverReason::Missing);
    now += Promotion::fenceGrace;
    report(5);
    promotion.tick(now, watcher, FailoverReason::Missing);
    REQUIRE(delegate.lease);
    REQUIRE(delegate.lease->pending);
    CHECK(delegate.lease->pending->replacedTerm == Term(4));
}

TEST_CASE("A pending target that the platform reports as not running is not called again", "[proxy][promotion]")
{
    PromotionFixture group;
    std::uint64_t version = 5;
    const auto attempt = [&group, &version](const PromotionLeaseRow& row) {
        group.promotion.leaseRead(group.now, group.watcher, row);
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(++version)));
        group.promotion.membersRead(group.now, group.watcher, true);
        const auto fence = group.watcher.highestTerm().value() + 1;
        const auto report = [&group, fence] {
            group.reportStatus("r", makeStatus(false, 1, 8, fence));
            group.reportStatus("s", makeStatus(false, 1, 8, fence));
        };
        report();
        group.tick(30ms);
        group.now += 10ms;
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(++version)));
        report();
        group.tick(30ms);
    };
    group.promotion.start(group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
    group.tick(Promotion::startJitter);
    attempt(rowWithPending("r", 1000, 2000));
    REQUIRE(group.delegate.promoted == TargetName("r"));
    group.promotion.promoteAnswered(group.now, group.watcher, PromotionOutcome::NotRunning);
    group.delegate.promoted.reset();
    group.tick(Promotion::retryDelay);
    REQUIRE(group.promotion.state() == "Reading");
    attempt({ RowVersion(version), group.delegate.lease, 2600 });
    CHECK(group.delegate.promoted == TargetName("s"));
}

// Guards against hosts that keep from the present primary, and replace it, because of a call that was never made.
TEST_CASE("A promotion that was recorded and not called for is withdrawn from the row", "[proxy][promotion]")
{
    PromotionFixture group;
    group.call(PromotionOutcome::NotDone);
    REQUIRE(group.promotion.state() == "Delaying");
    REQUIRE(group.delegate.writes == 2);
    group.reportStatus("p", makeStatus(true, 1, 9));
    group.now += 10ms;
    group.promotion.tick(group.now, group.watcher, FailoverReason::None);
    REQUIRE(group.promotion.isIdle());
    REQUIRE(group.delegate.writes == 3);
    CHECK_FALSE(group.delegate.lease->pending);
    CHECK(group.delegate.lease->replacedTerm == Term(0));

    // The primary is lost again.
    const auto start = [&group] {
        group.promotion.start(
            group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
        group.tick(Promotion::startJitter);
    };
    SECTION("before the row is read again")
    {
        start();
        CHECK(group.promotion.state() == "Delaying");
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(8)));
        CHECK(group.promotion.hasWritten(RowVersion(8)));
        group.tick(10ms);
        CHECK(group.promotion.state() == "Reading");
    }
    SECTION("but a write without an answer holds nothing up")
    {
        start();
        group.tick(Promotion::leaseStepTimeout);
        CHECK(group.promotion.state() == "Reading");
    }
}

TEST_CASE("A promotion that may have been called for stays in the row", "[proxy][promotion]")
{
    PromotionFixture group;
    group.call(PromotionOutcome::Unanswered);
    group.tick(Promotion::awaitTimeout);
    REQUIRE(group.promotion.state() == "Delaying");
    REQUIRE(group.delegate.lease);
    CHECK(group.delegate.lease->pending);
    CHECK(group.delegate.lease->replacedTerm == Term(1));
}

TEST_CASE("A lease says which term its holder replaces, and an earlier version's does not", "[proxy][promotion]")
{
    PromotionLease lease { HostName("self"), 700, {} };
    CHECK_FALSE(decodePromotionLease(encodePromotionLease(lease))->replacedTerm);
    lease.replacedTerm = Term(4);
    CHECK(decodePromotionLease(encodePromotionLease(lease))->replacedTerm == Term(4));
}
