#include "app/SessionForwarder.h"

#include "wire/LineServer.h"
#include "wire/Loop.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;

namespace {

constexpr Instant start { std::chrono::seconds(100) };
const Proxy::SessionId session(7);

/// A host that accepts sessions, and the session forwarder of another host.
struct Fixture {
    Fixture()
    {
        REQUIRE(remoteHost.listen());
        remoteHost.lineReceived().connect([this](Wire::AcceptedConnectionId id, std::string_view line) {
            client = id;
            received.emplace_back(line);
        });
        forwarder.answerLineReceived().connect(
            [this](Proxy::SessionId, std::string_view line) { answers.emplace_back(line); });
        forwarder.answerCompleted().connect([this](Proxy::SessionId) { ++finished; });
        forwarder.openFailed().connect(
            [this](Proxy::SessionId, const DatabaseName& database, const HostName& host, bool wasRefused) {
                failed = database.value() + " at " + host.value();
                isRefused = wasRefused;
            });
        forwarder.sessionEnded().connect(
            [this](Proxy::SessionId, const DatabaseName&, const HostName&, bool hasOpenRequest) {
                ended = hasOpenRequest ? "with a request" : "idle";
            });
    }

    void open()
    {
        Proxy::HostEntry host;
        host.name = HostName("home");
        host.sessions = remoteHost.address();
        forwarder.open(start, session, { DatabaseName("orders") }, host);
    }
    /// Opens a session and waits until the host has accepted it.
    void openAndAccept()
    {
        open();
        REQUIRE(loop.runUntil([this] { return received.size() == 1; }));
        answer("READY I -\r\n");
        REQUIRE(loop.runUntil([this] { return finished == 1; }));
    }
    void answer(const std::string& text)
    {
        remoteHost.send(client, text);
        remoteHost.resume(client);
    }

    Loop loop;
    Wire::LineServer remoteHost { loop.base(), { "127.0.0.1", 0 }, 10 };
    SessionForwarder forwarder { loop.base() };
    Wire::AcceptedConnectionId client;
    std::vector<std::string> received;
    std::vector<std::string> answers;
    int finished { 0 };
    std::string failed;
    bool isRefused { false };
    std::string ended;
};

} // namespace

TEST_CASE("The lines of a session are forwarded unchanged in both directions", "[app][forward]")
{
    Fixture host;
    host.openAndAccept();
    CHECK(host.received == std::vector<std::string> { "START orders" });
    host.forwarder.send(session, "QUERY 1 READ k");
    REQUIRE(host.loop.runUntil([&] { return host.received.size() == 2; }));
    CHECK(host.received[1] == "QUERY 1 READ k");
    host.answer("ROW v\r\nDONE 7.1\r\nREADY I 1.4\r\n");
    REQUIRE(host.loop.runUntil([&] { return host.finished == 2; }));
    CHECK(host.answers == std::vector<std::string> { "READY I -", "ROW v", "DONE 7.1", "READY I 1.4" });
}

TEST_CASE("A failure that another host answers is reported with the statement and that host", "[app][forward]")
{
    Fixture host;
    host.openAndAccept();
    std::vector<std::string> failures;
    host.forwarder.requestFailed().connect(
        [&failures](Proxy::SessionId, const std::string& statement, const DatabaseName&, const HostName& decidedBy,
            std::string_view failure) {
            failures.push_back(statement + " at " + decidedBy.value() + ": " + std::string(failure));
        });
    host.forwarder.send(session, "QUERY 1a READ k");
    host.answer("ERROR NODATABASE no such database\r\nREADY I -\r\n");
    REQUIRE(host.loop.runUntil([&] { return host.finished == 2; }));
    CHECK(failures == std::vector<std::string> { "1a at home: NODATABASE no such database" });
    CHECK(host.answers[1] == "ERROR NODATABASE no such database");
}

