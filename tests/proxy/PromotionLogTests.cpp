#include "proxy/Promotion.h"
#include "proxy/PromotionLog.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

struct Recorder final : PromotionDelegate {
    std::vector<LogRecord> records;
    std::map<std::string, std::vector<double>> samples;

    void readLease(const GroupName&) override { }
    void writeLease(const GroupName&, const PromotionLease&, RowVersion) override { }
    void readMembers(const GroupName&) override { }
    void promote(const GroupName&, const TargetName&, RowVersion, Instant) override { }
    void sendCommand(const TargetName&, const TargetRequest&, Instant) override { }
    void log(const LogRecord& record) override { records.push_back(record); }
    void measure(std::string_view series, double sample) override { samples[std::string(series)].push_back(sample); }

    [[nodiscard]] std::size_t countOf(LogEvent event) const
    {
        return static_cast<std::size_t>(std::count_if(
            records.begin(), records.end(), [event](const LogRecord& record) { return record.event == event; }));
    }
    /// @return the field of the last record of the event; "(none)" if there is no such record or field.
    [[nodiscard]] std::string field(LogEvent event, const std::string& name) const
    {
        for (auto record = records.rbegin(); record != records.rend(); ++record) {
            if (record->event != event)
                continue;
            for (const auto& field : record->fields) {
                if (field.name == name)
                    return field.value;
            }
            break;
        }
        return "(none)";
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

TargetRecord makeRecord(const std::string& name, std::uint16_t port)
{
    TargetRecord result;
    result.name = TargetName(name);
    result.address = { "10.0.0.1", port };
    return result;
}

/// A group whose primary p is down, with the replicas r and s, and its promotion.
struct Fixture {
    Instant now { 100s };
    Recorder delegate;
    GroupWatcher watcher;
    RandomEngine random { 1 };
    Promotion promotion { HostName("host"), GroupName("group"), delegate };
    std::vector<TargetRecord> records { makeRecord("p", 1), makeRecord("r", 2), makeRecord("s", 3) };

    Fixture()
    {
        watcher.setRules({ 50, 1 });
        watcher.setMembers(now, records);
        watcher.setListOrigin({ now - 700ms, {}, RowVersion(40) });
        reportStatus("p", makeStatus(true, 1, 9));
        reportStatus("r", makeStatus(false, 1, 7));
        reportStatus("s", makeStatus(false, 1, 8));
        for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count)
            watcher.health(TargetName("p"))->recordRefusal(now);
    }

    void reportStatus(const std::string& name, const TargetStatus& status)
    {
        watcher.recordStatus(now, TargetName(name), now, status);
    }
    void tick(Duration step, FailoverReason failoverReason = FailoverReason::Down)
    {
        now += step;
        promotion.tick(now, watcher, failoverReason);
    }
    void suspect() { promotion.start(now, watcher, random, PromotionGoal::ReplacePrimary, FailoverReason::Down); }
    void acquireLease()
    {
        suspect();
        tick(Promotion::startJitter);
        promotion.leaseRead(now, watcher, PromotionLeaseRow { RowVersion(5), {}, 1000 });
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(60)));
    }
    void reportFenced()
    {
        reportStatus("r", makeStatus(false, 1, 7, 2));
        reportStatus("s", makeStatus(false, 1, 8, 2));
    }
    /// Advances to the promotion call for s, 190 ms after the suspicion.
    void call()
    {
        acquireLease();
        promotion.membersRead(now, watcher, true);
        reportFenced();
        tick(30ms);
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(61)));
        now += 10ms;
        reportFenced();
        tick(0ms);
        REQUIRE(promotion.state() == "Calling");
    }
    void callAndAnswer(PromotionOutcome outcome)
    {
        call();
        promotion.promoteAnswered(now, watcher, outcome);
    }
    /// Notices the fences that are gone, and that s is not promoted 50 ms later.
    void confirmFences()
    {
        tick(0ms, FailoverReason::None);
        now += 50ms;
        reportStatus("s", makeStatus(false, 1, 8, 2));
        tick(0ms, FailoverReason::None);
    }
    [[nodiscard]] std::string field(LogEvent event, const std::string& name) const
    {
        return delegate.field(event, name);
    }
};

} // namespace

