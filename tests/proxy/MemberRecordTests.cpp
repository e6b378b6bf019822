#include "proxy/MemberRecorder.h"
#include "proxy/PromotionFixture.h"
#include "proxy/PromotionLeaseCodec.h"

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

const TargetName lapsed("lapsed");

RecordedMember recorded(const std::string& name, std::uint16_t port, std::uint64_t start = 0)
{
    return { TargetName(name), { "10.0.0.1", port }, TargetIncarnation(start) };
}

/// The members of PromotionFixture, and one that is not listed.
MemberRecord recordWithLapsed()
{
    return { { recorded("lapsed", 9), recorded("p", 1), recorded("r", 2), recorded("s", 3) }, 1, Term(1) };
}

PromotionLeaseRow rowWith(const MemberRecord& record, std::uint64_t version = 5)
{
    PromotionLease lease { HostName("other"), 0, {} };
    lease.members = record;
    lease.membersProblem = MemberRecordProblem::None;
    return { RowVersion(version), lease, 1000 };
}

/// Reads the row as GroupService does.
void readRow(PromotionFixture& group, const PromotionLeaseRow& row)
{
    if (row.lease && row.lease->members)
        group.watcher.addRecorded(group.now, GroupName("group"), *row.lease->members);
    group.promotion.leaseRead(group.now, group.watcher, row);
}

/// Lets time pass in which the primary answers.
void rest(PromotionFixture& group, Duration length)
{
    group.now += length;
    for (const auto* const name : { "p", "r", "s" })
        group.watcher.health(TargetName(name))->recordResponse(group.now, {});
    group.promotion.tick(group.now, group.watcher, FailoverReason::None);
}

/// Starts an attempt to record the members if one is due.
bool record(PromotionFixture& group)
{
    if (!group.promotion.isIdle() || !group.promotion.isRecordDue(group.now, group.watcher))
        return false;
    group.promotion.start(group.now, group.watcher, group.random, PromotionGoal::RecordMembers, FailoverReason::None);
    group.promotion.tick(group.now, group.watcher, FailoverReason::None);
    return true;
}

/// Advances until the members are to be recorded, and starts that.
void startRecording(PromotionFixture& group)
{
    group.promotion.setRecorderRank(0);
    rest(group, 100ms);
    REQUIRE_FALSE(record(group));
    rest(group, MemberRecorder::settleTime);
    REQUIRE(record(group));
    REQUIRE(group.promotion.state() == "Reading");
}

} // namespace

TEST_CASE("The record of members is stored with the lease", "[proxy][record]")
{
    auto lease = *rowWith(recordWithLapsed()).lease;
    const auto decoded = decodePromotionLease(encodePromotionLease(lease));
    REQUIRE(decoded);
    REQUIRE(decoded->members);
    CHECK(decoded->members->members == recordWithLapsed().members);
    CHECK(decoded->members->syncReplicas == 1);
    CHECK(decoded->members->term == Term(1));
    CHECK(decoded->membersProblem == MemberRecordProblem::None);
}

// Guards against a bad record that hides the holder of the lease, and against one that is taken for an empty group.
TEST_CASE("A record that can't be used leaves the lease readable", "[proxy][record]")
{
    const auto problemOf = [](const std::string& members) {
        const auto lease = decodePromotionLease(R"({"holder": "h", "expires_at_ms": 77, "members": )" + members + "}");
        REQUIRE(lease);
        CHECK(lease->expiresAtMs == 77);
        CHECK_FALSE(lease->members);
        return lease->membersProblem;
    };
    CHECK(problemOf("7") == MemberRecordProblem::Unreadable);
    CHECK(problemOf("null") == MemberRecordProblem::Unreadable);
    CHECK(problemOf(R"({"format": 1, "sync_replicas": 1, "term": 1, "list": []})") == MemberRecordProblem::Unreadable);
    CHECK(problemOf(
              R"({"format": 1, "sync_replicas": 1, "term": 1, "list": [{"name": "t", "address": "?", "start": 1}]})")
        == MemberRecordProblem::Unreadable);
    CHECK(problemOf(R"({"format": 1, "sync_replicas": 1, "term": 1, "list": [{"name": "t"}]})")
        == MemberRecordProblem::Unreadable);
    CHECK(problemOf(R"({"format": 2, "other": 1})") == MemberRecordProblem::Newer);
    const auto earlier = decodePromotionLease(R"({"holder": "h", "expires_at_ms": 77})");
    REQUIRE(earlier);
    CHECK(earlier->membersProblem == MemberRecordProblem::Missing);
    CHECK(MemberRecorder::problemOf({}) == MemberRecordProblem::Missing);
    CHECK(MemberRecorder::problemOf({ RowVersion(7), {}, 0 }) == MemberRecordProblem::Unreadable);
}

