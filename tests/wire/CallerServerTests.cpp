#include "wire/CallerServer.h"

#include "wire/Loop.h"
#include "wire/RawClient.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <deque>

using namespace Auburnpost;
using namespace Auburnpost::Wire;

namespace {

constexpr auto statements = "/v1/ranwala/statements";
constexpr auto goodBody = R"({"database":"sizing-core-1","sql":"SELECT 1"})";

CallerServerLimits quickLimits()
{
    CallerServerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(300);
    return limits;
}

CallerAnswer okAnswer(RequestId id, std::string text = "x")
{
    return { id, ResultSet { { { "c", 25 } }, { { std::move(text) } }, 0 }, "", "", {} };
}

/// A server that records the requests and disconnections that it reports.
struct Fixture {
    explicit Fixture(CallerServerLimits limits = quickLimits())
        : server(loop.base(), { "127.0.0.1", 0 }, limits)
    {
        server.requestReceived().connect([this](const CallerRequest& request) { arrived.push_back(request); });
        server.callerDisconnected().connect([this](RequestId id) { disconnected.push_back(id); });
        REQUIRE(server.listen().has_value());
    }

    std::unique_ptr<RawClient> client() { return std::make_unique<RawClient>(loop.base(), server.address()); }

    nlohmann::json errorOf(const RawClient& client)
    {
        REQUIRE(loop.runUntil([&] { return client.hasReply(); }));
        return nlohmann::json::parse(client.body()).at("error");
    }

    void serveOne(const std::string& text = "x")
    {
        const auto other = client();
        other->post(statements, goodBody);
        const auto before = arrived.size();
        REQUIRE(loop.runUntil([&] { return arrived.size() > before; }));
        server.answer(okAnswer(arrived.back().id, text));
        REQUIRE(loop.runUntil([&] { return other->hasReply(); }));
        CHECK(other->status() == 200);
    }

    Loop loop;
    CallerServer server;
    std::deque<CallerRequest> arrived;
    std::vector<RequestId> disconnected;
};

} // namespace

TEST_CASE("All parts of a caller's request are read", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    client->post(statements,
        R"({"database":"d","sql":"S","params":[null,true,7,1.5,"é"],"access":"write","max_age_ms":20})",
        "Authorization: Bearer secret\r\nAuburnpost-Session: token\r\nIdempotency-Key: k1\r\n"
        "Auburnpost-Timeout-Ms: 250\r\n");
    REQUIRE(test.loop.runUntil([&] { return !test.arrived.empty(); }));
    const auto& request = test.arrived.front();
    CHECK(request.action == CallerAction::Execute);
    CHECK(request.organisation == OrganisationName("ranwala"));
    CHECK(request.key == "secret");
    CHECK(request.database == DatabaseName("d"));
    CHECK(request.statement == Statement { "S", { {}, "t", "7", "1.5", "é" } });
    CHECK(request.access == Access::Write);
    CHECK(request.maxAge == std::chrono::milliseconds(20));
    CHECK(request.session == "token");
    CHECK(request.idempotencyKey == "k1");
    CHECK(request.timeout == std::chrono::milliseconds(250));

    test.server.answer({ request.id,
        ResultSet { { { "a", 20 }, { "b", 1700 }, { "c", 16 }, { "d", 25 }, { "e", 701 } },
            { { "9007199254740993", "1.10", "t", "5", "NaN" }, { {}, {}, {}, {}, {} } }, 3 },
        "next", "core-1-a primary", std::chrono::microseconds(1500) });
    REQUIRE(test.loop.runUntil([&] { return client->hasReply(); }));
    CHECK(client->status() == 200);
    CHECK(client->body()
        == R"({"columns":["a","b","c","d","e"],"rows":[[9007199254740993,1.10,true,"5","NaN"],)"
           R"([null,null,null,null,null]],"rows_affected":3})");
    CHECK(client->received().find("Auburnpost-Session: next\r\n") != std::string::npos);
    CHECK(client->received().find("Auburnpost-Served-By: core-1-a primary\r\n") != std::string::npos);
    CHECK(client->received().find("Auburnpost-Age-Ms: 2\r\n") != std::string::npos);
}