TEST_CASE("The log of a suspicion shows the members counted, the primary's log and the age of the list",
    "[proxy][promotionlog]")
{
    Fixture group;
    group.now += 300ms;
    group.suspect();
    const auto event = LogEvent::PrimarySuspected;
    CHECK(group.field(event, "trouble") == "down");
    CHECK(group.field(event, "counted") == "3");
    CHECK(group.field(event, "needed") == "2");
    CHECK(group.field(event, "fenced") == "0");
    CHECK(group.field(event, "members") == "p/primary/1.9/300ms/suspect,r/replica/1.7/300ms,s/replica/1.8/300ms");
    CHECK(group.field(event, "departed") == "-");
    CHECK(group.field(event, "primary_end") == "1.9");
    CHECK(group.field(event, "primary_end_age_ms") == "300");
    CHECK(group.field(event, "list_from") == "store");
    CHECK(group.field(event, "list_age_ms") == "1000");
    CHECK(group.field(event, "list_as_of") == "40");
}

TEST_CASE("The evidence shows departed and unlisted members and a peer's list", "[proxy][promotionlog]")
{
    Fixture group;
    group.records[1].isLeaving = true;
    group.watcher.setMembers(group.now, group.records);
    group.now += 100ms;
    group.watcher.setMembers(group.now, { group.records[0], group.records[2] });
    group.watcher.setListOrigin({ {}, SocketAddress { "10.0.0.9", 7 }, RowVersion(41) });
    group.now += 20ms;

    SECTION("a member that left is a departure and is counted while a commit may depend on it")
    {
        group.suspect();
        CHECK(group.field(LogEvent::PrimarySuspected, "counted") == "3");
        CHECK(group.field(LogEvent::PrimarySuspected, "departed") == "r/left/1.7/20ms");
        CHECK(group.field(LogEvent::PrimarySuspected, "list_from") == "10.0.0.9:7");
        CHECK(group.field(LogEvent::PrimarySuspected, "list_age_ms") == "-");
    }
    SECTION("a member whose record lapsed is counted")
    {
        auto restarted = group.records[0];
        restarted.incarnation = TargetIncarnation(9);
        group.watcher.recordStatus(group.now, TargetName("s"), group.now, makeStatus(false, 1, 8));
        group.watcher.health(TargetName("s"))->recordResponse(group.now, {});
        group.watcher.setMembers(group.now, { restarted });
        group.suspect();
        CHECK(group.field(LogEvent::PrimarySuspected, "members")
            == "p/unknown,r/replica/1.7/120ms/leaving/unlisted,s/replica/1.8/0ms/unlisted");
        CHECK(group.field(LogEvent::PrimarySuspected, "departed")
            == "r/left/1.7/20ms,p/restarted/1.9/0ms,s/lapsed/1.8/0ms");
        // The primary's log is known although the primary started again without it.
        CHECK(group.field(LogEvent::PrimarySuspected, "primary_end") == "1.9");
    }
    SECTION("a departure is forgotten after the retention")
    {
        group.now += MemberHistory::retention;
        CHECK(PromotionLog::describeDepartures(group.now, group.watcher) == "-");
    }
}

TEST_CASE("The end of the primary's log includes the commits acknowledged to this host", "[proxy][promotionlog]")
{
    Fixture group;
    group.watcher.recordCommit(group.now + 10ms, TargetName("p"), group.now + 10ms, { Term(1), Position(12) });
    // The answer to an earlier query.
    group.watcher.recordStatus(group.now + 20ms, TargetName("p"), group.now, makeStatus(true, 1, 10));
    group.now += 50ms;
    group.suspect();
    CHECK(group.field(LogEvent::PrimarySuspected, "primary_end") == "1.12");
    CHECK(group.field(LogEvent::PrimarySuspected, "primary_end_age_ms") == "40");
}

