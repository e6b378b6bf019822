#include "load/Arrivals.h"
#include "load/CallerClient.h"
#include "load/GroupView.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Auburnpost;
using namespace Auburnpost::Load;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t seed = 20261204;

Workload workload(const std::string& mix)
{
    WorkloadSettings settings;
    settings.organisations = { { OrganisationName("kandy-tailors"), "demo", { DatabaseName("sizing-core-1") } } };
    settings.run = "run";
    settings.sessions = 5;
    settings.requestsPerSession = 3;
    return { *Mix::find(mix), settings };
}

std::size_t arrivalsIn(const Arrivals& arrivals, Instant from, Instant until)
{
    RandomEngine random(seed);
    std::size_t count = 0;
    for (auto arrival = arrivals.next(from, random); arrival < until; arrival = arrivals.next(arrival, random))
        ++count;
    return count;
}

} // namespace

TEST_CASE("arrivals keep the configured rate and increase by the surge factor during a surge", "[workload]")
{
    const Instant begin;
    const Arrivals steady(begin, 100);
    CHECK(arrivalsIn(steady, begin, begin + seconds(100)) == Approx(10'000).epsilon(0.05));
    const Arrivals surging(begin, 100, { seconds(10), seconds(10), 5 });
    CHECK(arrivalsIn(surging, begin, begin + seconds(10)) == Approx(1'000).epsilon(0.15));
    CHECK(arrivalsIn(surging, begin + seconds(10), begin + seconds(20)) == Approx(5'000).epsilon(0.1));
}

TEST_CASE("a session has at most one request in flight and sends its latest token", "[workload]")
{
    RandomEngine random(seed);
    auto load = workload("ranwala");
    std::set<SessionNumber> busySessions;
    std::set<Fact> facts;
    std::vector<Operation> inFlight;
    for (int count = 0; count < 500; ++count) {
        auto operation = load.next(Instant(milliseconds(count)), random);
        CHECK(busySessions.insert(operation.event.session).second);
        if (operation.event.isWrite)
            CHECK(facts.insert(operation.event.fact).second);
        if (!operation.token.empty())
            CHECK(operation.token == "token-" + std::to_string(operation.event.session.value()));
        inFlight.push_back(operation);
        if (inFlight.size() < 3)
            continue;
        const auto done = inFlight.front();
        inFlight.erase(inFlight.begin());
        load.completeRequest(done.event, "token-" + std::to_string(done.event.session.value()));
        busySessions.erase(done.event.session);
    }
}

TEST_CASE("a profile save has an idempotency key, and a posting or a read has none", "[workload]")
{
    RandomEngine random(seed);
    auto load = workload("smokewatch");
    for (int count = 0; count < 200; ++count) {
        const auto operation = load.next(Instant(), random);
        CHECK(operation.event.key.empty());
        load.completeRequest(operation.event, "");
    }
    auto keyed = workload("ranwala");
    for (int count = 0; count < 200; ++count) {
        const auto operation = keyed.next(Instant(), random);
        CHECK(operation.event.key.empty() != operation.event.isWrite);
        keyed.completeRequest(operation.event, "");
    }
}

TEST_CASE("an HTTP answer is converted to outcome, facts and age", "[caller]")
{
    HistoryEvent read;
    read.item = 7;
    HttpAnswer answer { 200, { { "Auburnpost-Age-Ms", "12" } },
        R"({"columns":[],"rows":[[7,"a"]],"rows_affected":0})" };
    SECTION("a complete answer contains its facts and its age")
    {
        const auto reply = CallerReply::read(answer, read);
        CHECK(reply.outcome == Outcome::Done);
        CHECK_FALSE(reply.malformed);
        CHECK(reply.facts == std::vector { Fact("a") });
        CHECK(reply.age == milliseconds(12));
    }
    SECTION("rows of another item and a truncated body make an answer malformed")
    {
        read.item = 8;
        CHECK(CallerReply::read(answer, read).malformed);
        read.item = 7;
        answer.body.pop_back();
        CHECK(CallerReply::read(answer, read).malformed);
    }
    SECTION("a refusal states whether the request was run")
    {
        answer = { 503, {}, R"({"error":{"outcome":"not_run","code":"no_primary"}})" };
        CHECK(CallerReply::read(answer, read).outcome == Outcome::NotRun);
        answer.body = R"({"error":{"outcome":"unknown","code":"deadline_exceeded"}})";
        CHECK(CallerReply::read(answer, read).outcome == Outcome::Unknown);
        CHECK(CallerReply::read(answer, read).code == "deadline_exceeded");
    }
    SECTION("a missing answer is an unknown outcome")
    {
        CHECK(CallerReply::read({}, read).outcome == Outcome::Unknown);
        CHECK(CallerReply::read({}, read).code == "no_answer");
    }
}

TEST_CASE("the primary is the target in the primary role with the highest fenced term", "[group]")
{
    const TargetState replaced { TargetName("a"), true, 1, 1 };
    const TargetState fenced { TargetName("b"), false, 1, 3 };
    const TargetState promoted { TargetName("c"), true, 2, 2 };
    CHECK(findPrimary({ replaced, fenced, promoted }) == TargetName("c"));
    CHECK(findPrimary({ replaced }) == TargetName("a"));
    CHECK_FALSE(findPrimary({ fenced }));
}

TEST_CASE("organisations are selected by name or given with key and databases", "[endpoints]")
{
    const std::vector<OrganisationAccess> known { { OrganisationName("ski-hill"), "key",
        { DatabaseName("smoke-1") } } };
    const auto chosen = chooseOrganisations("ski-hill,other:secret:a+b", known);
    REQUIRE(chosen);
    REQUIRE(chosen->size() == 2);
    CHECK(chosen->at(0).key == "key");
    CHECK(chosen->at(1).key == "secret");
    CHECK(chosen->at(1).databases == std::vector { DatabaseName("a"), DatabaseName("b") });
    CHECK_FALSE(chooseOrganisations("unknown", known));
}

TEST_CASE("endpoints with a missing section are refused", "[endpoints]")
{
    const auto endpoints = Endpoints::parse(R"json({"hosts":[{"name":"host-1","pid":5,"callers":"127.0.0.1:1",
        "operators":"127.0.0.1:2"}],"targets":[],"platform":{"pid":6,"control":"127.0.0.1:3"}})json");
    REQUIRE(endpoints);
    CHECK(endpoints->hosts.front().callers.toString() == "127.0.0.1:1");
    CHECK_FALSE(Endpoints::parse(R"json({"hosts":[],"targets":[]})json"));
    CHECK_FALSE(Endpoints::parse("{"));
}