TEST_CASE("Each path of the callers' interface is mapped to its action", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    const auto arrive = [&](std::string_view path, std::string_view body) {
        client->post(path, body);
        REQUIRE(test.loop.runUntil([&] { return !test.arrived.empty(); }));
        const auto request = test.arrived.front();
        test.arrived.clear();
        test.server.answer({ request.id, TransactionBegun { "h-1" }, "", "", {} });
        REQUIRE(test.loop.runUntil([&] { return client->hasReply(); }));
        CHECK(client->status() == 201);
        CHECK(client->body() == R"({"transaction":"h-1"})");
        client->nextReply();
        return request;
    };
    CHECK(arrive("/v1/o/transactions", R"({"database":"d"})").action == CallerAction::Begin);
    CHECK(arrive("/v1/o/transactions/h-1/statements", R"({"sql":"S"})").action == CallerAction::ExecuteInTransaction);
    CHECK(arrive("/v1/o/transactions/h-1/rollback", "").action == CallerAction::Rollback);
    const auto commit = arrive("/v1/o%20p/transactions/h%2D1/commit", "{}");
    CHECK(commit.action == CallerAction::Commit);
    CHECK(commit.transaction == "h-1");
    CHECK(commit.organisation == OrganisationName("o p"));
}

TEST_CASE("A request that is not well-formed is refused as not run", "[wire][caller]")
{
    struct Wrong {
        const char* path;
        const char* headers;
        std::string body;
        int status;
        const char* code;
        const char* step;
        const char* message;
    };
    const auto wrong = GENERATE(values<Wrong>({
        { statements, "", R"({"database":)", 400, "bad_json", "parse body", "unexpected end of input" },
        { statements, "", "[]", 400, "bad_json", "parse body", "not an object" },
        { statements, "", "{\"sql\":\"\xff\"}", 400, "bad_json", "parse body", "ill-formed UTF-8" },
        { statements, "", R"({"sql":"S"})", 400, "bad_request", "read body", "'database' is missing" },
        { statements, "", R"({"database":"d","sql":5})", 400, "bad_request", "read body", "'sql' is a number" },
        { statements, "", R"({"database":"d","sql":"a\u0000b"})", 400, "bad_request", "read body", "NUL" },
        { statements, "", R"({"database":"d","sql":"S","params":{}})", 400, "bad_request", "read body",
            "not an array" },
        { statements, "", R"({"database":"d","sql":"S","params":[1,[]]})", 400, "bad_request", "read body",
            "number 2" },
        { statements, "", R"({"database":"d","sql":"S","access":"all"})", 400, "bad_request", "read body", "'access'" },
        { statements, "", R"({"database":"d","sql":"S","max_age_ms":-1})", 400, "bad_request", "read body",
            "'max_age_ms'" },
        { statements, "", R"({"database":"d","sql":"S","max_age":1})", 400, "bad_request", "read body", "no place" },
        { statements, "Authorization: Basic x\r\n", goodBody, 401, "unauthorised", "read header", "Bearer" },
        { statements, "Auburnpost-Timeout-Ms: soon\r\n", goodBody, 400, "bad_request", "read header", "Timeout" },
        { statements, "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", goodBody, 400, "bad_request", "read header",
            "more than once" },
        { "/v2/o/statements", "", goodBody, 400, "bad_request", "read path", "no such path" },
        { "/v1//statements", "", goodBody, 400, "bad_request", "read path", "empty" },
        { "/v1/o%00/statements", "", goodBody, 400, "bad_request", "read path", "printable" },
        { "/v1/o/statements?x=1", "", goodBody, 400, "bad_request", "read path", "query" },
    }));
    Fixture test;
    const auto client = test.client();
    INFO(wrong.path << " " << wrong.headers << " " << wrong.body);
    client->post(wrong.path, wrong.body, wrong.headers);
    const auto error = test.errorOf(*client);
    CHECK(client->status() == wrong.status);
    CHECK(error.at("outcome") == "not_run");
    CHECK(error.at("code") == wrong.code);
    CHECK(error.at("step") == wrong.step);
    CHECK(error.at("peer").get<std::string>().starts_with("127.0.0.1:"));
    CHECK_THAT(error.at("message").get<std::string>(), Catch::Contains(wrong.message));
    CHECK(test.arrived.empty());
}

