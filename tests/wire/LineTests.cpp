#include "wire/LineClients.h"
#include "wire/LineServer.h"
#include "wire/Loop.h"
#include "wire/RawClient.h"
#include "wire/RawServer.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace Auburnpost;
using namespace Auburnpost::Wire;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t connectionLimit = 3;

/// A line server that records the lines and ends of its connections.
struct Fixture {
    Loop loop;
    LineServer server { loop.base(), { "127.0.0.1", 0 }, connectionLimit };
    std::vector<std::string> lines;
    std::vector<DisconnectReason> ends;
    AcceptedConnectionId last;

    Fixture()
    {
        REQUIRE(server.listen());
        server.lineReceived().connect([this](AcceptedConnectionId id, std::string_view line) {
            last = id;
            lines.emplace_back(line);
        });
        server.disconnected().connect([this](AcceptedConnectionId, DisconnectReason end) { ends.push_back(end); });
    }
};

} // namespace

TEST_CASE("A connection reports one line at a time", "[wire][lines]")
{
    Fixture served;
    RawClient client(served.loop.base(), served.server.address());
    client.send("one\r\ntwo\r\nthr");
    REQUIRE(served.loop.runUntil([&] { return served.lines.size() == 1; }));
    served.loop.runFor(20ms);
    CHECK(served.lines == std::vector<std::string> { "one" });

    served.server.send(served.last, "answer\r\n");
    served.server.resume(served.last);
    REQUIRE(served.loop.runUntil([&] { return served.lines.size() == 2; }));
    served.server.resume(served.last);
    client.send("ee\r\n");
    REQUIRE(served.loop.runUntil([&] { return served.lines.size() == 3; }));
    CHECK(served.lines.back() == "three");
    CHECK(client.received() == "answer\r\n");
}

TEST_CASE("A line feed alone does not smuggle a second message into a line", "[wire][lines]")
{
    const std::string text("QUERY 1 WRITE a b\nQUERY 2 WRITE c d");
    SECTION("on an accepted connection")
    {
        Fixture served;
        RawClient client(served.loop.base(), served.server.address());
        client.send(text + "\r\nnext\r\n");
        REQUIRE(served.loop.runUntil([&] { return served.lines.size() == 1; }));
        served.server.resume(served.last);
        REQUIRE(served.loop.runUntil([&] { return served.lines.size() == 2; }));
        CHECK(served.lines == std::vector<std::string> { text, "next" });
    }
    SECTION("on a client's connection")
    {
        Loop loop;
        RawServer server(loop.base(), [&](RawServer::Session& session) {
            session.input.clear();
            RawServer::send(session, { text + "\r\nnext\r\n", false });
        });
        LineClients lineClients(loop.base());
        std::vector<std::string> lines;
        lineClients.connected().connect([&](ConnectionId id) { lineClients.send(id, "hello\r\n"); });
        lineClients.lineReceived().connect([&](ConnectionId, std::string_view line) { lines.emplace_back(line); });
        lineClients.open(ConnectionId(1), server.address());
        REQUIRE(loop.runUntil([&] { return lines.size() >= 2; }));
        CHECK(lines == std::vector<std::string> { text, "next" });
    }
}

TEST_CASE("A closed connection ends as soon as its last message is sent", "[wire][lines]")
{
    // A connection that stayed open after close() accepted requests that were never answered.
    Fixture served;
    RawClient client(served.loop.base(), served.server.address());
    client.send("one\r\n");
    REQUIRE(served.loop.runUntil([&] { return served.lines.size() == 1; }));
    served.server.send(served.last, "bye\r\n");
    served.server.close(served.last);
    REQUIRE(served.loop.runUntil([&] { return client.closed(); }));
    CHECK(client.received() == "bye\r\n");
    CHECK(served.ends.empty());

    SECTION("also a connection without output")
    {
        RawClient other(served.loop.base(), served.server.address());
        other.send("two\r\n");
        REQUIRE(served.loop.runUntil([&] { return served.lines.size() == 2; }));
        served.server.close(served.last);
        CHECK(served.loop.runUntil([&] { return other.closed(); }));
    }
}

TEST_CASE("A line without an end is refused at the length limit and does not affect other connections", "[wire][lines]")
{
    Fixture served;
    served.server.disconnected().connect([&](AcceptedConnectionId id, DisconnectReason end) {
        if (end == DisconnectReason::LineTooLong) {
            served.server.send(id, "too long\r\n");
            served.server.close(id);
        }
    });
    RawClient flood(served.loop.base(), served.server.address());
    RawClient other(served.loop.base(), served.server.address());
    flood.send(std::string(LineConnection::maxLineBytes + 1000, 'x'));
    REQUIRE(served.loop.runUntil([&] { return !served.ends.empty(); }));
    CHECK(served.ends.front() == DisconnectReason::LineTooLong);
    CHECK(served.loop.runUntil([&] { return flood.closed(); }));
    other.send("one\r\n");
    CHECK(served.loop.runUntil([&] { return served.lines.size() == 1; }));
}

TEST_CASE("A connection that sends no more after half a line is closed after the time limit", "[wire][lines]")
{
    Fixture served;
    constexpr Instant start { 100s };
    served.server.tick(start);
    RawClient client(served.loop.base(), served.server.address());
    client.send("half");
    served.loop.runFor(20ms);
    served.server.tick(start + 9s);
    served.loop.runFor(20ms);
    CHECK_FALSE(client.closed());
    // The time limit of 10 s is extended by what four bytes take at the minimum rate, which is below 1 ms.
    served.server.tick(start + 10s + 1ms);
    CHECK(served.loop.runUntil([&] { return client.closed(); }));
}