TEST_CASE("The list of members in a log record is bounded", "[proxy][promotionlog]")
{
    GroupWatcher watcher;
    std::vector<TargetRecord> records;
    for (std::uint16_t port = 1; port <= PromotionLog::maxMembers + 3; ++port)
        records.push_back(makeRecord("t" + std::to_string(port), port));
    watcher.setMembers(Instant(100s), records);
    const auto text = PromotionLog::describeMembers(Instant(100s), watcher);
    CHECK(std::count(text.begin(), text.end(), ',') == PromotionLog::maxMembers);
    CHECK(text.substr(text.size() - 3) == ",+3");
}

TEST_CASE(
    "The logs of a lease and of a promotion call show the fences and logs that they rest on", "[proxy][promotionlog]")
{
    Fixture group;
    group.call();
    CHECK(group.field(LogEvent::FailoverStarted, "token") == "60");
    CHECK(group.field(LogEvent::FailoverStarted, "trouble") == "down");
    CHECK(group.field(LogEvent::FailoverStarted, "fenced") == "0");
    CHECK(group.field(LogEvent::FailoverStarted, "list_as_of") == "40");

    const auto event = LogEvent::PromotionRequested;
    CHECK(group.field(event, "target") == "s");
    CHECK(group.field(event, "token") == "61");
    CHECK(group.field(event, "received") == "1.8");
    CHECK(group.field(event, "trouble") == "down");
    CHECK(group.field(event, "counted") == "3");
    CHECK(group.field(event, "needed") == "2");
    CHECK(group.field(event, "fenced") == "2");
    CHECK(group.field(event, "members")
        == "p/primary/1.9/190ms/suspect,r/replica/1.7/0ms/fence2,s/replica/1.8/0ms/fence2");
    CHECK(group.field(event, "primary_end") == "1.9");
    CHECK(group.field(event, "list_age_ms") == "890");
}

TEST_CASE("The log of an abandoned failover tells why it was abandoned", "[proxy][promotionlog]")
{
    Fixture group;
    const auto event = LogEvent::FailoverAbandoned;

    SECTION("the lease ends with too few fences")
    {
        group.acquireLease();
        group.reportStatus("r", makeStatus(false, 1, 7, 2));
        group.tick(Promotion::leaseLifetime);
        group.tick(30ms);
        CHECK(group.field(event, "why") == "lease_ending");
        CHECK(group.field(event, "fenced") == "1");
        CHECK(group.field(event, "needed") == "2");
        CHECK(group.field(event, "counted") == "3");
        CHECK(group.field(event, "candidate") == "-");
        CHECK(group.delegate.samples["promotion_abandoned_ms"] == std::vector<double> { 3850 });
    }
    SECTION("another target is known to be primary")
    {
        group.acquireLease();
        group.reportStatus("s", makeStatus(true, 2, 0));
        group.tick(30ms);
        CHECK(group.field(event, "why") == "superseded");
    }
    SECTION("the call was refused")
    {
        group.callAndAnswer(PromotionOutcome::NotRunning);
        CHECK(group.field(event, "why") == "not_running");
        CHECK(group.field(event, "candidate") == "s");
        CHECK(group.promotion.trace().calls().empty());
    }
    SECTION("the call was not sent")
    {
        group.callAndAnswer(PromotionOutcome::NotDone);
        CHECK(group.field(event, "why") == "not_done");
    }
    SECTION("no effect of the call was seen in time")
    {
        group.callAndAnswer(PromotionOutcome::Unanswered);
        group.tick(Promotion::awaitTimeout);
        CHECK(group.field(event, "why") == "no_effect");
        CHECK(group.field(event, "candidate") == "s");
        CHECK(group.field(event, "fenced") == "2");
    }
}

