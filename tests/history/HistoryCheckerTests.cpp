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

FinalLogs finalLogsOf(LogFacts facts)
{
    return { { database, std::move(facts) } };
}

std::vector<Rule> violatedRules(const std::vector<HistoryEvent>& history, const FinalLogs& finalLogs)
{
    std::vector<Rule> rules;
    for (const auto& violation : checkHistory(history, finalLogs))
        rules.push_back(violation.rule);
    return rules;
}

} // namespace

TEST_CASE("a history that satisfies every rule has no violations", "[history]")
{
    auto refused = write(2, "b", 10, 20);
    refused.outcome = Outcome::NotRun;
    auto unanswered = write(3, "c", 10, 20);
    unanswered.outcome = Outcome::Unknown;
    auto browse = read(4, {}, 40, 45);
    browse.maxAge = milliseconds(100);
    browse.age = milliseconds(50);
    const std::vector<HistoryEvent> history { write(1, "a", 0, 20), refused, unanswered, browse,
        read(1, { Fact("a") }, 30, 35) };
    CHECK(violatedRules(history, finalLogsOf({ { Fact("a"), 1 } })).empty());
    CHECK(violatedRules(history, finalLogsOf({ { Fact("a"), 1 }, { Fact("c"), 1 } })).empty());
    CHECK(violatedRules(history, finalLogsOf({ { Fact("a"), 1 }, { Fact("of an earlier run"), 2 } })).empty());
}

TEST_CASE("the outcome of each write is compared with the final logs", "[history]")
{
    auto save = write(1, "a", 0, 20);
    SECTION("an acknowledged write that is in no log is lost")
    {
        CHECK(violatedRules({ save }, finalLogsOf({})) == std::vector { Rule::LostWrite });
        CHECK(violatedRules({ save }, {}) == std::vector { Rule::LostWrite });
    }
    SECTION("an acknowledged write that is only in the log of another database is lost")
    {
        const FinalLogs other { { DatabaseName("sizing-core-2"), { { Fact("a"), 1 } } } };
        CHECK(violatedRules({ save }, other) == std::vector { Rule::LostWrite });
    }
    SECTION("a write that is twice in the log is doubled, whatever its outcome")
    {
        CHECK(violatedRules({ save }, finalLogsOf({ { Fact("a"), 2 } })) == std::vector { Rule::DoubledWrite });
        save.outcome = Outcome::Unknown;
        CHECK(violatedRules({ save }, finalLogsOf({ { Fact("a"), 2 } })) == std::vector { Rule::DoubledWrite });
    }
    SECTION("a write in the final logs of two databases is doubled")
    {
        auto both = finalLogsOf({ { Fact("a"), 1 } });
        both[DatabaseName("sizing-core-2")] = { { Fact("a"), 1 } };
        CHECK(violatedRules({ save }, both) == std::vector { Rule::DoubledWrite });
    }
    SECTION("a write answered as not run must not be in the log")
    {
        save.outcome = Outcome::NotRun;
        CHECK(violatedRules({ save }, finalLogsOf({ { Fact("a"), 1 } })) == std::vector { Rule::RanDespiteNotRun });
    }
    SECTION("a write of unknown outcome may be in the log or not")
    {
        save.outcome = Outcome::Unknown;
        CHECK(violatedRules({ save }, finalLogsOf({})).empty());
        CHECK(violatedRules({ save }, finalLogsOf({ { Fact("a"), 1 } })).empty());
    }
}

