#include "proxy/Promotion.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

struct Recorder final : PromotionActions {
    std::size_t reads { 0 };
    std::size_t writes { 0 };
    std::vector<std::string> orders;
    Instant callBefore {};
    /// When the last resume may be sent at the latest.
    Instant resumeBefore {};
    std::optional<TargetName> promoted;
    std::uint64_t token { 0 };

    void readClaim(const GroupName&) override { ++reads; }
    void writeClaim(const GroupName&, const Claim&, RowVersion) override { ++writes; }
    void promote(const GroupName&, const TargetName& target, RowVersion version, Instant sendBefore) override
    {
        callBefore = sendBefore;
        promoted = target;
        token = version.value();
    }
    void order(const TargetName& target, const TargetRequest& request, Instant sendBefore) override
    {
        if (std::holds_alternative<ResumeReplica>(request))
            resumeBefore = sendBefore;
        const auto name = std::holds_alternative<FenceReplica>(request) ? "fence "
            : std::holds_alternative<ResumeReplica>(request)            ? "resume "
            : std::holds_alternative<DemotePrimary>(request)            ? "demote "
                                                                        : "ask ";
        orders.push_back(name + target.value());
    }
    void log(const LogRecord&) override { }

    [[nodiscard]] bool has(const std::string& wanted) const
    {
        return std::find(orders.begin(), orders.end(), wanted) != orders.end();
    }
};

TargetStanding standing(bool isPrimary, std::uint64_t term, std::uint64_t position, std::uint64_t fenced = 0)
{
    TargetStanding made;
    made.isPrimary = isPrimary;
    made.term = Term(term);
    made.received = { Term(term), Position(position) };
    made.fencedTerm = Term(fenced);
    return made;
}

/// A group whose primary p is down, and its promotion.
struct Fixture {
    Instant now { 100s };
    Recorder actions;
    GroupWatcher watcher;
    RandomEngine random { 1 };
    Promotion promotion { HostName("host"), GroupName("group"), actions };

    Fixture()
    {
        watcher.setRules({ 50, 1 });
        std::vector<TargetRecord> records(3);
        for (std::size_t index = 0; index < records.size(); ++index) {
            records[index].name = TargetName(std::string(1, "prs"[index]));
            records[index].address = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
        }
        watcher.setMembers(now, records);
        hear("p", standing(true, 1, 9));
        hear("r", standing(false, 1, 7));
        hear("s", standing(false, 1, 8));
    }

    void hear(const std::string& name, const TargetStanding& told) { watcher.record(now, TargetName(name), now, told); }
    void tick(Duration step)
    {
        now += step;
        promotion.tick(now, watcher, PrimaryTrouble::Down);
    }
    /// Goes on to where the claim is held and the fences are sent.
    void claim()
    {
        promotion.start(now, watcher, random, PromotionReason::ReplacePrimary, PrimaryTrouble::Down);
        tick(Promotion::startSpread);
        promotion.claimRead(now, watcher, ClaimRow { RowVersion(5), {}, 1000 });
        promotion.claimWritten(now, watcher, std::optional(RowVersion(6)));
    }
    void hearFenced()
    {
        hear("r", standing(false, 1, 7, 2));
        hear("s", standing(false, 1, 8, 2));
    }
    /// Goes on to where the fences are asked for again.
    void verify()
    {
        claim();
        hearFenced();
        tick(30ms);
        now += 10ms;
        hearFenced();
    }
    /// Goes on to the call for s and its outcome.
    void call(PromotionOutcome outcome = PromotionOutcome::Accepted)
    {
        verify();
        tick(30ms);
        REQUIRE(actions.promoted);
        promotion.promoteAnswered(now, watcher, outcome);
    }
    /// Goes on to where s leads, p is demoted and r is to follow.
    void finish()
    {
        call();
        now += 300ms;
        hear("s", standing(true, 2, 0));
        hear("p", standing(false, 2, 0));
        tick(30ms);
        REQUIRE(promotion.state() == "Finishing");
    }
};

} // namespace

