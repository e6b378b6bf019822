#include "wire/RelayServer.h"

#include "wire/FullListener.h"
#include "wire/Loop.h"
#include "wire/RawClient.h"
#include "wire/RawServer.h"
#include "wire/SocketOptions.h"

#include <array>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace Auburnpost;
using namespace Auburnpost::Wire;
using namespace std::chrono_literals;

namespace {

const TargetName known("known");

/// A relay in front of a target that answers each message with "got MESSAGE".
struct Fixture {
    Loop loop;
    RawServer target { loop.base(), [](RawServer::Session& session) {
                          RawServer::send(session, { "got " + std::exchange(session.input, {}), false });
                      } };
    RelayServer relay { loop.base(), { "127.0.0.1", 0 }, 2, [](const TargetName& name) { return name == known; } };

    Fixture() { REQUIRE(relay.listen()); }
};

} // namespace

TEST_CASE("Bytes are forwarded unchanged once the connection to the target is established", "[wire][relay]")
{
    Fixture relayed;
    RawClient peer(relayed.loop.base(), relayed.relay.address());
    peer.send(RelayServer::request(relayed.target.address(), known));
    REQUIRE(relayed.loop.runUntil([&] { return peer.received() == "OK\r\n"; }));
    peer.send("hello");
    REQUIRE(relayed.loop.runUntil([&] { return peer.received() == "OK\r\ngot hello"; }));

    SECTION("after the last bytes of the target the connection to the peer is closed")
    {
        relayed.target.push({ "last", true });
        REQUIRE(relayed.loop.runUntil([&] { return peer.closed(); }));
        CHECK(peer.received() == "OK\r\ngot hellolast");
        CHECK(relayed.relay.connections() == 0);
    }
    SECTION("when the peer closes its connection, both are closed")
    {
        peer.close();
        CHECK(relayed.loop.runUntil([&] { return relayed.relay.connections() == 0; }));
    }
}

TEST_CASE("A peer is refused if the target can't be reached", "[wire][relay]")
{
    Fixture relayed;
    RawClient peer(relayed.loop.base(), relayed.relay.address());

    SECTION("because this host has no route to it")
    {
        peer.send(RelayServer::request(relayed.target.address(), TargetName("unknown")));
    }
    SECTION("because the connection to it fails")
    {
        relayed.target.stopListening();
        peer.send(RelayServer::request(relayed.target.address(), known));
    }
    SECTION("because the request is malformed")
    {
        peer.send("nonsense\r\n");
    }
    CHECK(relayed.loop.runUntil([&] { return peer.received() == "NO\r\n"; }));
    CHECK(relayed.loop.runUntil([&] { return relayed.relay.connections() == 0; }));
}

TEST_CASE("A line feed alone does not end a peer's request, which would send the rest to the target", "[wire][relay]")
{
    Fixture relayed;
    RawClient peer(relayed.loop.base(), relayed.relay.address());
    peer.send(relayed.target.address().toString() + " known\nQUERY 1 WRITE a b\r\n");
    REQUIRE(relayed.loop.runUntil([&] { return relayed.relay.connections() == 0 || !peer.received().empty(); }));
    relayed.loop.runFor(20ms);
    CHECK(peer.received() == "NO\r\n");
    CHECK(relayed.target.accepted() == 0);
}

TEST_CASE("A line that a peer sends before the answer to its request reaches the target", "[wire][relay]")
{
    Fixture relayed;
    // A listener whose queue is full answers a connection attempt only after the queue has room again.
    RawClient first(relayed.loop.base(), relayed.relay.address());
    FullListener slowTarget;
    first.send(RelayServer::request(slowTarget.address(), known));
    relayed.loop.runFor(50ms);
    REQUIRE(first.received().empty());
    first.send("one\r\n");
    relayed.loop.runFor(50ms);
    first.send("two\r\n");
    relayed.loop.runFor(50ms);
    REQUIRE(first.received().empty());

    slowTarget.acceptAll();
    REQUIRE(relayed.loop.runUntil([&] { return first.received() == "OK\r\n"; }));
    relayed.loop.runFor(20ms);
    CHECK(slowTarget.receive("one\r\ntwo\r\n"));
}

TEST_CASE("A peer that reads slowly gets the last bytes of a target that closed its connection", "[wire][relay]")
{
    // How many bytes the sockets hold is up to the kernel, so that only some of the sizes leave a rest in the relay.
    constexpr std::size_t step = 192UL * 1024;
    constexpr std::size_t largest = 10UL * 1024 * 1024;
    for (std::size_t size = step; size <= largest; size += step) {
        Fixture relayed;
        RawClient peer(relayed.loop.base(), relayed.relay.address());
        peer.send(RelayServer::request(relayed.target.address(), known) + "hello");
        REQUIRE(relayed.loop.runUntil([&] { return peer.received() == "OK\r\ngot hello"; }));

        peer.pauseReading();
        relayed.target.push({ std::string(size, 'a'), true });
        relayed.loop.runFor(20ms);
        peer.resumeReading();
        REQUIRE(relayed.loop.runUntil([&] { return peer.closed(); }));
        CHECK(peer.received().size() - std::string("OK\r\ngot hello").size() == size);
        CHECK(relayed.relay.connections() == 0);
    }
}

TEST_CASE("A target that reads slowly gets the last bytes of a peer that closed its connection", "[wire][relay]")
{
    // Guards against a relay that drops what it has queued for the target when the peer's connection ends.
    Fixture relayed;
    RawServer::Session* session = nullptr;
    RawServer target(relayed.loop.base(), [&session](RawServer::Session& readable) {
        if (!std::exchange(session, &readable))
            bufferevent_disable(readable.buffer.get(), EV_READ);
    });
    const int peer = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = toSockaddr(relayed.relay.address());
    REQUIRE(connect(peer, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    const auto request = RelayServer::request(target.address(), known);
    REQUIRE(send(peer, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    std::array<char, 16> reply {};
    REQUIRE(relayed.loop.runUntil([&] { return recv(peer, reply.data(), reply.size(), MSG_DONTWAIT) == 4; }));
    // The peer sends until nothing moves any more, so that each buffer on the way is full.
    const std::string piece(64UL * 1024, 'a');
    std::size_t sentBytes = 0;
    for (int idleRounds = 0; idleRounds < 20; ++idleRounds) {
        const auto count = send(peer, piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            sentBytes += static_cast<std::size_t>(count);
            idleRounds = 0;
        }
        relayed.loop.runFor(5ms);
    }
    close(peer);
    relayed.loop.runFor(20ms);
    REQUIRE(session);
    bufferevent_enable(session->buffer.get(), EV_READ);
    CHECK(relayed.loop.runUntil([&] { return session->input.size() == sentBytes; }));
    CHECK(relayed.loop.runUntil([&] { return relayed.relay.connections() == 0; }));
}

TEST_CASE("The connection of a peer with an endless request line is closed", "[wire][relay]")
{
    Fixture relayed;
    RawClient peer(relayed.loop.base(), relayed.relay.address());
    peer.send(std::string(2000, 'x'));
    CHECK(relayed.loop.runUntil([&] { return peer.closed(); }));
}

TEST_CASE("Connections of peers beyond the limit are closed immediately", "[wire][relay]")
{
    Fixture relayed;
    RawClient first(relayed.loop.base(), relayed.relay.address());
    RawClient second(relayed.loop.base(), relayed.relay.address());
    relayed.loop.runFor(10ms);
    RawClient third(relayed.loop.base(), relayed.relay.address());
    CHECK(relayed.loop.runUntil([&] { return third.closed(); }));
}