TEST_CASE("A method other than POST is refused", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    client->send("GET /v1/o/statements HTTP/1.1\r\nHost: test\r\n\r\n");
    CHECK(test.errorOf(*client).at("step") == "read method");
    CHECK(client->status() == 405);
    CHECK(client->received().find("\r\nAllow: POST\r\n") != std::string::npos);
    SECTION("an unknown method does not affect other callers")
    {
        const auto odd = test.client();
        odd->send("FETCH /v1/o/statements HTTP/1.1\r\nHost: test\r\n\r\n");
        REQUIRE(test.loop.runUntil([&] { return odd->closed() || odd->hasReply(); }));
        CHECK(odd->status() >= 400);
        test.serveOne();
    }
    SECTION("bytes that are not HTTP do not affect other callers")
    {
        const auto odd = test.client();
        odd->send("\x16\x03\x01\x02 what\r\n\r\n");
        REQUIRE(test.loop.runUntil([&] { return odd->closed() || odd->hasReply(); }));
        test.serveOne();
    }
}

TEST_CASE("A header above the limit is refused with its own code and does not affect other callers", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    client->post(statements, goodBody, "X-Long: " + std::string(1024UL * 1024, 'x') + "\r\n");
    test.serveOne();
    const auto error = test.errorOf(*client);
    CHECK(client->status() == 400);
    CHECK(error.at("code") == "header_too_large");
    CHECK(error.at("step") == "read header");
    SECTION("far above it evhttp itself refuses")
    {
        const auto far = test.client();
        far->post(statements, goodBody, "X-Long: " + std::string(4UL * 1024 * 1024, 'x') + "\r\n");
        REQUIRE(test.loop.runUntil([&] { return far->closed(); }));
        CHECK(test.arrived.size() == 1);
        test.serveOne();
    }
}

TEST_CASE("A body above the limit is refused with its own code", "[wire][caller]")
{
    auto limits = quickLimits();
    limits.bodyBytes = 1000;
    Fixture test(limits);
    const auto client = test.client();
    client->post(statements, std::string(1001, ' '));
    CHECK(test.errorOf(*client).at("code") == "body_too_large");
    SECTION("far above it evhttp itself refuses")
    {
        const auto far = test.client();
        far->post(statements, std::string(4UL * 1024 * 1024, ' '));
        REQUIRE(test.loop.runUntil([&] { return far->hasReply(); }));
        CHECK(far->status() == 413);
    }
}

TEST_CASE("A request whose length is ambiguous is refused and ends its connection", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    SECTION("two lengths")
    {
        client->post(statements, "", "Content-Length: 5\r\n");
        CHECK_THAT(test.errorOf(*client).at("message").get<std::string>(), Catch::Contains("more than once"));
    }
    SECTION("a length and chunks, which evhttp itself refuses")
    {
        client->post(statements, "", "Transfer-Encoding: chunked\r\n");
        client->send("0\r\n\r\n");
    }
    SECTION("a body in a coding other than chunks, in which a second request may hide")
    {
        const auto coding = GENERATE(values<const char*>({ "identity", "gzip", "" }));
        client->send("POST /v1/o/transactions/h-1/commit HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: "
            + std::string(coding) + "\r\n\r\nPOST /v1/o/transactions/h-2/commit HTTP/1.1\r\n\r\n");
    }
    SECTION("more than one coding")
    {
        client->send("POST /v1/o/transactions/h-1/commit HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n"
                     "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n");
    }
    REQUIRE(test.loop.runUntil([&] { return client->closed(); }));
    CHECK(client->status() == 400);
    CHECK(test.arrived.empty());
}

TEST_CASE("A connection with an incomplete request is closed after the idle time", "[wire][caller]")
{
    Fixture test;
    const auto half = test.client();
    half->send("POST /v1/o/statements HTTP/1.1\r\nContent-Length: 100\r\n\r\n{\"data");
    REQUIRE(test.loop.runUntil([&] { return test.server.connections() == 1; }));
    CHECK(test.loop.runUntil([&] { return half->closed(); }));
    CHECK(test.loop.runUntil([&] { return test.server.connections() == 0; }));
    CHECK(test.arrived.empty());
    test.serveOne();
}

