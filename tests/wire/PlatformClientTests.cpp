#include "wire/PlatformClient.h"

#include "wire/Loop.h"
#include "wire/RawServer.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Auburnpost;
using namespace Auburnpost::Wire;

namespace {

using Reply = RawServer::Reply;

std::string okReply(const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

/// A platform that answers each complete request with a scripted reply; an empty reply without a close is no answer.
struct Fixture {
    explicit Fixture(PlatformClientLimits limits = {})
        : client(loop.base(), server.address(), limits)
    {
        client.answered().connect([this](const PlatformAnswer& answer) {
            ++answerCount[answer.id];
            answers.insert_or_assign(answer.id, answer.reply);
        });
    }

    void onBytes(RawServer::Session& session)
    {
        const auto header = session.input.find("\r\n\r\n");
        const auto length = session.input.find("Content-Length: ");
        const auto size = length < header ? std::stoul(session.input.substr(length + 16)) : 0;
        if (header == std::string::npos || session.input.size() < header + 4 + size)
            return;
        requests.push_back(std::exchange(session.input, {}));
        if (isAnswered(session))
            RawServer::send(session, script(requests.back()));
    }

    PlatformCallId call(std::chrono::milliseconds timeout = std::chrono::seconds(3), std::string path = "/table/t/r")
    {
        const PlatformCallId id(++lastId);
        client.call({ id, PlatformMethod::Get, std::move(path), "", {}, timeout });
        return id;
    }

    const Expected<PlatformReply>& answerOf(PlatformCallId id)
    {
        REQUIRE(loop.runUntil([&] { return answers.contains(id); }));
        CHECK(answerCount[id] == 1);
        return answers.at(id);
    }

    Loop loop;
    std::vector<std::string> requests;
    std::function<Reply(const std::string&)> script { [](const std::string&) { return Reply { okReply("v") }; } };
    /// Whether requests on a connection are answered.
    std::function<bool(const RawServer::Session&)> isAnswered { [](const RawServer::Session&) { return true; } };
    RawServer server { loop.base(), [this](RawServer::Session& session) { onBytes(session); } };
    PlatformClient client;
    std::map<PlatformCallId, Expected<PlatformReply>> answers;
    std::map<PlatformCallId, int> answerCount;
    std::uint64_t lastId { 0 };
};

} // namespace

TEST_CASE("A call sends method, path, version and body, and returns status, version and body", "[wire][platform]")
{
    Fixture test;
    test.script = [](const std::string&) { return Reply { okReply("{\"a\":1}", "Version: 8\r\n") }; };
    test.client.call(
        { PlatformCallId(70), PlatformMethod::Put, "/table/config/document", "text", 7, std::chrono::seconds(3) });
    const auto& put = test.answerOf(PlatformCallId(70));
    REQUIRE(put.has_value());
    CHECK(put->status == 200);
    CHECK(put->version == 8);
    CHECK(put->body == "{\"a\":1}");
    CHECK_THAT(test.requests.front(), Catch::StartsWith("PUT /table/config/document HTTP/1.1\r\n"));
    CHECK_THAT(test.requests.front(), Catch::Contains("If-Match: 7\r\n") && Catch::EndsWith("\r\n\r\ntext"));
    SECTION("a status other than 200 is no error")
    {
        test.script = [](const std::string&) {
            return Reply { "HTTP/1.1 412 Precondition Failed\r\nVersion: 9\r\nContent-Length: 0\r\n\r\n" };
        };
        const auto& answer = test.answerOf(test.call());
        REQUIRE(answer.has_value());
        CHECK(answer->status == 412);
        CHECK(answer->version == 9);
    }
}

TEST_CASE("A call without a complete answer fails exactly once", "[wire][platform]")
{
    Fixture test;
    std::string message = "the connection failed";
    SECTION("connection closed before the answer")
    {
        test.script = [](const std::string&) { return Reply { "", true }; };
    }
    SECTION("connection closed within the header")
    {
        test.script = [](const std::string&) { return Reply { "HTTP/1.1 200 OK\r\nVersion: 1", true }; };
    }
    SECTION("connection closed within the body")
    {
        test.script = [](const std::string&) { return Reply { okReply("abc").substr(0, 40), true }; };
    }
    SECTION("not HTTP")
    {
        test.script = [](const std::string&) { return Reply { "nonsense\r\n\r\n", true }; };
    }
    SECTION("port without a listener")
    {
        test.server.stopListening();
    }
    SECTION("version that is not a number")
    {
        test.script = [](const std::string&) { return Reply { okReply("a", "Version: new\r\n") }; };
        message = "Version";
    }
    SECTION("silence")
    {
        test.script = [](const std::string&) { return Reply {}; };
        message = "no answer within 100 ms";
    }
    const auto& answer = test.answerOf(test.call(std::chrono::milliseconds(100)));
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == ErrorCode::PlatformUnavailable);
    CHECK(answer.error().step == "GET /table/t/r");
    CHECK(answer.error().peer == test.server.address().toString());
    CHECK_THAT(answer.error().message, Catch::Contains(message));
    CHECK(test.requests.size() <= 1);
}