TEST_CASE("The effect of a promotion call is logged with the time since the call and the state of its fences",
    "[proxy][promotionlog]")
{
    Fixture group;
    group.callAndAnswer(PromotionOutcome::Accepted);
    group.tick(200ms);
    CHECK(group.delegate.countOf(LogEvent::PromotionEffectSeen) == 0);
    const auto event = LogEvent::PromotionEffectSeen;

    SECTION("all fences held")
    {
        group.reportStatus("p", makeStatus(true, 1, 11));
        group.tick(50ms);
        // The members follow the new primary without a fence.
        group.reportStatus("r", makeStatus(false, 2, 0));
        group.reportStatus("s", makeStatus(true, 2, 0));
        group.tick(50ms);
        CHECK(group.delegate.countOf(LogEvent::PromotionFenceLost) == 0);
        CHECK(group.delegate.countOf(event) == 1);
        CHECK(group.field(event, "target") == "s");
        CHECK(group.field(event, "token") == "61");
        CHECK(group.field(event, "call_ms") == "300");
        CHECK(group.field(event, "suspected_ms") == "490");
        CHECK(group.field(event, "received") == "1.8");
        CHECK(group.field(event, "replaced") == "p");
        CHECK(group.field(event, "replaced_end") == "1.11");
        CHECK(group.field(event, "replaced_end_age_ms") == "100");
        CHECK(group.field(event, "fences") == "r/held,s/held");
        CHECK(group.field(event, "fences_gone") == "0");
        CHECK(group.delegate.samples["promotion_call_to_effect_ms"] == std::vector<double> { 300 });
        CHECK(group.delegate.samples["promotion_suspicion_to_effect_ms"] == std::vector<double> { 490 });
        CHECK(group.delegate.samples["promotion_fences_lost"] == std::vector<double> { 0 });
        CHECK(group.delegate.samples["promotion_target_list_age_ms"] == std::vector<double> { 890 });
        CHECK(group.delegate.samples["promotion_abandoned_ms"].empty());
        group.tick(50ms);
        CHECK(group.delegate.countOf(event) == 1);
    }
    SECTION("a fence was removed before the effect")
    {
        group.reportStatus("r", makeStatus(false, 1, 9));
        group.tick(50ms);
        CHECK(group.delegate.countOf(LogEvent::PromotionFenceLost) == 0);
        group.now += 10ms;
        group.reportStatus("s", makeStatus(false, 1, 8, 2));
        group.tick(40ms);
        CHECK(group.delegate.countOf(LogEvent::PromotionFenceLost) == 1);
        CHECK(group.field(LogEvent::PromotionFenceLost, "target") == "r");
        CHECK(group.field(LogEvent::PromotionFenceLost, "candidate") == "s");
        CHECK(group.field(LogEvent::PromotionFenceLost, "token") == "61");
        CHECK(group.field(LogEvent::PromotionFenceLost, "why") == "removed");
        CHECK(group.field(LogEvent::PromotionFenceLost, "call_ms") == "250");
        CHECK(group.field(LogEvent::PromotionFenceLost, "received") == "1.9");
        CHECK(group.field(LogEvent::PromotionFenceLost, "given_up") == "no");
        // It is reported once, and remains gone when the member is fenced again.
        group.reportStatus("r", makeStatus(false, 1, 9, 2));
        group.tick(50ms);
        CHECK(group.delegate.countOf(LogEvent::PromotionFenceLost) == 1);
        group.reportStatus("s", makeStatus(true, 2, 0));
        group.tick(50ms);
        CHECK(group.field(event, "fences") == "r/gone/250ms,s/held");
        CHECK(group.field(event, "fences_gone") == "1");
        CHECK(group.delegate.samples["promotion_fences_lost"] == std::vector<double> { 1 });
    }
    SECTION("a fence that the effect itself may have removed is not lost")
    {
        group.reportStatus("r", makeStatus(false, 1, 8));
        group.tick(50ms);
        group.reportStatus("s", makeStatus(true, 2, 0));
        group.tick(50ms);
        CHECK(group.delegate.countOf(LogEvent::PromotionFenceLost) == 0);
        CHECK(group.field(event, "fences") == "r/cleared/250ms,s/held");
        CHECK(group.field(event, "fences_gone") == "0");
        CHECK(group.delegate.samples["promotion_fences_lost"] == std::vector<double> { 0 });
    }
    SECTION("a fenced member restarted")
    {
        group.records[1].incarnation = TargetIncarnation(9);
        group.watcher.setMembers(group.now, group.records);
        group.confirmFences();
        CHECK(group.field(LogEvent::PromotionFenceLost, "why") == "restarted");
        CHECK(group.field(LogEvent::PromotionFenceLost, "received") == "-");
    }
    SECTION("a fenced member that is no longer listed keeps its fence")
    {
        group.watcher.setMembers(group.now, { group.records[0], group.records[2] });
        group.confirmFences();
        CHECK(group.delegate.countOf(LogEvent::PromotionFenceLost) == 0);
    }
}