TEST_CASE("An answer may take longer than the idle time", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    client->post(statements, goodBody);
    REQUIRE(test.loop.runUntil([&] { return !test.arrived.empty(); }));
    test.loop.runFor(std::chrono::milliseconds(700));
    test.server.answer(okAnswer(test.arrived.front().id));
    REQUIRE(test.loop.runUntil([&] { return client->hasReply(); }));
    CHECK(client->status() == 200);
}

TEST_CASE("A caller that disconnects is reported and its late answer is dropped", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    client->post(statements, goodBody);
    REQUIRE(test.loop.runUntil([&] { return !test.arrived.empty(); }));
    client->close();
    REQUIRE(test.loop.runUntil([&] { return !test.disconnected.empty(); }));
    CHECK(test.disconnected == std::vector { test.arrived.front().id });
    CHECK(test.server.pending() == 0);
    test.server.answer(okAnswer(test.arrived.front().id));
    test.serveOne();
    CHECK(test.disconnected.size() == 1);
}

TEST_CASE("An answer of 10 MB is sent completely to a slow reader", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    client->post(statements, goodBody, "Connection: close\r\n");
    REQUIRE(test.loop.runUntil([&] { return !test.arrived.empty(); }));
    client->pauseReading();
    std::string text(10UL * 1024 * 1024, 'a');
    text.back() = 'z';
    test.server.answer(okAnswer(test.arrived.front().id, text));
    test.loop.runFor(std::chrono::milliseconds(50));
    CHECK(test.server.pending() == 1);
    client->resumeReading();
    REQUIRE(test.loop.runUntil([&] { return client->hasReply() && client->closed(); }));
    CHECK(nlohmann::json::parse(client->body()).at("rows")[0][0] == text);
    CHECK(test.server.pending() == 0);
}

TEST_CASE("A caller that stops reading is disconnected after the idle time", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    client->post(statements, goodBody);
    REQUIRE(test.loop.runUntil([&] { return !test.arrived.empty(); }));
    client->pauseReading();
    test.server.answer(okAnswer(test.arrived.front().id, std::string(20UL * 1024 * 1024, 'a')));
    CHECK(test.loop.runUntil([&] { return test.server.connections() == 0; }));
    CHECK(test.server.pending() == 0);
    CHECK(test.disconnected.empty());
    test.serveOne();
}

TEST_CASE("An idle connection gives its place to a caller that waits in the accept queue", "[wire][caller]")
{
    // Guards against a server that is closed to everybody while its places are held by connections that do nothing.
    using namespace std::chrono_literals;
    constexpr Instant start { 100s };
    CallerServerLimits limits;
    limits.connections = 1;
    Fixture test(limits);
    test.server.tick(start);
    const auto idle = test.client();
    idle->post(statements, goodBody);
    REQUIRE(test.loop.runUntil([&] { return test.arrived.size() == 1; }));
    test.server.answer(okAnswer(test.arrived.front().id));
    REQUIRE(test.loop.runUntil([&] { return idle->hasReply(); }));
    const auto waiting = test.client();
    waiting->post(statements, goodBody);
    test.loop.runFor(20ms);
    test.server.tick(start + 4s);
    test.loop.runFor(20ms);
    CHECK(test.arrived.size() == 1);
    test.server.tick(start + 6s);
    CHECK(test.loop.runUntil([&] { return test.arrived.size() == 2; }));
    CHECK(idle->closed());
}

TEST_CASE("A caller that stops midway through a request is closed after its time", "[wire][caller]")
{
    using namespace std::chrono_literals;
    constexpr Instant start { 100s };
    Fixture test(CallerServerLimits {});
    test.server.tick(start);
    const auto client = test.client();
    client->send("POST /v1/ranwala/statements HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf");
    test.loop.runFor(20ms);
    test.server.tick(start + 9s);
    test.loop.runFor(20ms);
    CHECK_FALSE(client->closed());
    test.server.tick(start + 11s);
    CHECK(test.loop.runUntil([&] { return client->closed(); }));
}