TEST_CASE("A connection can be used again after a call on it timed out", "[wire][platform]")
{
    PlatformClientLimits limits;
    limits.connections = 1;
    Fixture test(limits);
    test.script = [](const std::string&) { return Reply {}; };
    const auto slow = test.call(std::chrono::milliseconds(50));
    const auto waiting = test.call(std::chrono::milliseconds(20));
    CHECK_FALSE(test.answerOf(waiting).has_value());
    CHECK_FALSE(test.answerOf(slow).has_value());
    CHECK(test.requests.size() == 1);
    test.script = [](const std::string&) { return Reply { okReply("fresh") }; };
    const auto& answer = test.answerOf(test.call());
    REQUIRE(answer.has_value());
    CHECK(answer->body == "fresh");
}

TEST_CASE("Idle connections that went dead cost no further timeout after a call timed out", "[wire][platform]")
{
    Fixture test;
    const auto first = test.call();
    const auto second = test.call();
    CHECK(test.answerOf(first).has_value());
    CHECK(test.answerOf(second).has_value());
    REQUIRE(test.server.accepted() == 2);

    test.isAnswered = [](const RawServer::Session& session) { return session.number >= 2; };
    CHECK_FALSE(test.answerOf(test.call(std::chrono::milliseconds(50))).has_value());
    const auto third = test.call(std::chrono::seconds(1));
    const auto fourth = test.call(std::chrono::seconds(1));
    CHECK(test.answerOf(third).has_value());
    CHECK(test.answerOf(fourth).has_value());
}

TEST_CASE("Many calls share a few connections and each gets its own answer", "[wire][platform]")
{
    constexpr std::uint64_t count = 200;
    Fixture test;
    test.script = [](const std::string& request) {
        const auto start = request.find("/n/") + 3;
        return Reply { okReply(request.substr(start, request.find(' ', start) - start)) };
    };
    for (std::uint64_t number = 1; number <= count; ++number)
        test.call(std::chrono::seconds(3), "/n/" + std::to_string(number));
    REQUIRE(test.loop.runUntil([&] { return test.client.pending() == 0; }));
    CHECK(test.server.accepted() <= PlatformClientLimits {}.connections);
    for (const auto& [id, answer] : test.answers) {
        REQUIRE(answer.has_value());
        CHECK(answer->body == std::to_string(id.value()));
        CHECK(test.answerCount[id] == 1);
    }
}

TEST_CASE("Calls above the limit of waiting calls fail immediately", "[wire][platform]")
{
    PlatformClientLimits limits;
    limits.connections = 1;
    limits.waitingCalls = 1;
    Fixture test(limits);
    test.call();
    const auto excess = test.call();
    CHECK(test.answers.empty());
    CHECK_THAT(test.answerOf(excess).error().message, Catch::Contains("too many"));
}

TEST_CASE("A conditional call is sent only if maySend allows it once its connection is established", "[wire][platform]")
{
    Fixture platform;
    bool maySend = true;
    int maySendCalls = 0;
    PlatformCall call;
    call.id = PlatformCallId(99);
    call.method = PlatformMethod::Post;
    call.path = "/order";
    call.body = "{}";
    call.headers = { { "X-Token", "7" } };
    call.timeout = std::chrono::milliseconds(200);
    call.maySend = [&] {
        ++maySendCalls;
        return maySend;
    };

    SECTION("maySend allows it: headers and body are sent and the status is returned")
    {
        platform.client.call(call);
        const auto& answer = platform.answerOf(call.id);
        REQUIRE(answer);
        CHECK(answer->status == 200);
        REQUIRE(platform.requests.size() == 1);
        CHECK(platform.requests[0].starts_with("POST /order HTTP/1.1\r\n"));
        CHECK(platform.requests[0].find("X-Token: 7\r\n") != std::string::npos);
        CHECK(platform.requests[0].ends_with("\r\n\r\n{}"));
        CHECK(maySendCalls == 1);
    }
    SECTION("maySend forbids it: the call fails as not sent")
    {
        maySend = false;
        platform.client.call(call);
        const auto& answer = platform.answerOf(call.id);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::NotSent);
        CHECK(platform.requests.empty());
    }
    SECTION("without a listener the call fails as not sent")
    {
        platform.server.stopListening();
        platform.client.call(call);
        const auto& answer = platform.answerOf(call.id);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::NotSent);
    }
    SECTION("without an answer the call does not fail as not sent")
    {
        platform.script = [](const std::string&) { return Reply {}; };
        platform.client.call(call);
        const auto& answer = platform.answerOf(call.id);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::PlatformUnavailable);
    }
}