TEST_CASE("A promotion claims, fences, checks and calls, in this order", "[proxy][promotion]")
{
    Fixture group;
    group.claim();
    CHECK(group.actions.orders == std::vector<std::string> { "fence r", "fence s" });

    group.hear("r", standing(false, 1, 7, 2));
    group.tick(30ms);
    CHECK_FALSE(group.actions.promoted);
    group.hear("s", standing(false, 1, 8, 2));
    group.tick(30ms);
    CHECK(group.actions.has("ask r"));
    CHECK_FALSE(group.actions.promoted);

    group.now += 10ms;
    group.hear("r", standing(false, 1, 7, 2));
    group.hear("s", standing(false, 1, 8, 2));
    group.tick(30ms);
    REQUIRE(group.actions.promoted);
    CHECK(*group.actions.promoted == TargetName("s"));
    CHECK(group.actions.token == 6);

    SECTION("others are resumed only once the former primary is demoted")
    {
        group.promotion.promoteAnswered(group.now, group.watcher, PromotionOutcome::Accepted);
        group.now += 300ms;
        group.hear("s", standing(true, 2, 0));
        group.hear("p", standing(true, 1, 10));
        group.actions.orders.clear();
        group.tick(30ms);
        CHECK(group.actions.has("demote p"));
        CHECK_FALSE(group.actions.has("resume r"));
        group.hear("p", standing(false, 2, 0));
        group.tick(Promotion::orderRetry);
        CHECK(group.actions.has("resume r"));
        group.hear("r", standing(false, 2, 0));
        group.tick(30ms);
        CHECK(group.promotion.isIdle());
    }
}

TEST_CASE("A fence that is gone again stops the call", "[proxy][promotion]")
{
    Fixture group;
    group.claim();
    group.hear("r", standing(false, 1, 7, 2));
    group.hear("s", standing(false, 1, 8, 2));
    group.tick(30ms);
    group.now += 10ms;
    group.hear("r", standing(false, 1, 7));
    group.hear("s", standing(false, 1, 8, 2));
    group.tick(30ms);
    CHECK_FALSE(group.actions.promoted);
}

TEST_CASE("A claim that another host holds is waited out", "[proxy][promotion]")
{
    Fixture group;
    group.promotion.start(
        group.now, group.watcher, group.random, PromotionReason::ReplacePrimary, PrimaryTrouble::Down);
    group.tick(Promotion::startSpread);
    group.promotion.claimRead(
        group.now, group.watcher, ClaimRow { RowVersion(5), Claim { HostName("other"), 2500 }, 1000 });
    CHECK(group.actions.writes == 0);
    group.tick(1400ms);
    CHECK(group.actions.reads == 1);
    group.tick(200ms);
    CHECK(group.actions.reads == 2);
}

TEST_CASE("An attempt whose claim runs out before the call resumes what it fenced", "[proxy][promotion]")
{
    Fixture group;
    group.claim();
    group.hear("r", standing(false, 1, 7, 2));
    group.tick(Promotion::claimLifetime);
    group.tick(30ms);
    CHECK_FALSE(group.actions.promoted);
    CHECK(group.actions.has("resume r"));
}

TEST_CASE("A host that was paused between its check and its call does not call", "[proxy][promotion]")
{
    Fixture group;
    group.verify();
    group.tick(Promotion::claimLifetime);
    CHECK_FALSE(group.actions.promoted);
}

TEST_CASE("A call that may still take effect keeps the fences", "[proxy][promotion]")
{
    Fixture group;
    group.call(PromotionOutcome::Unanswered);
    group.tick(2s);
    CHECK_FALSE(group.actions.has("resume r"));
    CHECK_FALSE(group.actions.has("resume s"));
}

TEST_CASE("Nothing is fenced when the trouble passes before the claim", "[proxy][promotion]")
{
    Fixture group;
    group.promotion.start(
        group.now, group.watcher, group.random, PromotionReason::ReplacePrimary, PrimaryTrouble::Down);
    group.promotion.tick(group.now, group.watcher, PrimaryTrouble::None);
    CHECK(group.promotion.isIdle());
    CHECK(group.actions.reads == 0);
}

