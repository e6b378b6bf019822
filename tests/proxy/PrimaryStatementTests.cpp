#include "proxy/GroupServiceFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;
using Session::StatementKind;

namespace {

PendingStatement makeBegin(GroupServiceFixture& group, StatementKind first, Consistency consistency)
{
    auto pending = group.makeStatement(first, consistency);
    pending.startsTransaction = true;
    return pending;
}

/// @return the requests of callers among those that were sent and not answered yet.
std::ptrdiff_t countCallersRequests(const GroupServiceFixture& group)
{
    return std::count_if(group.delegate.sent.begin(), group.delegate.sent.end(), [](const auto& sent) {
        return std::holds_alternative<RunStatement>(sent.request)
            || std::holds_alternative<BeginTransaction>(sent.request);
    });
}

} // namespace

TEST_CASE("Nothing runs at a primary that was replaced after the host last confirmed it", "[proxy][service][stale]")
{
    GroupServiceFixture group;
    // The newest confirmation and status are older than the statement, and other hosts use the successor meanwhile.
    group.run(400ms);
    const auto consistency = GENERATE(Consistency::Current, Consistency::ReadYourWrites, Consistency::BoundedStaleness);

    SECTION("a write")
    {
        group.service.submit(group.now, group.makeStatement(StatementKind::Write, consistency));
    }
    SECTION("a transaction that begins with a read")
    {
        group.service.submit(group.now, makeBegin(group, StatementKind::Read, consistency));
    }
    SECTION("a transaction that begins with a write")
    {
        group.service.submit(group.now, makeBegin(group, StatementKind::Write, consistency));
    }
    CHECK(countCallersRequests(group) == 0);
    group.fences = { { TargetName("r"), Term(2) }, { TargetName("s"), Term(2) } };
    // The lease shows a replacement, so that the doubt that the fences raise is not resolved.
    group.leaseRow.lease = PromotionLease { HostName("other"), 1'000'000, {} };
    for (int tick = 0; tick < 20; ++tick) {
        CHECK(countCallersRequests(group) == 0);
        group.run(10ms);
    }
    CHECK(group.statements.empty());
}

TEST_CASE("A statement that only the primary runs is sent once the primary is confirmed as of its arrival",
    "[proxy][service][stale]")
{
    GroupServiceFixture group;
    group.run(400ms);
    const auto consistency = GENERATE(Consistency::Current, Consistency::ReadYourWrites, Consistency::BoundedStaleness);

    SECTION("a write")
    {
        group.service.submit(group.now, group.makeStatement(StatementKind::Write, consistency));
    }
    SECTION("a transaction")
    {
        group.service.submit(group.now, makeBegin(group, StatementKind::Read, consistency));
    }
    group.run(50ms);
    REQUIRE(group.statements.size() == 1);
    CHECK(group.delegate.targets.at(group.statements[0].connection) == TargetName("p"));
}

TEST_CASE("A host that reaches the primary and no other member serves writes on the word of the lease's row",
    "[proxy][service][stale]")
{
    GroupServiceFixture group;
    group.unresponsive = { TargetName("r"), TargetName("s") };
    group.run(1500ms);
    REQUIRE_FALSE(group.service.watcher().canMembersConfirm(group.now));
    auto write = group.makeStatement(StatementKind::Write, Consistency::ReadYourWrites);

    SECTION("if it shows no replacement")
    {
        group.service.submit(group.now, write);
        group.run(300ms);
        CHECK(group.statements.size() == 1);
    }
    SECTION("not if another host may replace the primary")
    {
        group.leaseRow.lease = PromotionLease { HostName("other"), 1'000'000, {} };
        group.service.submit(group.now, write);
        group.run(700ms);
        CHECK(group.statements.empty());
    }
    SECTION("not if a call for its replacement is on record, however old")
    {
        group.leaseRow.storeNowMs = 900'000;
        group.leaseRow.lease
            = PromotionLease { HostName("other"), 0, PendingPromotion { TargetName("s"), Term(1), 1000, false } };
        group.service.submit(group.now, write);
        group.run(700ms);
        CHECK(group.statements.empty());
    }
    SECTION("not if the store does not answer")
    {
        group.isStoreAnswering = false;
        group.service.submit(group.now, write);
        group.run(700ms);
        CHECK(group.statements.empty());
    }
}
