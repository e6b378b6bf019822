#include "proxy/Promotion.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

struct Recorder final : PromotionDelegate {
    std::size_t reads { 0 };
    std::size_t writes { 0 };
    std::vector<std::string> commands;
    Instant callBefore {};
    /// Moment before which the last resume command has to be sent.
    Instant resumeBefore {};
    std::optional<TargetName> promoted;
    std::uint64_t token { 0 };

    void readLease(const GroupName&) override { ++reads; }
    void writeLease(const GroupName&, const PromotionLease&, RowVersion) override { ++writes; }
    void promote(const GroupName&, const TargetName& target, RowVersion version, Instant sendBefore) override
    {
        callBefore = sendBefore;
        promoted = target;
        token = version.value();
    }
    void sendCommand(const TargetName& target, const TargetRequest& request, Instant sendBefore) override
    {
        if (std::holds_alternative<ResumeReplica>(request))
            resumeBefore = sendBefore;
        const auto name = std::holds_alternative<FenceReplica>(request) ? "fence "
            : std::holds_alternative<ResumeReplica>(request)            ? "resume "
            : std::holds_alternative<DemotePrimary>(request)            ? "demote "
                                                                        : "query ";
        commands.push_back(name + target.value());
    }
    void log(const LogRecord&) override { }
    void measure(std::string_view, double) override { }

    [[nodiscard]] bool has(const std::string& wanted) const
    {
        return std::find(commands.begin(), commands.end(), wanted) != commands.end();
    }
};

TargetStatus makeStatus(bool isPrimary, std::uint64_t term, std::uint64_t position, std::uint64_t fenced = 0)
{
    TargetStatus result;
    result.isPrimary = isPrimary;
    result.term = Term(term);
    result.received = { Term(term), Position(position) };
    result.fencedTerm = Term(fenced);
    return result;
}

/// A group whose primary p is down, and its promotion.
struct Fixture {
    Instant now { 100s };
    Recorder delegate;
    GroupWatcher watcher;
    RandomEngine random { 1 };
    Promotion promotion { HostName("host"), GroupName("group"), delegate };

    Fixture()
    {
        watcher.setRules({ 50, 1 });
        std::vector<TargetRecord> records(3);
        for (std::size_t index = 0; index < records.size(); ++index) {
            records[index].name = TargetName(std::string(1, "prs"[index]));
            records[index].address = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
        }
        watcher.setMembers(now, records);
        reportStatus("p", makeStatus(true, 1, 9));
        reportStatus("r", makeStatus(false, 1, 7));
        reportStatus("s", makeStatus(false, 1, 8));
    }

    void reportStatus(const std::string& name, const TargetStatus& status)
    {
        watcher.recordStatus(now, TargetName(name), now, status);
    }
    void tick(Duration step)
    {
        now += step;
        promotion.tick(now, watcher, FailoverReason::Down);
    }
    /// Advances to the state in which the lease is held and the fence commands are sent.
    void acquireLease()
    {
        promotion.start(now, watcher, random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
        tick(Promotion::startJitter);
        promotion.leaseRead(now, watcher, PromotionLeaseRow { RowVersion(5), {}, 1000 });
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(6)));
    }
    void reportFenced()
    {
        reportStatus("r", makeStatus(false, 1, 7, 2));
        reportStatus("s", makeStatus(false, 1, 8, 2));
    }
    /// Advances to the state in which the fences are verified.
    void verify()
    {
        acquireLease();
        reportFenced();
        tick(30ms);
        now += 10ms;
        reportFenced();
    }
    /// Advances to the promotion call for s and its outcome.
    void call(PromotionOutcome outcome = PromotionOutcome::Accepted)
    {
        verify();
        tick(30ms);
        REQUIRE(delegate.promoted);
        promotion.promoteAnswered(now, watcher, outcome);
    }
    /// Advances to the state in which s is primary, p is demoted and r has to follow.
    void finish()
    {
        call();
        now += 300ms;
        reportStatus("s", makeStatus(true, 2, 0));
        reportStatus("p", makeStatus(false, 2, 0));
        tick(30ms);
        REQUIRE(promotion.state() == "Finishing");
    }
};

} // namespace

TEST_CASE("A promotion acquires the lease, fences, verifies and calls, in this order", "[proxy][promotion]")
{
    Fixture group;
    group.acquireLease();
    CHECK(group.delegate.commands == std::vector<std::string> { "fence r", "fence s" });

    group.reportStatus("r", makeStatus(false, 1, 7, 2));
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);
    group.reportStatus("s", makeStatus(false, 1, 8, 2));
    group.tick(30ms);
    CHECK(group.delegate.has("query r"));
    CHECK_FALSE(group.delegate.promoted);

    group.now += 10ms;
    group.reportStatus("r", makeStatus(false, 1, 7, 2));
    group.reportStatus("s", makeStatus(false, 1, 8, 2));
    group.tick(30ms);
    REQUIRE(group.delegate.promoted);
    CHECK(*group.delegate.promoted == TargetName("s"));
    CHECK(group.delegate.token == 6);

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
    Fixture group;
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
    Fixture group;
    group.promotion.start(group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
    group.tick(Promotion::startJitter);
    group.promotion.leaseRead(group.now, group.watcher,
        PromotionLeaseRow { RowVersion(5), PromotionLease { HostName("other"), 2500 }, 1000 });
    CHECK(group.delegate.writes == 0);
    group.tick(1400ms);
    CHECK(group.delegate.reads == 1);
    group.tick(200ms);
    CHECK(group.delegate.reads == 2);
}

TEST_CASE("An attempt whose lease expires before the call resumes the members that it fenced", "[proxy][promotion]")
{
    Fixture group;
    group.acquireLease();
    group.reportStatus("r", makeStatus(false, 1, 7, 2));
    group.tick(Promotion::leaseLifetime);
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);
    CHECK(group.delegate.has("resume r"));
}

TEST_CASE("A host that was paused between verification and call does not call", "[proxy][promotion]")
{
    Fixture group;
    group.verify();
    group.tick(Promotion::leaseLifetime);
    CHECK_FALSE(group.delegate.promoted);
}

TEST_CASE("The fences are kept while the call may still take effect", "[proxy][promotion]")
{
    Fixture group;
    group.call(PromotionOutcome::Unanswered);
    group.tick(2s);
    CHECK_FALSE(group.delegate.has("resume r"));
    CHECK_FALSE(group.delegate.has("resume s"));
}

TEST_CASE("Nothing is fenced if the failover reason disappears before the lease is acquired", "[proxy][promotion]")
{
    Fixture group;
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
    Fixture group;
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
    Fixture group;
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
    Fixture group;
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
    Fixture group;
    group.call();
    const auto leasedAt = Instant(100s) + Promotion::startJitter;
    CHECK(group.delegate.callBefore + Promotion::callTimeout + Promotion::effectTimeout
        <= leasedAt + Promotion::leaseLifetime);
}

TEST_CASE("A call that was not sent is repeated under a new lease", "[proxy][promotion]")
{
    Fixture group;
    group.call(PromotionOutcome::NotDone);
    CHECK(group.promotion.state() == "Delaying");
    group.tick(Promotion::retryDelay);
    CHECK(group.delegate.reads == 2);
}

TEST_CASE("A member that restarts without its fence is fenced again until the promotion is seen", "[proxy][promotion]")
{
    Fixture group;
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