TEST_CASE("Many requests are answered in any order, each on its own connection", "[wire][caller]")
{
    constexpr int clientCount = 50;
    constexpr int rounds = 3;
    Fixture test;
    std::vector<std::unique_ptr<RawClient>> clients(clientCount);
    for (auto& client : clients)
        client = test.client();
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < clientCount; ++i)
            clients[i]->post(statements, R"({"database":"d","sql":")" + std::to_string(i) + "\"}");
        REQUIRE(test.loop.runUntil([&] { return test.arrived.size() == clientCount; }));
        for (; !test.arrived.empty(); test.arrived.pop_back())
            test.server.answer(okAnswer(test.arrived.back().id, test.arrived.back().statement.sql));
        for (int i = 0; i < clientCount; ++i) {
            REQUIRE(test.loop.runUntil([&] { return clients[i]->hasReply(); }));
            CHECK(nlohmann::json::parse(clients[i]->body()).at("rows")[0][0] == std::to_string(i));
            clients[i]->nextReply();
        }
    }
    CHECK(test.server.connections() == clientCount);
}

TEST_CASE("Two requests on one connection are answered in turn", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    client->post(statements, R"({"database":"d","sql":"1"})");
    client->post(statements, R"({"database":"d","sql":"2"})");
    for (const auto* sql : { "1", "2" }) {
        REQUIRE(test.loop.runUntil([&] { return !test.arrived.empty(); }));
        CHECK(test.arrived.front().statement.sql == sql);
        test.server.answer(okAnswer(test.arrived.front().id, sql));
        test.arrived.pop_front();
        REQUIRE(test.loop.runUntil([&] { return client->hasReply(); }));
        CHECK(nlohmann::json::parse(client->body()).at("rows")[0][0] == sql);
        client->nextReply();
    }
}

TEST_CASE("The number of open connections is limited and further ones wait", "[wire][caller]")
{
    auto limits = quickLimits();
    limits.connections = 3;
    Fixture test(limits);
    constexpr std::size_t clientCount = 8;
    std::vector<std::unique_ptr<RawClient>> clients(clientCount);
    for (auto& client : clients) {
        client = test.client();
        client->post(statements, goodBody, "Connection: close\r\n");
    }
    test.loop.runFor(std::chrono::milliseconds(50));
    CHECK(test.server.connections() == 3);
    CHECK(test.arrived.size() == 3);
    for (std::size_t answered = 0; answered < clients.size(); ++answered) {
        REQUIRE(test.loop.runUntil([&] { return test.arrived.size() > answered; }));
        CHECK(test.server.connections() <= 3);
        test.server.answer(okAnswer(test.arrived[answered].id));
    }
    for (const auto& client : clients)
        CHECK(test.loop.runUntil([&] { return client->hasReply(); }));
}

TEST_CASE("A draining server answers its requests and then closes their connections", "[wire][caller]")
{
    Fixture test;
    const auto client = test.client();
    client->post(statements, goodBody);
    REQUIRE(test.loop.runUntil([&] { return !test.arrived.empty(); }));
    test.server.drain();
    test.server.answer(okAnswer(test.arrived.front().id));
    REQUIRE(test.loop.runUntil([&] { return client->closed(); }));
    CHECK(client->hasReply());
    CHECK(client->status() == 200);
}

TEST_CASE("A refusal carries its status, outcome and time to retry", "[wire][caller]")
{
    struct Row {
        ErrorCode code;
        int status;
    };
    const auto row = GENERATE(values<Row>({ { ErrorCode::Unauthorised, 401 }, { ErrorCode::Forbidden, 403 },
        { ErrorCode::UnknownDatabase, 404 }, { ErrorCode::KeyReused, 409 }, { ErrorCode::OrganisationLimit, 429 },
        { ErrorCode::NoPrimary, 503 }, { ErrorCode::DeadlineExceeded, 504 } }));
    Fixture test;
    const auto client = test.client();
    client->post(statements, goodBody);
    REQUIRE(test.loop.runUntil([&] { return !test.arrived.empty(); }));
    const Error error { row.code, "write", "core-1-a", "a \"reason\"" };
    test.server.answer({ test.arrived.front().id,
        Refusal { FailedOutcome::Unknown, error, std::chrono::milliseconds(1001) }, "", "", {} });
    const auto body = test.errorOf(*client);
    CHECK(client->status() == row.status);
    CHECK(body.at("outcome") == "unknown");
    CHECK(body.at("code") == std::string(toString(row.code)));
    CHECK(body.at("peer") == "core-1-a");
    CHECK(body.at("message") == "a \"reason\"");
    CHECK(client->received().find("Retry-After: 2\r\n") != std::string::npos);
}
