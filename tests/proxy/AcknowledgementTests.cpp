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
    Group()
    {
        run(1s);
        delegate.logged.clear();
    }
    /// The replica r announces its shutdown, so that another target may start in its place.
    void unsettle()
    {
        records[1].isLeaving = true;
        service.setMembers(now, records);
    }
    void acknowledgeWrite()
    {
        service.submit(now, makeStatement(StatementKind::Write, Consistency::Current));
        run(20ms);
        REQUIRE(statements.size() == 1);
        reply(statements[0],
            { Session::Success { "signed", {} }, TransactionState::Idle, LogPoint { Term(1), Position(11) }, {} });
    }
    void receive(const char* target) { ends[TargetName(target)] = Position(11); }
    [[nodiscard]] bool isAnswered() const { return !delegate.results.empty(); }
};

} // namespace

// Guards against lost commits: a replica that no host lists may have acknowledged, and no promotion would fence it.
TEST_CASE("While members change, an acknowledgement is passed on once a member that counts has the commit",
    "[proxy][service][acknowledgement]")
{
    Group group;
    group.unsettle();
    group.acknowledgeWrite();
    CHECK_FALSE(group.isAnswered());
    CHECK(group.delegate.countOf(LogEvent::AcknowledgementHeld) == 1);

    SECTION("a replica that stays")
    {
        group.receive("s");
        group.run(300ms);
        REQUIRE(group.isAnswered());
        CHECK_FALSE(group.failure());
    }
    SECTION("a replica that leaves, which counts until its log is elsewhere")
    {
        group.receive("r");
        group.run(300ms);
        REQUIRE(group.isAnswered());
        CHECK_FALSE(group.failure());
    }
    SECTION("and is in doubt when none gets it in time")
    {
        group.run(1s);
        REQUIRE(group.failure());
        CHECK(group.failure()->code == FailureCode::InDoubt);
    }
    SECTION("not by a target that has just been listed")
    {
        group.records.emplace_back().name = TargetName("u");
        group.records.back().address = { "10.0.0.1", 9 };
        group.receive("u");
        group.service.setMembers(group.now, group.records);
        group.run(500ms);
        CHECK_FALSE(group.isAnswered());
    }
}

TEST_CASE("In a settled group an acknowledgement is passed on at once", "[proxy][service][acknowledgement]")
{
    Group group;
    group.acknowledgeWrite();
    REQUIRE(group.isAnswered());
    CHECK_FALSE(group.failure());
}

TEST_CASE(
    "A commit that an unlisted replica may have acknowledged confirms no read", "[proxy][service][acknowledgement]")
{
    Group group;
    group.unsettle();
    group.acknowledgeWrite();
    CHECK(group.service.watcher().confirmations().newestSource() == ConfirmationSource::Members);
}