// Guards against the mistake to take an order that was given up for one without effect
// (docs/incidents/lost-while-members-change.md).
TEST_CASE("The late effect of an abandoned promotion call is logged", "[proxy][promotionlog]")
{
    Fixture group;
    group.callAndAnswer(PromotionOutcome::Unanswered);
    group.tick(Promotion::awaitTimeout);
    REQUIRE(group.promotion.state() == "Delaying");
    // The primary is back, and the store can't be reached until the call can't be expected to take effect any more.
    group.tick(Promotion::retryDelay, FailoverReason::None);
    group.promotion.leaseRead(group.now, group.watcher, fail(ErrorCode::PlatformUnavailable, "", "", ""));
    group.tick(Promotion::pendingLifetime, FailoverReason::None);
    REQUIRE(group.promotion.isIdle());
    group.reportStatus("r", makeStatus(false, 1, 10));
    group.confirmFences();
    CHECK(group.field(LogEvent::PromotionFenceLost, "given_up") == "yes");

    SECTION("with the time since the call and since it was given up")
    {
        group.reportStatus("s", makeStatus(true, 2, 0));
        group.tick(100ms, FailoverReason::None);
        CHECK(group.delegate.countOf(LogEvent::PromotionEffectSeen) == 0);
        CHECK(group.delegate.countOf(LogEvent::PromotionEffectLate) == 1);
        CHECK(group.field(LogEvent::PromotionEffectLate, "target") == "s");
        CHECK(group.field(LogEvent::PromotionEffectLate, "token") == "61");
        CHECK(group.field(LogEvent::PromotionEffectLate, "call_ms") == "13900");
        CHECK(group.field(LogEvent::PromotionEffectLate, "given_up_ms") == "10400");
        CHECK(group.field(LogEvent::PromotionEffectLate, "fences") == "r/gone/13750ms,s/held");
        CHECK(group.promotion.trace().calls().empty());
    }
    SECTION("but not the promotion of another target")
    {
        group.reportStatus("r", makeStatus(true, 2, 0));
        group.tick(100ms, FailoverReason::None);
        CHECK(group.delegate.countOf(LogEvent::PromotionEffectLate) == 0);
    }
    SECTION("and the call is forgotten after the retention")
    {
        group.tick(PromotionTrace::retention, FailoverReason::None);
        CHECK(group.promotion.trace().calls().empty());
    }
}

// Without these fields a target that is being replaced can't be told in the logs from one that was promoted.
TEST_CASE("The log of a new primary shows what is known of its replacement", "[proxy][promotionlog]")
{
    Fixture group;
    CHECK(PromotionLog::describeLease(group.now, {}) == "-");
    CHECK(PromotionLog::countFencedAbove(group.watcher, Term(1)) == 0);

    PromotionLease lease { HostName("other"), 4660, PendingPromotion { TargetName("s"), Term(1), 900, false } };
    const LeaseReading reading { { RowVersion(34), lease, 1000 }, group.now - 300ms };
    group.reportFenced();
    CHECK(PromotionLog::describeLease(group.now, reading) == "other/34/3660ms/300ms/pending/s/1");
    CHECK(PromotionLog::countFencedAbove(group.watcher, Term(1)) == 2);
    CHECK(PromotionLog::countFencedAbove(group.watcher, Term(2)) == 0);
}