// Guards against docs/incidents/lost-while-members-change.md: a host that started did not count a lapsed member.
TEST_CASE("A member on record without a list entry counts", "[proxy][record]")
{
    PromotionFixture group;
    const auto add = [&group] { return group.watcher.addRecorded(group.now, GroupName("group"), recordWithLapsed()); };
    CHECK(group.watcher.fencesNeeded() == 2);
    CHECK(add() == std::vector { lapsed });
    CHECK(group.watcher.groupSize() == 4);
    CHECK(group.watcher.fencesNeeded() == 3);
    REQUIRE(group.watcher.find(lapsed));
    CHECK_FALSE(group.watcher.find(lapsed)->isListed());
    CHECK(add().empty());

    SECTION("for 20 s at most without a primary, and is not taken from the record again")
    {
        group.now += GroupMembership::retentionLimit - 1ms;
        CHECK(group.watcher.releaseMembers(group.now).empty());
        group.now += 1ms;
        const auto released = group.watcher.releaseMembers(group.now);
        REQUIRE(released.size() == 1);
        CHECK(released.front().reason == MemberReleaseReason::GivenUp);
        CHECK(add().empty());
        CHECK(group.watcher.groupSize() == 3);
    }
    SECTION("until the primary's log is on members that stay")
    {
        group.watcher.health(TargetName("p"))->recordResponse(group.now, {});
        group.watcher.health(lapsed)->recordRefusal(group.now);
        group.watcher.health(lapsed)->recordRefusal(group.now);
        CHECK(group.watcher.releaseMembers(group.now).empty());
        group.now += 10ms;
        group.reportStatus("p", makeStatus(true, 1, 9));
        CHECK(group.watcher.releaseMembers(group.now).empty());
        group.reportStatus("s", makeStatus(false, 1, 9));
        const auto released = group.watcher.releaseMembers(group.now);
        REQUIRE(released.size() == 1);
        CHECK(released.front().reason == MemberReleaseReason::LogsCaughtUp);
        CHECK(add().empty());
        // A host that released it long ago may have missed that it was listed meanwhile.
        group.now += GroupMembership::releaseMemory;
        CHECK(add() == std::vector { lapsed });
    }
    SECTION("and a later start at its address takes its place")
    {
        PromotionFixture other;
        auto record = recordWithLapsed();
        record.members.push_back(recorded("s-before", 3));
        std::vector<TargetRecord> records;
        for (const auto& [name, member] : other.watcher.members())
            records.push_back(member.record);
        records.back().incarnation = TargetIncarnation(8);
        REQUIRE(records.back().address.port == 3);
        other.watcher.setMembers(other.now, records);
        other.reportStatus("s", makeStatus(false, 1, 8));
        CHECK(other.watcher.addRecorded(other.now, GroupName("group"), record) == std::vector { lapsed });
    }
}

// Guards against the loss of a member that answered other hosts only.
TEST_CASE("A recorded member that never answered this host counts after its list entry has gone", "[proxy][record]")
{
    PromotionFixture group;
    std::vector<TargetRecord> records;
    for (const auto& [name, member] : group.watcher.members())
        records.push_back(member.record);
    auto longer = records;
    longer.emplace_back();
    longer.back().name = lapsed;
    longer.back().address = { "10.0.0.1", 9 };
    group.watcher.setMembers(group.now, longer);
    CHECK(group.watcher.addRecorded(group.now, GroupName("group"), recordWithLapsed()).empty());
    group.watcher.setMembers(group.now, records);
    CHECK(group.watcher.find(lapsed));
}

