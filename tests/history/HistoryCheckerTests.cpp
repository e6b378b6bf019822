#include "load/HistoryChecker.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Load;
using std::chrono::milliseconds;

namespace {

const DatabaseName database("sizing-core-1");

Instant at(int count)
{
    return Instant(milliseconds(count));
}

HistoryEvent event(std::uint64_t session, bool isWrite, int invoked, int completed)
{
    HistoryEvent event;
    event.session = SessionNumber(session);
    event.kind = isWrite ? "save" : "browse";
    event.isWrite = isWrite;
    event.database = database;
    event.item = 7;
    event.invoked = at(invoked);
    event.completed = at(completed);
    event.outcome = Outcome::Done;
    return event;
}

HistoryEvent write(std::uint64_t session, const std::string& fact, int invoked, int completed)
{
    auto result = event(session, true, invoked, completed);
    result.fact = Fact(fact);
    return result;
}

HistoryEvent read(std::uint64_t session, std::vector<Fact> facts, int invoked, int completed)
{
    auto result = event(session, false, invoked, completed);
    result.facts = std::move(facts);
    return result;
}

FinalLogs logs(LogFacts facts)
{
    return { { database, std::move(facts) } };
}

std::vector<Rule> broken(const std::vector<HistoryEvent>& history, const FinalLogs& finalLogs)
{
    std::vector<Rule> rules;
    for (const auto& violation : checkHistory(history, finalLogs))
        rules.push_back(violation.rule);
    return rules;
}

} // namespace

TEST_CASE("a history that keeps every rule has no violation", "[history]")
{
    auto refused = write(2, "b", 10, 20);
    refused.outcome = Outcome::NotRun;
    auto lost = write(3, "c", 10, 20);
    lost.outcome = Outcome::Unknown;
    auto browse = read(4, {}, 40, 45);
    browse.maxAge = milliseconds(100);
    browse.age = milliseconds(50);
    const std::vector<HistoryEvent> history { write(1, "a", 0, 20), refused, lost, browse,
        read(1, { Fact("a") }, 30, 35) };
    CHECK(broken(history, logs({ { Fact("a"), 1 } })).empty());
    CHECK(broken(history, logs({ { Fact("a"), 1 }, { Fact("c"), 1 } })).empty());
    CHECK(broken(history, logs({ { Fact("a"), 1 }, { Fact("of an earlier run"), 2 } })).empty());
}

TEST_CASE("a write is held against the final log", "[history]")
{
    auto save = write(1, "a", 0, 20);
    SECTION("an acknowledged write that is absent is lost")
    {
        CHECK(broken({ save }, logs({})) == std::vector { Rule::LostWrite });
        CHECK(broken({ save }, {}) == std::vector { Rule::LostWrite });
    }
    SECTION("an acknowledged write in another database's log only is lost")
    {
        const FinalLogs other { { DatabaseName("sizing-core-2"), { { Fact("a"), 1 } } } };
        CHECK(broken({ save }, other) == std::vector { Rule::LostWrite });
    }
    SECTION("a write that is twice in the log is doubled, whatever was answered")
    {
        CHECK(broken({ save }, logs({ { Fact("a"), 2 } })) == std::vector { Rule::DoubledWrite });
        save.outcome = Outcome::Unknown;
        CHECK(broken({ save }, logs({ { Fact("a"), 2 } })) == std::vector { Rule::DoubledWrite });
    }
    SECTION("a write in the logs of two databases is doubled")
    {
        auto both = logs({ { Fact("a"), 1 } });
        both[DatabaseName("sizing-core-2")] = { { Fact("a"), 1 } };
        CHECK(broken({ save }, both) == std::vector { Rule::DoubledWrite });
    }
    SECTION("a write that was refused as not run must be absent")
    {
        save.outcome = Outcome::NotRun;
        CHECK(broken({ save }, logs({ { Fact("a"), 1 } })) == std::vector { Rule::RanDespiteNotRun });
    }
    SECTION("a write of unknown outcome may be there or not")
    {
        save.outcome = Outcome::Unknown;
        CHECK(broken({ save }, logs({})).empty());
        CHECK(broken({ save }, logs({ { Fact("a"), 1 } })).empty());
    }
}

