#include "proxy/PromotionFixture.h"

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

/// A group whose primary p was demoted. p and d have ended; n has started without a log.
struct DepartedFixture {
    Instant now { 100s };
    PromotionRecorder delegate;
    GroupWatcher watcher;
    RandomEngine random { 1 };
    Promotion promotion { HostName("host"), GroupName("group"), delegate };
    PromotionLeaseRow row { RowVersion(5), PromotionLease { HostName("other"), 0, {} }, 20000 };
    std::uint64_t version { 5 };
    Term fenceTerm;

    DepartedFixture()
    {
        watcher.setRules({ 50, 1 });
        row.lease->members.emplace();
        row.lease->members->term = Term(1);
        row.lease->unresolvedTerm = Term {};
    }
    void list(const std::vector<std::string>& names)
    {
        std::vector<TargetRecord> records;
        for (const auto& name : names) {
            records.emplace_back().name = TargetName(name);
            // d2 has started at the address of d.
            records.back().address = { "10.0.0.1", static_cast<std::uint16_t>(name[0]) };
            records.back().incarnation = TargetIncarnation(name.size());
        }
        watcher.setMembers(now, records);
    }
    void report(const std::string& name, const TargetStatus& status)
    {
        now += 10ms;
        watcher.health(TargetName(name))->recordResponse(now, {});
        watcher.recordStatus(now, TargetName(name), now, status);
    }
    void end(const std::vector<std::string>& names)
    {
        for (const auto& name : names) {
            for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count)
                watcher.health(TargetName(name))->recordRefusal(now);
        }
        watcher.releaseMembers(now);
    }
    void closeLog(bool seesDemotion = true)
    {
        list({ "p", "d", "r", "s" });
        showUnreplaced(watcher, now, TargetName("p"));
        if (seesDemotion)
            report("p", makeStatus(true, 1, 9));
        report("p", makeStatus(false, 1, 9));
        for (const auto* const name : { "d", "r", "s" })
            report(name, makeStatus(false, 1, 9));
        list({ "r", "s", "n" });
        report("n", makeStatus(false, 0, 0));
        end({ "p", "d" });
    }
    void tick(Duration step)
    {
        now += step;
        promotion.tick(now, watcher, FailoverReason::Missing);
    }
    void acquire()
    {
        promotion.start(now, watcher, random, PromotionGoal::ReplacePrimary, FailoverReason::Missing);
        tick(Promotion::startJitter);
        promotion.leaseRead(now, watcher, row);
        fenceTerm = Term(watcher.highestTerm().value() + 1);
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(++version)));
    }
    void fence(const std::vector<std::string>& names)
    {
        for (const auto& name : names) {
            auto status = *watcher.find(TargetName(name))->status;
            status.fencedTerm = fenceTerm;
            report(name, status);
        }
    }
    void finishAttempt(const std::vector<std::string>& running)
    {
        fence(running);
        promotion.membersRead(now, watcher, true);
        tick(30ms);
        tick(Promotion::fenceGrace);
        if (promotion.state() != "Recording")
            return;
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(++version)));
        for (std::size_t round = 0; round < 3; ++round) {
            fence(running);
            tick(30ms);
        }
    }
    /// Reads the row as this host wrote it last.
    void readBack()
    {
        row.lease = delegate.lease;
        row.version = RowVersion(version);
        row.storeNowMs += 5000;
        row.lease->expiresAtMs = 0;
    }
    void attempt()
    {
        acquire();
        finishAttempt({ "r", "s", "n" });
    }
    void giveUpAttempt()
    {
        tick(Promotion::leaseLifetime);
        tick(Promotion::retryDelay);
        readBack();
        promotion.leaseRead(now, watcher, row);
        fenceTerm = Term(watcher.highestTerm().value() + 1);
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(++version)));
    }
};

} // namespace

TEST_CASE("A further attempt does not count departed members by a row whose evidence this host replaced",
    "[proxy][promotion][evidence]")
{
    DepartedFixture group;
    group.closeLog();
    SECTION("of a primary of a later term")
    {
        group.row.lease->members->term = Term(2);
    }
    SECTION("of a call that may have had an effect")
    {
        group.row.lease->pending = PendingPromotion { TargetName("x"), Term(1), 900, false };
    }
    group.attempt();
    REQUIRE_FALSE(group.delegate.promoted);
    group.giveUpAttempt();
    group.finishAttempt({ "r", "s", "n" });
    CHECK_FALSE(group.delegate.promoted);
}

TEST_CASE("A fenced member that ended does not count while another target runs at its address",
    "[proxy][promotion][evidence]")
{
    DepartedFixture group;
    group.list({ "p", "d", "r" });
    showUnreplaced(group.watcher, group.now, TargetName("p"));
    group.report("p", makeStatus(true, 1, 9));
    group.report("d", makeStatus(false, 1, 9));
    group.report("r", makeStatus(false, 1, 9));
    group.end({ "p" });
    group.acquire();
    group.fence({ "d" });
    // p may acknowledge with the target that runs at the address of d: its fence ended with the process.
    SECTION("which is listed and has not answered")
    {
        group.list({ "p", "r", "d2" });
    }
    SECTION("which is not listed yet")
    {
        group.list({ "p", "r" });
    }
    group.end({ "d" });
    REQUIRE(group.watcher.find(TargetName("d"))->presumedEndedAt);
    group.finishAttempt({ "r" });
    CHECK_FALSE(group.delegate.promoted);
}

TEST_CASE("A host that started after the demotion promotes a running member with the whole log",
    "[proxy][promotion][evidence]")
{
    DepartedFixture group;
    group.closeLog(false);
    group.attempt();
    CHECK(group.delegate.promoted);
}