TEST_CASE("The members are recorded once they are unchanged, and again only after a change", "[proxy][record]")
{
    PromotionFixture group;
    startRecording(group);
    readRow(group, {});
    REQUIRE(group.promotion.state() == "Writing");
    REQUIRE(group.delegate.lease);
    CHECK(group.delegate.lease->expiresAtMs == 0);
    REQUIRE(group.delegate.lease->members);
    CHECK(
        group.delegate.lease->members->members == std::vector { recorded("p", 1), recorded("r", 2), recorded("s", 3) });
    group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(6)));
    CHECK(group.promotion.isIdle());
    CHECK(group.promotion.recorder().version() == RowVersion(6));
    CHECK(group.delegate.logged[LogEvent::MembersRecorded] == 1);

    SECTION("a quiet day causes no call")
    {
        for (int minute = 0; minute < 24 * 60; ++minute) {
            rest(group, 1min);
            REQUIRE_FALSE(record(group));
        }
        CHECK(group.delegate.reads == 1);
        CHECK(group.delegate.writes == 1);
    }
    SECTION("a new member costs one read and one write")
    {
        std::vector<TargetRecord> records;
        for (const auto& [name, member] : group.watcher.members())
            records.push_back(member.record);
        records.emplace_back();
        records.back().name = TargetName("t");
        records.back().address = { "10.0.0.1", 7 };
        group.watcher.setMembers(group.now, records);
        rest(group, 100ms);
        CHECK_FALSE(record(group));
        group.reportStatus("t", makeStatus(false, 1, 9));
        CHECK_FALSE(record(group));
        rest(group, MemberRecorder::settleTime);
        CHECK(record(group));
        readRow(group, { RowVersion(6), *group.delegate.lease, 2000 });
        CHECK(group.delegate.reads == 2);
        CHECK(group.delegate.writes == 2);
        CHECK(group.delegate.lease->members->members.size() == 4);
    }
    SECTION("after a promotion by a host of an earlier version the record is written again")
    {
        group.reportStatus("s", makeStatus(true, 2, 0));
        rest(group, 100ms);
        REQUIRE(record(group));
        readRow(group, { RowVersion(7), PromotionLease { HostName("other"), 0, {} }, 2000 });
        CHECK(group.delegate.logged[LogEvent::MemberRecordMissing] == 2);
        CHECK(group.delegate.writes == 2);
        CHECK(group.delegate.lease->members->members.size() == 3);
    }
    SECTION("a promotion, by a host that may drop the record, is checked with one read")
    {
        group.reportStatus("s", makeStatus(true, 2, 0));
        rest(group, 100ms);
        REQUIRE(record(group));
        readRow(group, { RowVersion(7), *group.delegate.lease, 2000 });
        CHECK(group.promotion.isIdle());
        CHECK(group.delegate.writes == 1);
        rest(group, 1min);
        CHECK_FALSE(record(group));
    }
}

TEST_CASE("A host that is not the first to record the members waits for those before it", "[proxy][record]")
{
    PromotionFixture group;
    CHECK_FALSE(record(group));
    rest(group, 1h);
    CHECK_FALSE(record(group));
    group.promotion.setRecorderRank(2);
    CHECK_FALSE(record(group));
    rest(group, MemberRecorder::settleTime + 2 * MemberRecorder::rankDelay - 1ms);
    CHECK_FALSE(record(group));
    rest(group, 1ms);
    CHECK(record(group));
    auto row = rowWith(MemberRecorder::describe(group.watcher));
    readRow(group, row);
    CHECK(group.promotion.isIdle());
    CHECK(group.delegate.writes == 0);
}

// Guards against an attempt to record the members that disturbs a promotion, or ends in a loop of calls.
TEST_CASE("The members are not recorded while another host promotes, or without the store", "[proxy][record]")
{
    PromotionFixture group;
    startRecording(group);
    const auto checkPostponed = [&group] {
        CHECK(group.promotion.isIdle());
        rest(group, MemberRecorder::retryInterval - 1ms);
        CHECK_FALSE(record(group));
        rest(group, 1ms);
        CHECK(record(group));
    };
    SECTION("another host holds the lease")
    {
        readRow(group, { RowVersion(5), PromotionLease { HostName("other"), 4000, {} }, 1000 });
        CHECK(group.delegate.writes == 0);
        checkPostponed();
    }
    SECTION("a promotion may still take effect")
    {
        const PendingPromotion pending { TargetName("s"), Term(1), 900 };
        readRow(group, { RowVersion(5), PromotionLease { HostName("other"), 0, pending }, 1000 });
        CHECK(group.delegate.writes == 0);
        checkPostponed();
    }
    SECTION("the store can't be read")
    {
        group.promotion.leaseRead(group.now, group.watcher, fail(ErrorCode::PlatformUnavailable, "", "", ""));
        checkPostponed();
    }
    SECTION("another host wrote the row first")
    {
        readRow(group, {});
        group.promotion.leaseWritten(group.now, group.watcher, std::optional<RowVersion> {});
        checkPostponed();
    }
    SECTION("the answer does not come")
    {
        rest(group, Promotion::leaseStepTimeout);
        checkPostponed();
    }
}