TEST_CASE("A call that got no connection in time fails as not sent, and one that was sent does not", "[wire][platform]")
{
    PlatformClientLimits limits;
    limits.connections = 1;
    Fixture test(limits);
    test.script = [](const std::string&) { return Reply {}; };
    const auto sent = test.call(std::chrono::milliseconds(80));
    const auto waiting = test.call(std::chrono::milliseconds(30));
    const auto other = test.call(std::chrono::milliseconds(40));
    CHECK(test.client.mostWaiting() == 3);
    const auto& unsent = test.answerOf(waiting);
    REQUIRE_FALSE(unsent);
    CHECK(unsent.error().code == ErrorCode::NotSent);
    CHECK_THAT(unsent.error().message, Catch::Contains("no free connection within 30 ms; 2 calls waited"));
    CHECK(test.client.waiting() == 1);
    CHECK_FALSE(test.answerOf(other));
    CHECK(test.answerOf(sent).error().code == ErrorCode::PlatformUnavailable);
    CHECK(test.client.waiting() == 0);
    CHECK(test.requests.size() == 1);
}

TEST_CASE("An urgent call never waits for a connection behind other calls", "[wire][platform]")
{
    PlatformClientLimits limits;
    limits.connections = 2;
    limits.urgentConnections = 1;
    Fixture test(limits);
    test.script = [](const std::string& request) {
        return request.find("/urgent") == std::string::npos ? Reply {} : Reply { okReply("v") };
    };
    for (int count = 0; count < 5; ++count)
        test.call(std::chrono::milliseconds(200));
    PlatformCall urgent;
    urgent.id = PlatformCallId(++test.lastId);
    urgent.path = "/urgent";
    urgent.timeout = std::chrono::milliseconds(100);
    urgent.isUrgent = true;
    test.client.call(urgent);
    CHECK(test.answerOf(urgent.id).has_value());
    CHECK(test.requests.size() == 2);
    CHECK(test.client.waiting() == 4);
}

TEST_CASE("A cancelled call is not answered, and its connection serves the next one", "[wire][platform]")
{
    PlatformClientLimits limits;
    limits.connections = 1;
    Fixture test(limits);
    test.script = [](const std::string& request) {
        return request.find("/hangs") == std::string::npos ? Reply { okReply("v") } : Reply {};
    };
    const auto hanging = test.call(std::chrono::milliseconds(100), "/hangs");
    const auto waiting = test.call(std::chrono::milliseconds(100), "/hangs");
    REQUIRE(test.loop.runUntil([&] { return test.requests.size() == 1; }));
    test.client.cancel(hanging);
    test.client.cancel(waiting);
    CHECK(test.answerOf(test.call()).has_value());
    CHECK_FALSE(test.answers.contains(hanging));
    CHECK_FALSE(test.answers.contains(waiting));
    CHECK(test.client.pending() == 0);
    SECTION("cancelling a call that has ended has no effect")
    {
        test.client.cancel(hanging);
        CHECK(test.answerOf(test.call()).has_value());
    }
}

// Guards against a second try that hangs as the first one, on a connection that died while it was idle.
TEST_CASE("A call that needs a new connection is sent on no idle one that was used before", "[wire][platform]")
{
    PlatformClientLimits limits;
    limits.connections = 1;
    Fixture test(limits);
    REQUIRE(test.answerOf(test.call()).has_value());
    test.isAnswered = [](const RawServer::Session& session) { return session.number >= 1; };
    PlatformCall call;
    call.id = PlatformCallId(++test.lastId);
    call.path = "/table/t/r";
    call.timeout = std::chrono::milliseconds(300);
    call.needsNewConnection = true;
    test.client.call(call);
    CHECK(test.answerOf(call.id).has_value());
    CHECK(test.server.accepted() == 2);
}