TEST_CASE("a session reads its own acknowledged writes", "[history]")
{
    const auto finalLogs = logs({ { Fact("a"), 1 } });
    const auto save = write(1, "a", 0, 20);
    SECTION("a later read of the session without the fact breaks the rule, also where it states an age")
    {
        auto browse = read(1, {}, 21, 25);
        CHECK(broken({ save, browse }, finalLogs) == std::vector { Rule::ReadYourWrites });
        browse.maxAge = milliseconds(10'000);
        CHECK(broken({ save, browse }, finalLogs) == std::vector { Rule::ReadYourWrites });
    }
    SECTION("the order of lines doesn't matter")
    {
        CHECK(broken({ read(1, {}, 21, 25), save }, finalLogs) == std::vector { Rule::ReadYourWrites });
    }
    SECTION("a read that was invoked before the acknowledgement, of another session or of another item may miss it")
    {
        auto other = read(1, {}, 21, 25);
        other.item = 8;
        CHECK(broken({ save, read(1, {}, 19, 30), read(2, {}, 21, 25), other }, finalLogs).empty());
    }
    SECTION("a read without an answer is not checked")
    {
        auto refused = read(1, {}, 21, 25);
        refused.outcome = Outcome::NotRun;
        CHECK(broken({ save, refused }, finalLogs).empty());
    }
}

TEST_CASE("a read is as fresh as was stated and answered", "[history]")
{
    const auto finalLogs = logs({ { Fact("a"), 1 } });
    const auto save = write(1, "a", 0, 20);
    auto browse = read(2, {}, 120, 130);
    SECTION("a fact older than the stated age is there")
    {
        browse.maxAge = milliseconds(99);
        CHECK(broken({ save, browse }, finalLogs) == std::vector { Rule::StaleRead });
        browse.maxAge = milliseconds(100);
        CHECK(broken({ save, browse }, finalLogs).empty());
    }
    SECTION("a fact older than the answer's own age is there")
    {
        browse.age = milliseconds(99);
        CHECK(broken({ save, browse }, finalLogs) == std::vector { Rule::StaleRead });
        browse.age = milliseconds(100);
        CHECK(broken({ save, browse }, finalLogs).empty());
    }
    SECTION("a read of age 0 sees every fact that was acknowledged before it")
    {
        browse.maxAge = milliseconds(0);
        CHECK(broken({ save, browse }, finalLogs) == std::vector { Rule::StaleRead });
    }
    SECTION("the answer's age is within the stated one")
    {
        browse.facts = { Fact("a") };
        browse.maxAge = milliseconds(50);
        browse.age = milliseconds(51);
        CHECK(broken({ save, browse }, finalLogs) == std::vector { Rule::AgeExceeded });
        browse.age = milliseconds(50);
        CHECK(broken({ save, browse }, finalLogs).empty());
    }
    SECTION("the age of a read as of now is no more than the read took, rounded up")
    {
        browse.facts = { Fact("a") };
        browse.maxAge = milliseconds(0);
        browse.age = milliseconds(11);
        CHECK(broken({ save, browse }, finalLogs).empty());
        browse.age = milliseconds(12);
        CHECK(broken({ save, browse }, finalLogs) == std::vector { Rule::AgeExceeded });
    }
}

TEST_CASE("a read returns facts of its own item that were written", "[history]")
{
    const auto finalLogs = logs({ { Fact("a"), 1 } });
    auto save = write(1, "a", 50, 60);
    SECTION("a fact can't be read before its write was invoked")
    {
        CHECK(broken({ save, read(2, { Fact("a") }, 10, 20) }, finalLogs) == std::vector { Rule::ReadBeforeWrite });
    }
    SECTION("a fact of a write that was not run can't be read")
    {
        save.outcome = Outcome::NotRun;
        CHECK(broken({ save, read(2, { Fact("a") }, 70, 80) }, logs({})) == std::vector { Rule::ReadOfNotRun });
    }
    SECTION("a fact of another item belongs to another answer")
    {
        auto mixed = read(2, { Fact("a") }, 70, 80);
        mixed.item = 8;
        CHECK(broken({ save, mixed }, finalLogs) == std::vector { Rule::MixedAnswer });
    }
}

TEST_CASE("an event reads back as it was written", "[history]")
{
    auto browse = read(2, { Fact("a"), Fact("b") }, 120, 130);
    browse.outcome = Outcome::Unknown;
    browse.maxAge = milliseconds(50);
    browse.code = "no_answer";
    browse.host = HostName("host-1");
    const auto line = browse.toLine();
    const auto again = HistoryEvent::fromLine(line);
    REQUIRE(again);
    CHECK(again->toLine() == line);
    CHECK(again->facts == browse.facts);
    CHECK(again->outcome == Outcome::Unknown);
    CHECK(again->maxAge == browse.maxAge);
    CHECK_FALSE(again->age);
    CHECK_FALSE(HistoryEvent::fromLine("{\"session\":1}"));
    CHECK_FALSE(HistoryEvent::fromLine("{"));
}

TEST_CASE("the log's facts are counted by their parameters", "[history]")
{
    const auto facts = readLogFacts(R"json({"entries":[{"term":1,"position":1,"statements":[]},
        {"term":1,"position":2,"statements":[
            {"sql":"INSERT INTO auburnpost_outcomes (outcome_key) VALUES ($1)","parameters":["a"]},
            {"sql":"INSERT INTO load_facts(item, fact) VALUES($1, $2)","parameters":[7,"a"]}]},
        {"term":1,"position":3,"statements":[
            {"sql":"INSERT INTO load_facts(item, fact) VALUES($1, $2)","parameters":[7,"a"]}]}]})json");
    REQUIRE(facts);
    CHECK(*facts == LogFacts { { Fact("a"), 2 } });
    CHECK_FALSE(readLogFacts("{}"));
}