TEST_CASE("a session reads its own acknowledged writes", "[history]")
{
    const auto finalLogs = finalLogsOf({ { Fact("a"), 1 } });
    const auto save = write(1, "a", 0, 20);
    SECTION("a later read of the session that misses the fact is a violation, also when the read states a maximum age")
    {
        auto browse = read(1, {}, 21, 25);
        CHECK(violatedRules({ save, browse }, finalLogs) == std::vector { Rule::ReadYourWrites });
        browse.maxAge = milliseconds(10'000);
        CHECK(violatedRules({ save, browse }, finalLogs) == std::vector { Rule::ReadYourWrites });
    }
    SECTION("the order of the events in the history does not matter")
    {
        CHECK(violatedRules({ read(1, {}, 21, 25), save }, finalLogs) == std::vector { Rule::ReadYourWrites });
    }
    SECTION("a read invoked before the acknowledgement, by another session or for another item may miss the fact")
    {
        auto other = read(1, {}, 21, 25);
        other.item = 8;
        CHECK(violatedRules({ save, read(1, {}, 19, 30), read(2, {}, 21, 25), other }, finalLogs).empty());
    }
    SECTION("a read that was not run is not checked")
    {
        auto refused = read(1, {}, 21, 25);
        refused.outcome = Outcome::NotRun;
        CHECK(violatedRules({ save, refused }, finalLogs).empty());
    }
}

TEST_CASE("a read is at least as fresh as its stated and its answered age", "[history]")
{
    const auto finalLogs = finalLogsOf({ { Fact("a"), 1 } });
    const auto save = write(1, "a", 0, 20);
    auto browse = read(2, {}, 120, 130);
    SECTION("a read must return each fact older than its stated maximum age")
    {
        browse.maxAge = milliseconds(99);
        CHECK(violatedRules({ save, browse }, finalLogs) == std::vector { Rule::StaleRead });
        browse.maxAge = milliseconds(100);
        CHECK(violatedRules({ save, browse }, finalLogs).empty());
    }
    SECTION("a read must return each fact older than the age in its answer")
    {
        browse.age = milliseconds(99);
        CHECK(violatedRules({ save, browse }, finalLogs) == std::vector { Rule::StaleRead });
        browse.age = milliseconds(100);
        CHECK(violatedRules({ save, browse }, finalLogs).empty());
    }
    SECTION("a read with maximum age 0 must return every fact acknowledged before its invocation")
    {
        browse.maxAge = milliseconds(0);
        CHECK(violatedRules({ save, browse }, finalLogs) == std::vector { Rule::StaleRead });
    }
    SECTION("the age in the answer must not exceed the stated maximum age")
    {
        browse.facts = { Fact("a") };
        browse.maxAge = milliseconds(50);
        browse.age = milliseconds(51);
        CHECK(violatedRules({ save, browse }, finalLogs) == std::vector { Rule::AgeExceeded });
        browse.age = milliseconds(50);
        CHECK(violatedRules({ save, browse }, finalLogs).empty());
    }
    SECTION(
        "the age of a read with maximum age 0 is at most the duration of the read, rounded up to whole milliseconds")
    {
        browse.facts = { Fact("a") };
        browse.maxAge = milliseconds(0);
        browse.age = milliseconds(11);
        CHECK(violatedRules({ save, browse }, finalLogs).empty());
        browse.age = milliseconds(12);
        CHECK(violatedRules({ save, browse }, finalLogs) == std::vector { Rule::AgeExceeded });
    }
}

TEST_CASE("a read returns only facts that were written to its own item", "[history]")
{
    const auto finalLogs = finalLogsOf({ { Fact("a"), 1 } });
    auto save = write(1, "a", 50, 60);
    SECTION("a fact can't be read before its write was invoked")
    {
        CHECK(violatedRules({ save, read(2, { Fact("a") }, 10, 20) }, finalLogs)
            == std::vector { Rule::ReadBeforeWrite });
    }
    SECTION("a fact of a write answered as not run can't be read")
    {
        save.outcome = Outcome::NotRun;
        CHECK(violatedRules({ save, read(2, { Fact("a") }, 70, 80) }, finalLogsOf({}))
            == std::vector { Rule::ReadOfNotRun });
    }
    SECTION("a fact of another item means that answers were mixed up")
    {
        auto mixed = read(2, { Fact("a") }, 70, 80);
        mixed.item = 8;
        CHECK(violatedRules({ save, mixed }, finalLogs) == std::vector { Rule::MixedAnswer });
    }
}

TEST_CASE("an event survives conversion to a line and back", "[history]")
{
    auto browse = read(2, { Fact("a"), Fact("b") }, 120, 130);
    browse.outcome = Outcome::Unknown;
    browse.maxAge = milliseconds(50);
    browse.code = "no_answer";
    browse.host = HostName("host-1");
    const auto line = browse.toLine();
    const auto parsed = HistoryEvent::fromLine(line);
    REQUIRE(parsed);
    CHECK(parsed->toLine() == line);
    CHECK(parsed->facts == browse.facts);
    CHECK(parsed->outcome == Outcome::Unknown);
    CHECK(parsed->maxAge == browse.maxAge);
    CHECK_FALSE(parsed->age);
    CHECK_FALSE(HistoryEvent::fromLine("{\"session\":1}"));
    CHECK_FALSE(HistoryEvent::fromLine("{"));
}

TEST_CASE("facts in a log are counted by the parameters of their insert statements", "[history]")
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
