#include "proxy/GroupServiceFixture.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;
using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

namespace {

/// A group whose primary acknowledges a commit at 1.11.
struct Group : GroupServiceFixture {
    Group() { run(1s); }
    void setLeaving(bool isLeaving)
    {
        records[1].isLeaving = isLeaving;
        service.setMembers(now, records);
    }
    void send()
    {
        service.submit(now, makeStatement(StatementKind::Write, Consistency::Current));
        run(20ms);
        REQUIRE(statements.size() == 1);
    }
    void acknowledge()
    {
        reply(statements[0],
            { Session::Success { "signed", {} }, TransactionState::Idle, LogPoint { Term(1), Position(11) }, {} });
    }
    [[nodiscard]] bool isPassedOn() const { return !delegate.results.empty() && !failure(); }
};

} // namespace

TEST_CASE("An acknowledgement of an earlier term is not passed on when the same target leads again",
    "[proxy][service][ackevidence]")
{
    Group group;
    group.setLeaving(true);
    group.send();
    group.acknowledge();
    REQUIRE_FALSE(group.isPassedOn());
    group.term = Term(3);
    group.run(200ms);
    group.setLeaving(false);
    group.run(300ms);
    REQUIRE(group.service.watcher().primaryTerm() == Term(3));
    CHECK_FALSE(group.isPassedOn());
}

TEST_CASE("A member whose record has gone does not stand for one that every promotion counts",
    "[proxy][service][ackevidence]")
{
    Group group;
    group.records.erase(group.records.begin() + 1);
    group.service.setMembers(group.now, group.records);
    group.run(100ms);
    group.send();
    group.ends[TargetName("r")] = Position(11);
    group.acknowledge();
    group.run(300ms);
    CHECK_FALSE(group.isPassedOn());
}

TEST_CASE("An acknowledgement is not passed on at once when every replica that counts is down",
    "[proxy][service][ackevidence]")
{
    Group group;
    group.send();
    group.unresponsive = { TargetName("r"), TargetName("s") };
    for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count) {
        const auto targets = group.delegate.targets;
        for (const auto& [id, target] : targets) {
            if (group.unresponsive.contains(target))
                group.service.connectionRefused(group.now, id, FailureCode::Failed);
        }
        group.run(300ms);
    }
    const auto& watcher = group.service.watcher();
    REQUIRE(watcher.find(TargetName("r"))->health.isRefusing());
    REQUIRE(watcher.find(TargetName("s"))->health.isRefusing());
    group.acknowledge();
    CHECK_FALSE(group.isPassedOn());
}

TEST_CASE("A write without synchronous replicas is sent while one of two replicas does not answer",
    "[proxy][service][ackevidence]")
{
    Group group;
    group.service.setRules({ 50, 0 });
    group.unresponsive = { TargetName("s") };
    group.run(1s);
    group.service.submit(group.now, group.makeStatement(StatementKind::Write, Consistency::Current));
    group.run(300ms);
    CHECK(group.statements.size() == 1);
}

TEST_CASE("A host with an old list of members does not take the group for settled", "[proxy][service][ackevidence]")
{
    Group group;
    TableOrigin origin;
    origin.confirmedAt = group.now;
    group.service.setListOrigin(origin);
    group.run(ReplacementGuard::successorTimeout);
    group.send();
    group.acknowledge();
    CHECK_FALSE(group.isPassedOn());

    SECTION("and passes an acknowledgement on once a replica has the commit")
    {
        group.ends[TargetName("r")] = Position(11);
        group.ends[TargetName("s")] = Position(11);
        group.run(300ms);
        CHECK(group.isPassedOn());
    }
}