TEST_CASE("A route is stated to the other host in front of the next statement", "[app][forward]")
{
    Fixture host;
    host.openAndAccept();
    CHECK(host.forwarder.isIdle(session));
    host.forwarder.stateRoute(session, { ConfigVersion(12), Proxy::RouteDigest(77) });
    host.forwarder.send(session, "QUERY 1 READ k");
    CHECK_FALSE(host.forwarder.isIdle(session));
    REQUIRE(host.loop.runUntil([&] { return host.received.size() == 2; }));
    CHECK(host.received[1] == "ROUTE 12 77");
    host.remoteHost.resume(host.client);
    REQUIRE(host.loop.runUntil([&] { return host.received.size() == 3; }));
    CHECK(host.received[2] == "QUERY 1 READ k");
}

TEST_CASE("A line feed alone does not divide a line that is forwarded", "[app][forward]")
{
    Fixture host;
    host.openAndAccept();
    const std::string request("QUERY 1 WRITE a b\nQUERY 2 WRITE c d");
    host.forwarder.send(session, request);
    REQUIRE(host.loop.runUntil([&] { return host.received.size() == 2; }));
    CHECK(host.received[1] == request);
    host.answer("ROW v\nREADY T 1.4\r\nDONE 7.1\r\nREADY I 1.4\r\n");
    REQUIRE(host.loop.runUntil([&] { return host.finished == 2; }));
    CHECK(host.answers == std::vector<std::string> { "READY I -", "ROW v\nREADY T 1.4", "DONE 7.1", "READY I 1.4" });
}

TEST_CASE("A host that does not open a session is reported, so that the next host can be tried", "[app][forward]")
{
    Fixture host;
    SECTION("when it closes the connection")
    {
        host.open();
        REQUIRE(host.loop.runUntil([&] { return host.received.size() == 1; }));
        host.remoteHost.close(host.client);
        REQUIRE(host.loop.runUntil([&] { return !host.failed.empty(); }));
        CHECK(host.isRefused);
    }
    SECTION("when nothing listens on its port")
    {
        host.remoteHost.stopListening();
        host.open();
        REQUIRE(host.loop.runUntil([&] { return !host.failed.empty(); }));
    }
    SECTION("when it does not answer within the timeout")
    {
        host.open();
        host.forwarder.tick(start + SessionForwarder::openTimeout - std::chrono::milliseconds(1));
        CHECK(host.failed.empty());
        host.forwarder.tick(start + SessionForwarder::openTimeout);
        CHECK_FALSE(host.isRefused);
    }
    CHECK(host.failed == "orders at home");
    CHECK_FALSE(host.forwarder.has(session));
}

TEST_CASE("A session ends when the host that serves it closes the connection", "[app][forward]")
{
    Fixture host;
    host.openAndAccept();
    SECTION("while no request is open") { }
    SECTION("while a request is open")
    {
        host.forwarder.send(session, "QUERY 1 READ k");
        REQUIRE(host.loop.runUntil([&] { return host.received.size() == 2; }));
    }
    const bool hasOpenRequest = host.received.size() == 2;
    host.remoteHost.close(host.client);
    REQUIRE(host.loop.runUntil([&] { return !host.ended.empty(); }));
    CHECK(host.ended == (hasOpenRequest ? "with a request" : "idle"));
}

TEST_CASE("A host that shuts down ends each forwarded session once it is idle", "[app][forward]")
{
    Fixture host;
    host.openAndAccept();
    host.forwarder.send(session, "QUERY 1 BEGIN");
    host.forwarder.closeIdle();
    CHECK(host.ended.empty());
    REQUIRE(host.loop.runUntil([&] { return host.received.size() == 2; }));

    SECTION("a session with an open request ends after the answer")
    {
        host.answer("DONE -\r\nREADY I -\r\n");
        REQUIRE(host.loop.runUntil([&] { return !host.ended.empty(); }));
        CHECK(host.answers.back() == "READY I -");
    }
    SECTION("a session in a transaction stays open until endSessionsWithoutRequest()")
    {
        host.answer("DONE -\r\nREADY T -\r\n");
        REQUIRE(host.loop.runUntil([&] { return host.finished == 2; }));
        CHECK(host.ended.empty());
        host.forwarder.endSessionsWithoutRequest();
        CHECK(host.ended == "idle");
    }
}
