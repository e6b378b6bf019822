#include "proxy/GroupServiceFixture.h"
#include "proxy/PrimaryAbsence.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

TEST_CASE("A group that gets no primary says once in a while which step and which members it waits for",
    "[proxy][service][absence]")
{
    GroupServiceFixture group;
    CHECK(group.service.primaryAbsence().length(group.now) == Duration {});
    group.unresponsive = { TargetName("p"), TargetName("r") };

    SECTION("a short absence is not reported")
    {
        group.run(2s);
        CHECK(group.service.primaryAbsence().length(group.now) > Duration {});
        CHECK(group.delegate.countOf(LogEvent::PrimaryAbsent) == 0);
    }
    SECTION("a long one is reported at intervals, with what is missing")
    {
        group.run(PrimaryAbsence::reportAfter + 2s);
        CHECK(group.delegate.countOf(LogEvent::PrimaryAbsent) == 1);
        group.run(PrimaryAbsence::reportInterval);
        CHECK(group.delegate.countOf(LogEvent::PrimaryAbsent) == 2);
        const auto missing = PrimaryAbsence::describeMissing(group.now, group.service.watcher());
        CHECK(missing == "p/1.10/silent,r/1.10/silent");
    }
    SECTION("it ends when the primary is used again")
    {
        group.run(PrimaryAbsence::reportAfter + 2s);
        group.unresponsive.clear();
        group.run(2s);
        CHECK(group.service.primaryAbsence().length(group.now) == Duration {});
    }
}

TEST_CASE("The log of a write shows how old the confirmation was on which it was sent to the primary",
    "[proxy][service][absence]")
{
    GroupServiceFixture group;
    group.run(400ms);
    group.service.submit(group.now, group.makeStatement(Session::StatementKind::Write, Consistency::ReadYourWrites));
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);
    group.reply(group.statements[0],
        { Session::Success { "signed", {} }, Session::TransactionState::Idle, LogPoint { Term(1), Position(11) }, {} });
    REQUIRE(group.delegate.results.size() == 1);
    const auto& evidence = group.delegate.results[0].primaryEvidence;
    REQUIRE(evidence);
    CHECK(evidence->confirmedAfter);
    CHECK(evidence->source == ConfirmationSource::Members);
}
