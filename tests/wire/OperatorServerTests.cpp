#include "wire/OperatorServer.h"

#include "wire/Loop.h"
#include "wire/Metrics.h"
#include "wire/RawClient.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace Auburnpost;
using namespace Auburnpost::Wire;

namespace {

struct Fixture {
    Fixture()
    {
        server.requestReceived().connect([this](const OperatorRequest& request) { arrived.push_back(request); });
        REQUIRE(server.listen().has_value());
        client = std::make_unique<RawClient>(loop.base(), server.address());
    }

    OperatorRequest request(const std::string& line, const std::string& rest = "\r\n")
    {
        client->send(line + " HTTP/1.1\r\nHost: test\r\n" + rest);
        REQUIRE(loop.runUntil([&] { return !arrived.empty(); }));
        const auto request = arrived.front();
        arrived.pop_front();
        return request;
    }

    void answer(const OperatorReply& reply)
    {
        server.answer(reply);
        REQUIRE(loop.runUntil([&] { return client->hasReply(); }));
    }

    Loop loop;
    OperatorServer server { loop.base(), { "127.0.0.1", 0 } };
    std::deque<OperatorRequest> arrived;
    std::unique_ptr<RawClient> client;
};

} // namespace

TEST_CASE("An operator reads and edits a section of the document", "[wire][operator]")
{
    Fixture test;
    const auto get = test.request("GET /config/placement");
    CHECK(get.action == OperatorAction::GetConfig);
    CHECK(get.section == "placement");
    test.answer({ get.id, OperatorText { "text/plain", "[placement]" }, ConfigVersion(4) });
    CHECK(test.client->status() == 200);
    CHECK(test.client->body() == "[placement]");
    CHECK(test.client->received().find("Version: 4\r\n") != std::string::npos);
    CHECK(test.client->received().find("Content-Type: text/plain\r\n") != std::string::npos);
    test.client->nextReply();

    const auto put = test.request(
        "PUT /config/placement", "If-Match: 4\r\nAuthorization: Bearer team\r\nContent-Length: 3\r\n\r\nnew");
    CHECK(put.action == OperatorAction::PutConfig);
    CHECK(put.body == "new");
    CHECK(put.key == "team");
    CHECK(put.expectedVersion == ConfigVersion(4));
    test.answer({ put.id, Refusal { FailedOutcome::NotRun, { ErrorCode::Conflict, "edit", "placement", "newer" }, {} },
        ConfigVersion(5) });
    CHECK(test.client->status() == 409);
    CHECK(test.client->received().find("Version: 5\r\n") != std::string::npos);
}

TEST_CASE("An operator requests readiness, state and metrics", "[wire][operator]")
{
    Fixture test;
    CHECK(test.request("GET /state").action == OperatorAction::State);
    Fixture other;
    CHECK(other.request("GET /metrics").action == OperatorAction::Metrics);
    Fixture third;
    const auto ready = third.request("GET /ready");
    CHECK(ready.action == OperatorAction::Ready);
    third.answer({ ready.id, NotReady { "leaving" }, {} });
    CHECK(third.client->status() == 503);
    CHECK(third.client->body() == "leaving");
}

TEST_CASE("A malformed request of an operator is refused", "[wire][operator]")
{
    const auto* const text = GENERATE("GET /nothing HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
        "GET /ready/now HTTP/1.1\r\n\r\n", "PUT /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "PUT /config HTTP/1.1\r\nIf-Match: new\r\nContent-Length: 0\r\n\r\n");
    Fixture test;
    INFO(text);
    test.client->send(text);
    REQUIRE(test.loop.runUntil([&] { return test.client->hasReply(); }));
    CHECK(test.client->status() == 400);
    CHECK(test.arrived.empty());
}

TEST_CASE("Metrics report the count, mean and percentiles of each series", "[wire][metrics]")
{
    Metrics metrics;
    for (int sample = 1; sample <= 1000; ++sample)
        metrics.record("request_ms", sample);
    metrics.record("lag_ms", 5);
    const auto text = metrics.dump();
    CHECK_THAT(text, Catch::StartsWith("lag_ms count=1 mean=5\n"));
    CHECK_THAT(text, Catch::Contains("request_ms count=1000 mean=500.5 p50="));
    const auto p50 = std::stod(text.substr(text.find("p50=", text.find("request_ms")) + 4));
    const auto p99 = std::stod(text.substr(text.find("p99=", text.find("request_ms")) + 4));
    CHECK(p50 == Approx(500).margin(10));
    CHECK(p99 == Approx(990).margin(10));
}
