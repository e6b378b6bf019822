#include "proxy/PromotionFixture.h"

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

/// A group whose primary p announces its shutdown and answers, and its promotion.
struct HandoverFixture : PromotionFixture {
    HandoverFixture()
    {
        for (const auto* const name : { "p", "r", "s" })
            watcher.health(TargetName(name))->recordResponse(now, {});
    }
    /// Advances to the state in which the primary is being demoted.
    void startHandover()
    {
        acquireLease();
        REQUIRE(promotion.state() == "Demoting");
    }
    void reportDemoted(std::uint64_t position)
    {
        now += 10ms;
        reportStatus("p", makeStatus(false, 1, position));
    }
    /// Advances to the write that records the candidate.
    void reachLogEnd()
    {
        startHandover();
        reportDemoted(9);
        reportStatus("s", makeStatus(false, 1, 9));
        tick(30ms);
        REQUIRE(promotion.state() == "Recording");
    }
};

} // namespace

TEST_CASE("A primary that answers is demoted before another member is promoted", "[proxy][promotion]")
{
    HandoverFixture group;
    group.startHandover();
    CHECK(group.delegate.commands == std::vector<std::string> { "demote p", "query r", "query s" });

    SECTION("by a member that has its whole log")
    {
        group.reportDemoted(9);
        group.reportStatus("r", makeStatus(false, 1, 9));
        group.reportStatus("s", makeStatus(false, 1, 8));
        group.tick(30ms);
        group.record();
        REQUIRE(group.delegate.promoted);
        CHECK(*group.delegate.promoted == TargetName("r"));
        CHECK(group.delegate.token == 7);
        CHECK_FALSE(group.delegate.has("fence r"));
    }
    SECTION("which is preferably not a leaving one")
    {
        std::vector<TargetRecord> records(3);
        for (std::size_t index = 0; index < records.size(); ++index) {
            records[index] = group.watcher.find(TargetName(std::string(1, "prs"[index])))->record;
            records[index].isLeaving = index < 2;
        }
        group.watcher.setMembers(group.now, records);
        group.reportDemoted(9);
        group.reportStatus("r", makeStatus(false, 1, 9));
        group.reportStatus("s", makeStatus(false, 1, 9));
        group.tick(30ms);
        group.record();
        CHECK(group.delegate.promoted == TargetName("s"));
    }
}

// Guards against lost commits: the member that acknowledged the end of the log may be one that this host does not know.
TEST_CASE("A handover promotes no member whose log ends before that of the demoted primary", "[proxy][promotion]")
{
    HandoverFixture group;
    group.startHandover();

    SECTION("as long as the primary has not reported that it is demoted")
    {
        group.reportStatus("p", makeStatus(true, 1, 9));
        group.reportStatus("s", makeStatus(false, 1, 9));
        group.tick(30ms);
        CHECK(group.promotion.state() == "Demoting");
        group.tick(Promotion::commandRetryInterval);
        CHECK(std::count(group.delegate.commands.begin(), group.delegate.commands.end(), "demote p") == 2);
    }
    SECTION("but goes on asking for a time")
    {
        group.reportDemoted(9);
        group.reportStatus("r", makeStatus(false, 1, 8));
        group.reportStatus("s", makeStatus(false, 1, 8));
        group.delegate.commands.clear();
        group.tick(Promotion::handoverPollInterval);
        CHECK(group.promotion.state() == "Demoting");
        CHECK(group.delegate.commands == std::vector<std::string> { "query r", "query s" });
    }
    SECTION("and then counts the demoted primary among the members to be fenced")
    {
        group.reportDemoted(9);
        group.tick(Promotion::handoverTimeout);
        REQUIRE(group.promotion.state() == "Fencing");
        CHECK(group.delegate.has("fence p"));
        group.promotion.membersRead(group.now, group.watcher, true);
        group.reportStatus("p", makeStatus(false, 1, 9, 2));
        group.reportStatus("r", makeStatus(false, 1, 8, 2));
        group.reportStatus("s", makeStatus(false, 1, 8, 2));
        group.tick(30ms);
        REQUIRE(group.delegate.lease);
        CHECK(group.delegate.lease->pending->candidate == TargetName("p"));
    }
    SECTION("nor one that follows a primary of a later term")
    {
        group.reportDemoted(9);
        group.reportStatus("s", makeStatus(false, 2, 1));
        group.tick(30ms);
        CHECK(group.promotion.state() == "Demoting");
    }
}

TEST_CASE("A primary without a caught-up replica keeps its role when it announces its shutdown", "[proxy][promotion]")
{
    HandoverFixture group;
    auto leaving = group.watcher.find(TargetName("p"))->record;
    leaving.isLeaving = true;
    group.watcher.setMembers(group.now,
        { leaving, group.watcher.find(TargetName("r"))->record, group.watcher.find(TargetName("s"))->record });
    CHECK(group.watcher.failoverReason(group.now) == FailoverReason::Leaving);
    group.now += 100ms;
    group.reportStatus("p", makeStatus(true, 1, 20));
    group.now += 100ms;
    group.reportStatus("r", makeStatus(false, 1, 7));
    group.reportStatus("s", makeStatus(false, 1, 8));
    CHECK(group.watcher.failoverReason(group.now) == FailoverReason::None);
}

TEST_CASE("A host that has demoted a primary does not leave the group without one", "[proxy][promotion]")
{
    HandoverFixture group;
    group.reachLogEnd();
    group.record();
    group.promotion.promoteAnswered(group.now, group.watcher, PromotionOutcome::NotRunning);
    REQUIRE(group.promotion.state() == "Delaying");
    group.now += Promotion::retryDelay;
    group.promotion.tick(group.now, group.watcher, FailoverReason::None);
    CHECK(group.promotion.state() == "Reading");

    SECTION("and calls for another member if the first one was not running")
    {
        group.promotion.leaseRead(group.now, group.watcher, PromotionLeaseRow { RowVersion(7), {}, 2000 });
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(8)));
        REQUIRE(group.promotion.state() == "Fencing");
        group.promotion.membersRead(group.now, group.watcher, true);
        for (const auto* const name : { "p", "r", "s" })
            group.reportStatus(name, makeStatus(false, 1, 9, 2));
        group.tick(30ms);
        REQUIRE(group.delegate.lease->pending);
        CHECK(group.delegate.lease->pending->candidate != TargetName("s"));
    }
}

TEST_CASE(
    "No member is fenced after a handover while the former primary reports that it is demoted", "[proxy][promotion]")
{
    HandoverFixture group;
    group.reachLogEnd();
    group.record();
    group.promotion.promoteAnswered(group.now, group.watcher, PromotionOutcome::Accepted);
    group.reportDemoted(9);
    group.tick(Promotion::commandRetryInterval);
    CHECK_FALSE(group.delegate.has("fence r"));

    SECTION("but once it is primary again")
    {
        group.reportStatus("p", makeStatus(true, 1, 9));
        group.tick(Promotion::commandRetryInterval);
        CHECK(group.delegate.has("fence r"));
        CHECK(group.delegate.has("demote p"));
    }
}
