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

/// A platform that replies to each whole request as scripted; an empty reply without a close is silence.
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
    RawServer server { loop.base(), [this](RawServer::Session& session) { onBytes(session); } };
    PlatformClient client;
    std::map<PlatformCallId, Expected<PlatformReply>> answers;
    std::map<PlatformCallId, int> answerCount;
    std::uint64_t lastId { 0 };
};

} // namespace

TEST_CASE("A call carries method, path, version and body, and brings back status, version and body", "[wire][platform]")
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
    SECTION("an answer other than 200 is an answer")
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

TEST_CASE("A call whose answer does not come whole fails once", "[wire][platform]")
{
    Fixture test;
    std::string message = "the connection failed";
    SECTION("closed before the answer")
    {
        test.script = [](const std::string&) { return Reply { "", true }; };
    }
    SECTION("closed within the header")
    {
        test.script = [](const std::string&) { return Reply { "HTTP/1.1 200 OK\r\nVersion: 1", true }; };
    }
    SECTION("closed within the body")
    {
        test.script = [](const std::string&) { return Reply { okReply("abc").substr(0, 40), true }; };
    }
    SECTION("not HTTP")
    {
        test.script = [](const std::string&) { return Reply { "nonsense\r\n\r\n", true }; };
    }
    SECTION("nobody listens")
    {
        test.server.stopListening();
    }
    SECTION("a version that is no number")
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

TEST_CASE("A call is made again on a connection after one that timed out", "[wire][platform]")
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

TEST_CASE("Many calls share few connections and each gets its own answer", "[wire][platform]")
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

TEST_CASE("Calls beyond those that may wait fail at once", "[wire][platform]")
{
    PlatformClientLimits limits;
    limits.connections = 1;
    limits.waiting = 1;
    Fixture test(limits);
    test.call();
    const auto excess = test.call();
    CHECK(test.answers.empty());
    CHECK_THAT(test.answerOf(excess).error().message, Catch::Contains("too many"));
}

TEST_CASE("A guarded call is written only if it may be when its connection stands", "[wire][platform]")
{
    Fixture platform;
    bool maySend = true;
    int asked = 0;
    PlatformCall call;
    call.id = PlatformCallId(99);
    call.method = PlatformMethod::Post;
    call.path = "/order";
    call.body = "{}";
    call.headers = { { "X-Token", "7" } };
    call.timeout = std::chrono::milliseconds(200);
    call.maySend = [&] {
        ++asked;
        return maySend;
    };

    SECTION("with its headers and body, and brings back the status")
    {
        platform.client.call(call);
        const auto& answer = platform.answerOf(call.id);
        REQUIRE(answer);
        CHECK(answer->status == 200);
        REQUIRE(platform.requests.size() == 1);
        CHECK(platform.requests[0].starts_with("POST /order HTTP/1.1\r\n"));
        CHECK(platform.requests[0].find("X-Token: 7\r\n") != std::string::npos);
        CHECK(platform.requests[0].ends_with("\r\n\r\n{}"));
        CHECK(asked == 1);
    }
    SECTION("not when its time is over by then")
    {
        maySend = false;
        platform.client.call(call);
        const auto& answer = platform.answerOf(call.id);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::NotSent);
        CHECK(platform.requests.empty());
    }
    SECTION("and fails as not sent when there is nobody to take it")
    {
        platform.server.stopListening();
        platform.client.call(call);
        const auto& answer = platform.answerOf(call.id);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::NotSent);
    }
    SECTION("but not as not sent when the answer stays away")
    {
        platform.script = [](const std::string&) { return Reply {}; };
        platform.client.call(call);
        const auto& answer = platform.answerOf(call.id);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::PlatformUnavailable);
    }
}