// Guards against a failover that waits for the record.
TEST_CASE("A failover that becomes due while the row is read uses that read", "[proxy][record]")
{
    PromotionFixture group;
    startRecording(group);
    CHECK_FALSE(group.promotion.isReplacing());
    for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count)
        group.watcher.health(TargetName("p"))->recordRefusal(group.now);
    group.tick(30ms);
    CHECK(group.promotion.isReplacing());
    readRow(group, rowWith(recordWithLapsed()));
    CHECK(group.delegate.reads == 1);
    REQUIRE(group.delegate.lease);
    CHECK(group.delegate.lease->expiresAtMs > 1000);
    group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(6)));
    CHECK(group.promotion.state() == "Fencing");
    CHECK(group.delegate.has("fence lapsed"));
}

// Guards against lost commits: with two of four members fenced, the lapsed one may hold a commit alone.
TEST_CASE("A promotion fences and awaits the members on record", "[proxy][record]")
{
    PromotionFixture group;
    group.promotion.start(group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
    group.tick(Promotion::startJitter);
    readRow(group, rowWith(recordWithLapsed()));
    REQUIRE(group.delegate.lease);
    REQUIRE(group.delegate.lease->members);
    CHECK(group.delegate.lease->members->members == recordWithLapsed().members);
    group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(6)));
    CHECK(group.delegate.has("fence lapsed"));
    group.promotion.membersRead(group.now, group.watcher, true);
    group.reportFenced();
    group.tick(Promotion::fenceGrace);
    CHECK(group.promotion.state() == "Fencing");

    // It has the longest log, and one of the listed members is promoted with it, or it itself.
    group.reportStatus("lapsed", makeStatus(false, 1, 9, 2));
    group.reportFenced();
    group.tick(30ms);
    group.record();
    REQUIRE(group.delegate.lease->pending);
    CHECK(group.delegate.lease->pending->candidate == lapsed);
    CHECK(group.delegate.lease->members->members.size() == 4);
}

// Guards against a group that stays without a record, and against a line for each read.
TEST_CASE("A record that can't be used is reported once and written again by the next holder", "[proxy][record]")
{
    PromotionFixture group;
    PromotionLeaseRow row { RowVersion(5), PromotionLease { HostName("other"), 0, {} }, 1000 };
    const auto problem
        = GENERATE(MemberRecordProblem::Missing, MemberRecordProblem::Unreadable, MemberRecordProblem::Newer);
    row.lease->membersProblem = problem;
    const auto event
        = problem == MemberRecordProblem::Missing ? LogEvent::MemberRecordMissing : LogEvent::MemberRecordUnusable;

    SECTION("by a recorder")
    {
        startRecording(group);
        readRow(group, row);
        CHECK(group.delegate.lease->members->members.size() == 3);
        group.promotion.leaseWritten(group.now, group.watcher, std::optional<RowVersion> {});
        CHECK(group.promotion.recorder().problem() == problem);
        rest(group, MemberRecorder::retryInterval);
        REQUIRE(record(group));
        readRow(group, row);
        CHECK(group.delegate.logged[event] == 1);
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(6)));
        CHECK(group.promotion.recorder().problem() == MemberRecordProblem::None);
    }
    SECTION("by a promotion, for which the listed members count")
    {
        group.promotion.start(
            group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
        group.tick(Promotion::startJitter);
        readRow(group, row);
        CHECK(group.watcher.fencesNeeded() == 2);
        CHECK(group.delegate.logged[event] == 1);
        CHECK(group.delegate.lease->members->members.size() == 3);
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(6)));
        CHECK(group.promotion.recorder().problem() == MemberRecordProblem::None);
        CHECK(group.promotion.recorder().version() == RowVersion(6));
    }
}

TEST_CASE("A row that can't be decoded at all is reported and written again", "[proxy][record]")
{
    PromotionFixture group;
    startRecording(group);
    readRow(group, { RowVersion(5), {}, 1000 });
    CHECK(group.delegate.logged[LogEvent::MemberRecordUnusable] == 1);
    CHECK(group.promotion.state() == "Writing");
    CHECK(group.delegate.lease->members->members.size() == 3);
}