// A later claimant counts on its fences: what is resumed under it follows the primary again, and commits of that
// primary are missing on the target that is promoted next (docs/incidents/lost-after-return.md).
TEST_CASE("A claimant resumes no fence of a later claim", "[proxy][promotion]")
{
    Fixture group;
    group.finish();
    REQUIRE(group.actions.has("resume r"));
    group.actions.orders.clear();

    SECTION("not while its own claim lasts")
    {
        group.hear("r", standing(false, 2, 0, 3));
        group.tick(Promotion::orderRetry);
        CHECK_FALSE(group.actions.has("resume r"));
    }
    SECTION("nor after it, though the time for repairs is not over")
    {
        group.hear("r", standing(false, 2, 0, 2));
        group.tick(Promotion::finishLimit - 500ms);
        CHECK_FALSE(group.actions.has("resume r"));
    }
    SECTION("and what waits for a connection is not sent after it")
    {
        CHECK(group.actions.resumeBefore <= Instant(100s) + Promotion::startSpread + Promotion::claimLifetime);
    }
}

TEST_CASE("Fences that are left when the claim ends are resumed under a new one", "[proxy][promotion]")
{
    Fixture group;
    group.finish();
    group.hear("r", standing(false, 2, 0, 2));
    group.actions.orders.clear();
    // The claim ends before the time for repairs does.
    group.tick(Promotion::finishLimit - 500ms);
    REQUIRE(group.actions.reads == 2);
    group.promotion.claimRead(group.now, group.watcher, ClaimRow { RowVersion(6), {}, 5000 });
    group.promotion.claimWritten(group.now, group.watcher, std::optional(RowVersion(7)));
    CHECK(group.actions.has("resume r"));

    SECTION("for a limited time")
    {
        group.tick(Promotion::finishLimit);
        CHECK(group.promotion.isIdle());
    }
}

TEST_CASE("An attempt ends when another target turns out to lead since", "[proxy][promotion]")
{
    Fixture group;
    // The fences of another host's attempt, which succeeds unseen.
    group.hear("r", standing(false, 1, 7, 2));
    group.hear("s", standing(false, 1, 8, 2));
    group.claim();
    group.hear("s", standing(true, 2, 0));
    for (const auto step : { 30ms, 10ms, 30ms }) {
        group.hear("p", standing(false, 2, 0, 3));
        group.hear("r", standing(false, 2, 0, 3));
        group.tick(step);
    }
    CHECK_FALSE(group.actions.promoted);
    CHECK(group.actions.has("resume r"));
}

TEST_CASE("A call takes effect while its claim lasts", "[proxy][promotion]")
{
    Fixture group;
    group.call();
    const auto claimed = Instant(100s) + Promotion::startSpread;
    CHECK(group.actions.callBefore + Promotion::callTimeout + Promotion::effectLimit
        <= claimed + Promotion::claimLifetime);
}

TEST_CASE("A call that was not sent is made again under a new claim", "[proxy][promotion]")
{
    Fixture group;
    group.call(PromotionOutcome::NotDone);
    CHECK(group.promotion.state() == "Delaying");
    group.tick(Promotion::retryDelay);
    CHECK(group.actions.reads == 2);
}

TEST_CASE("A member that restarts without its fence is fenced again until the promotion shows", "[proxy][promotion]")
{
    Fixture group;
    group.call();
    group.actions.orders.clear();
    group.hear("r", standing(false, 1, 7));
    group.tick(Promotion::orderRetry);
    CHECK(group.actions.has("fence r"));

    SECTION("but not once it follows the new primary")
    {
        group.actions.orders.clear();
        group.hear("r", standing(false, 2, 0));
        group.tick(Promotion::orderRetry);
        CHECK_FALSE(group.actions.has("fence r"));
    }
}
