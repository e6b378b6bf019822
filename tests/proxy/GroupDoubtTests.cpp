#include "proxy/GroupServiceFixture.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;
using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

namespace {

constexpr std::uint64_t storeNowMs = 50'000;

/// The row of a lease that another host holds to replace the primary of term 1.
PromotionLeaseRow replacingRow()
{
    PromotionLease lease { HostName("other"), storeNowMs + 2000,
        PendingPromotion { TargetName("s"), Term(1), storeNowMs, false } };
    lease.replacedTerm = Term(1);
    return { RowVersion(9), lease, storeNowMs };
}

struct Group : GroupServiceFixture {
    Group() { delegate.logged.clear(); }
    /// Fences the replicas as another host does that replaces the primary, and lets this host see it.
    void fence()
    {
        fences[TargetName("r")] = Term(2);
        fences[TargetName("s")] = Term(2);
        // The members are queried at least once each confirmationInterval.
        run(GroupService::confirmationInterval + 300ms);
    }
    /// The target s takes over in term 2.
    void promote()
    {
        fences.clear();
        primary = TargetName("s");
        term = Term(2);
        run(3s);
    }
    void submit(StatementKind kind, Consistency consistency = Consistency::Current)
    {
        auto pending = makeStatement(kind, consistency);
        pending.route.statementTimeout = 20s;
        pending.deadline = now + pending.route.statementTimeout;
        service.submit(now, pending);
    }
    [[nodiscard]] std::optional<FailureCode> failureCode() const
    {
        return failure() ? std::optional(failure()->code) : std::nullopt;
    }
    [[nodiscard]] bool hasSent(const TargetName& target) const
    {
        return std::any_of(statements.begin(), statements.end(),
            [&](const RecordingServiceDelegate::Sent& sent) { return delegate.targets.at(sent.connection) == target; });
    }
};

const TargetReply acknowledgement { Session::Success { "signed", {} }, TransactionState::Idle,
    LogPoint { Term(1), Position(11) }, {} };

} // namespace

// Guards against docs/incidents/returned-primary.md.
TEST_CASE("Nothing is sent to a primary that is being replaced", "[proxy][doubt]")
{
    Group group;
    group.leaseRow = replacingRow();
    group.fence();
    group.submit(StatementKind::Write);
    group.submit(StatementKind::Read);
    auto begin = group.makeStatement(StatementKind::Read, Consistency::Current);
    begin.startsTransaction = true;
    begin.deadline = group.now + 20s;
    group.service.submit(group.now, begin);
    group.run(500ms);
    CHECK(group.statements.empty());
    CHECK(group.delegate.countOf(LogEvent::PrimaryDoubted) == 1);

    SECTION("until the promoted target is seen, which is sent what waits")
    {
        group.promote();
        CHECK(group.statements.size() >= 2);
        CHECK(group.hasSent(TargetName("s")));
        CHECK_FALSE(group.hasSent(TargetName("p")));
    }
    SECTION("until the row shows that the replacement was given up")
    {
        group.leaseRow = {};
        group.run(ReplacementGuard::recheckInterval + 100ms);
        CHECK(group.hasSent(TargetName("p")));
    }
}

TEST_CASE(
    "Reads of replicas go on while the primary is being replaced as far as their staleness allows", "[proxy][doubt]")
{
    Group group;
    group.leaseRow = replacingRow();
    group.fence();
    group.submit(StatementKind::Read, Consistency::BoundedStaleness);
    group.run(10ms);
    CHECK(group.statements.size() == 1);
    group.run(1s);
    group.submit(StatementKind::Read, Consistency::BoundedStaleness);
    group.run(10ms);
    CHECK(group.statements.size() == 1);
}

// Guards against an acknowledgement that the caller relies on and that the promotion rolls back.
TEST_CASE("An acknowledgement of a primary that is being replaced is held", "[proxy][doubt]")
{
    Group group;
    group.submit(StatementKind::Write);
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);
    group.leaseRow = replacingRow();
    group.fence();
    group.reply(group.statements.front(), acknowledgement);
    group.run(100ms);
    CHECK(group.delegate.results.empty());
    CHECK(group.delegate.countOf(LogEvent::AcknowledgementHeld) == 1);

    SECTION("and its statement is in doubt once another target is primary")
    {
        group.promote();
        REQUIRE(group.delegate.results.size() == 1);
        CHECK(group.failureCode() == FailureCode::InDoubt);
    }
    SECTION("and passed on if the replacement was given up")
    {
        group.leaseRow = {};
        group.run(ReplacementGuard::recheckInterval + 100ms);
        REQUIRE(group.delegate.results.size() == 1);
        CHECK_FALSE(group.failure());
        CHECK(group.delegate.results.front().answer.position == acknowledgement.position);
    }
    SECTION("and its statement is in doubt, not refused, at its deadline")
    {
        group.run(20s);
        REQUIRE(group.delegate.results.size() == 1);
        CHECK(group.failureCode() == FailureCode::InDoubt);
    }
    SECTION("and forgotten with its caller")
    {
        group.service.abandon(group.now, PendingStatementId(1));
        group.promote();
        CHECK(group.delegate.results.empty());
    }
}

