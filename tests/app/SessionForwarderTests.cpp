#include "app/SessionForwarder.h"

#include "wire/LineServer.h"
#include "wire/Loop.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;

namespace {

constexpr Instant start { std::chrono::seconds(100) };
const Proxy::SessionId session(7);

/// A host that takes sessions, and the forwarder of another host.
struct Fixture {
    Fixture()
    {
        REQUIRE(home.listen());
        home.arrived().connect([this](Wire::LineClientId id, std::string_view line) {
            client = id;
            received.emplace_back(line);
        });
        forwarder.answered().connect([this](Proxy::SessionId, std::string_view line) { answers.emplace_back(line); });
        forwarder.finished().connect([this](Proxy::SessionId) { ++finished; });
        forwarder.failed().connect([this](Proxy::SessionId, const DatabaseName& database, const HostName& host) {
            failed = database.value() + " at " + host.value();
        });
        forwarder.ended().connect([this](Proxy::SessionId, const DatabaseName&, const HostName&, bool hasOpenRequest) {
            ended = hasOpenRequest ? "with a request" : "idle";
        });
    }

    void open()
    {
        Proxy::HostEntry host;
        host.name = HostName("home");
        host.sessions = home.address();
        forwarder.open(start, session, DatabaseName("orders"), host);
    }
    /// Goes on to an open session.
    void openWhole()
    {
        open();
        REQUIRE(loop.runUntil([this] { return received.size() == 1; }));
        answer("READY I -\r\n");
        REQUIRE(loop.runUntil([this] { return finished == 1; }));
    }
    void answer(const std::string& text)
    {
        home.send(client, text);
        home.resume(client);
    }

    Loop loop;
    Wire::LineServer home { loop.base(), { "127.0.0.1", 0 }, 10 };
    SessionForwarder forwarder { loop.base() };
    Wire::LineClientId client;
    std::vector<std::string> received;
    std::vector<std::string> answers;
    int finished { 0 };
    std::string failed;
    std::string ended;
};

} // namespace

TEST_CASE("A session's lines are passed on unchanged in both directions", "[app][forward]")
{
    Fixture host;
    host.openWhole();
    CHECK(host.received == std::vector<std::string> { "START orders" });
    host.forwarder.send(session, "QUERY 1 READ k");
    REQUIRE(host.loop.runUntil([&] { return host.received.size() == 2; }));
    CHECK(host.received[1] == "QUERY 1 READ k");
    host.answer("ROW v\r\nDONE 7.1\r\nREADY I 1.4\r\n");
    REQUIRE(host.loop.runUntil([&] { return host.finished == 2; }));
    CHECK(host.answers == std::vector<std::string> { "READY I -", "ROW v", "DONE 7.1", "READY I 1.4" });
}

TEST_CASE("A host that does not open a session is reported, so that another one is tried", "[app][forward]")
{
    Fixture host;
    SECTION("when it closes")
    {
        host.open();
        REQUIRE(host.loop.runUntil([&] { return host.received.size() == 1; }));
        host.home.close(host.client);
        REQUIRE(host.loop.runUntil([&] { return !host.failed.empty(); }));
    }
    SECTION("when nobody listens")
    {
        host.home.stopListening();
        host.open();
        REQUIRE(host.loop.runUntil([&] { return !host.failed.empty(); }));
    }
    SECTION("when it is silent")
    {
        host.open();
        host.forwarder.tick(start + SessionForwarder::openLimit - std::chrono::milliseconds(1));
        CHECK(host.failed.empty());
        host.forwarder.tick(start + SessionForwarder::openLimit);
    }
    CHECK(host.failed == "orders at home");
    CHECK_FALSE(host.forwarder.has(session));
}

TEST_CASE("A session ends with the host that serves it", "[app][forward]")
{
    Fixture host;
    host.openWhole();
    SECTION("at rest") { }
    SECTION("in the middle of a request")
    {
        host.forwarder.send(session, "QUERY 1 READ k");
        REQUIRE(host.loop.runUntil([&] { return host.received.size() == 2; }));
    }
    const bool hasOpenRequest = host.received.size() == 2;
    host.home.close(host.client);
    REQUIRE(host.loop.runUntil([&] { return !host.ended.empty(); }));
    CHECK(host.ended == (hasOpenRequest ? "with a request" : "idle"));
}

TEST_CASE("A leaving host ends the sessions that it passed on once they are idle", "[app][forward]")
{
    Fixture host;
    host.openWhole();
    host.forwarder.send(session, "QUERY 1 BEGIN");
    host.forwarder.closeIdle();
    CHECK(host.ended.empty());
    REQUIRE(host.loop.runUntil([&] { return host.received.size() == 2; }));

    SECTION("with the answer to the open request")
    {
        host.answer("DONE -\r\nREADY I -\r\n");
        REQUIRE(host.loop.runUntil([&] { return !host.ended.empty(); }));
        CHECK(host.answers.back() == "READY I -");
    }
    SECTION("but not inside a transaction, until its time is over")
    {
        host.answer("DONE -\r\nREADY T -\r\n");
        REQUIRE(host.loop.runUntil([&] { return host.finished == 2; }));
        CHECK(host.ended.empty());
        host.forwarder.endTransactions();
        CHECK(host.ended == "idle");
    }
}