TEST_CASE("A connection without a message gives its place to a new caller", "[wire][lines]")
{
    // Guards against a host that refuses everybody once connections that were opened and left take all places.
    constexpr Instant start { 100s };
    Fixture served;
    served.server.tick(start);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t count = 0; count < connectionLimit; ++count) {
        clients.push_back(std::make_unique<RawClient>(served.loop.base(), served.server.address()));
        served.loop.runFor(10ms);
    }
    served.server.tick(start + 2s);
    RawClient caller(served.loop.base(), served.server.address());
    caller.send("one\r\n");
    CHECK(served.loop.runUntil([&] { return served.lines.size() == 1; }));
    CHECK(served.loop.runUntil([&] { return clients.front()->closed(); }));
    CHECK_FALSE(clients.back()->closed());
}

TEST_CASE("A connection is read no further while its answers are unread", "[wire][lines]")
{
    // Guards against answers that pile up for a caller that sends many messages and reads nothing.
    Fixture served;
    constexpr std::size_t answerBytes = 16UL * 1024 * 1024;
    RawClient client(served.loop.base(), served.server.address());
    std::vector<AcceptedConnectionId> ids;
    served.server.lineReceived().connect([&](AcceptedConnectionId id, std::string_view) { ids.push_back(id); });
    client.pauseReading();
    client.send("one\r\ntwo\r\n");
    REQUIRE(served.loop.runUntil([&] { return ids.size() == 1; }));
    served.server.send(ids.front(), std::string(answerBytes, 'a'));
    served.server.resume(ids.front());
    served.loop.runFor(50ms);
    CHECK(ids.size() == 1);
    client.resumeReading();
    CHECK(served.loop.runUntil([&] { return ids.size() == 2; }));
    CHECK(served.loop.runUntil([&] { return client.received().size() == answerBytes; }));
}

TEST_CASE("A message of nearly the greatest length is read whole, also when its line end is divided", "[wire][lines]")
{
    // Guards against a search that passes over a line end whose first byte was searched before the second came.
    Fixture served;
    RawClient client(served.loop.base(), served.server.address());
    const std::string message(LineConnection::maxLineBytes - 10, 'x');
    client.send(message);
    served.loop.runFor(50ms);
    client.send("\r");
    served.loop.runFor(10ms);
    CHECK(served.lines.empty());
    client.send("\n");
    REQUIRE(served.loop.runUntil([&] { return served.lines.size() == 1; }));
    CHECK(served.lines.front() == message);
}

TEST_CASE("Connections beyond the limit are closed immediately", "[wire][lines]")
{
    Fixture served;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t count = 0; count <= connectionLimit; ++count) {
        clients.push_back(std::make_unique<RawClient>(served.loop.base(), served.server.address()));
        served.loop.runFor(10ms);
    }
    CHECK(served.loop.runUntil([&] { return clients.back()->closed(); }));
    CHECK_FALSE(clients.front()->closed());
}

TEST_CASE("A client connection reports its establishment, its lines and its end", "[wire][lines]")
{
    Loop loop;
    RawServer server(loop.base(), [](RawServer::Session& session) {
        session.input.clear();
        RawServer::send(session, { "one\r\ntwo\r\n", true });
    });
    LineClients lineClients(loop.base());
    std::vector<std::string> seen;
    lineClients.connected().connect([&](ConnectionId id) {
        seen.emplace_back("connected");
        lineClients.send(id, "hello\r\n");
    });
    lineClients.lineReceived().connect([&](ConnectionId, std::string_view line) { seen.emplace_back(line); });
    lineClients.disconnected().connect([&](ConnectionId, DisconnectReason end) {
        seen.emplace_back(end == DisconnectReason::Closed ? "closed" : "refused");
    });
    lineClients.open(ConnectionId(1), server.address());
    REQUIRE(loop.runUntil([&] { return seen.size() == 4; }));
    CHECK(seen == std::vector<std::string> { "connected", "one", "two", "closed" });

    SECTION("a port without a listener refuses the connection")
    {
        server.stopListening();
        seen.clear();
        lineClients.open(ConnectionId(2), server.address());
        REQUIRE(loop.runUntil([&] { return seen.size() == 1; }));
        CHECK(seen.front() == "refused");
    }
}

TEST_CASE("A client connection may be closed while one of its lines is handled", "[wire][lines]")
{
    Loop loop;
    RawServer server(loop.base(), [](RawServer::Session& session) {
        session.input.clear();
        RawServer::send(session, { "one\r\ntwo\r\n", false });
    });
    LineClients lineClients(loop.base());
    std::size_t lines = 0;
    lineClients.connected().connect([&](ConnectionId id) { lineClients.send(id, "hello\r\n"); });
    lineClients.lineReceived().connect([&](ConnectionId id, std::string_view) {
        ++lines;
        lineClients.close(id);
    });
    lineClients.open(ConnectionId(1), server.address());
    REQUIRE(loop.runUntil([&] { return lines == 1; }));
    loop.runFor(20ms);
    CHECK(lines == 1);
}