// Guards against a host on the primary's side of a partition: it sees no fence, and a replica that has just started
// acknowledges with the primary after the fences were counted (review/7).
TEST_CASE(
    "An acknowledgement is held until a read of the row if no member shows that there is no fence", "[proxy][doubt]")
{
    Group group;
    group.run(ReplacementGuard::successorTimeout);
    group.submit(StatementKind::Write);
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);
    group.unresponsive = { TargetName("r"), TargetName("s") };
    group.run(3s);

    SECTION("and passed on if nothing is replaced")
    {
        group.reply(group.statements.front(), acknowledgement);
        CHECK(group.delegate.results.empty());
        group.run(20ms);
        REQUIRE(group.delegate.results.size() == 1);
        CHECK_FALSE(group.failure());
    }
    SECTION("and kept while a replacement may have been called for")
    {
        group.leaseRow = replacingRow();
        group.reply(group.statements.front(), acknowledgement);
        group.run(500ms);
        CHECK(group.delegate.results.empty());
        group.unresponsive.clear();
        group.promote();
        REQUIRE(group.delegate.results.size() == 1);
        CHECK(group.failureCode() == FailureCode::InDoubt);
    }
    SECTION("also if a member answers that has just been listed")
    {
        group.records.push_back(group.records.back());
        group.records.back().name = TargetName("j");
        group.records.back().address.port = 9;
        group.service.setMembers(group.now, group.records);
        group.run(300ms);
        group.leaseRow = replacingRow();
        group.reply(group.statements.front(), acknowledgement);
        group.run(300ms);
        CHECK(group.delegate.results.empty());
    }
    SECTION("but passed on at once when a member answers again")
    {
        group.unresponsive.clear();
        group.run(2s);
        group.reply(group.statements.front(), acknowledgement);
        CHECK(group.delegate.results.size() == 1);
    }
}

TEST_CASE("The commit of a transaction on a primary that is being replaced is refused as rolled back", "[proxy][doubt]")
{
    Group group;
    auto first = group.makeStatement(StatementKind::Write, Consistency::Current);
    first.startsTransaction = true;
    first.session = SessionId(7);
    group.service.submit(group.now, first);
    group.run(300ms);
    REQUIRE(group.statements.size() == 1);
    const auto connection = group.statements.front().connection;
    group.reply(group.statements.front(),
        { Session::Success {}, TransactionState::Open, LogPoint { Term(1), Position(10) }, {} });
    REQUIRE(group.delegate.results.size() == 1);

    group.leaseRow = replacingRow();
    group.fence();
    auto commit = group.makeStatement(StatementKind::Commit, Consistency::Current);
    commit.session = SessionId(7);
    commit.isInTransaction = true;
    commit.access = Session::Access::Write;
    CHECK(group.service.submitPinned(group.now, commit, connection));
    REQUIRE(group.delegate.results.size() == 2);
    CHECK(group.failureCode() == FailureCode::Aborted);
    CHECK_FALSE(group.delegate.results.back().pinned);
    const auto& sent = group.delegate.sent;
    CHECK(std::any_of(sent.begin(), sent.end(), [&](const RecordingServiceDelegate::Sent& request) {
        return request.connection == connection && std::holds_alternative<RollbackTransaction>(request.request);
    }));
}

TEST_CASE("A host that can't read the row uses a primary again within the time bound", "[proxy][doubt]")
{
    Group group;
    group.run(1s);
    group.service.resumedAfterPause(group.now);
    group.submit(StatementKind::Write);
    group.isStoreAnswering = false;
    group.run(ReplacementGuard::unreadableTimeout - 500ms);
    CHECK(group.statements.empty());
    group.run(2s);
    CHECK(group.hasSent(TargetName("p")));
}

// A holder that dies after its call, which is never carried out, must not stop the group.
TEST_CASE("A host takes part in a replacement that does not come", "[proxy][doubt]")
{
    Group group;
    group.leaseRow = replacingRow();
    group.fence();
    group.run(ReplacementGuard::overdueTimeout);
    CHECK(group.service.watcher().failoverReason(group.now) == FailoverReason::Doubted);
    CHECK(group.service.promotion().isReplacing());
}
