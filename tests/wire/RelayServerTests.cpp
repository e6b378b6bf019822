#include "wire/RelayServer.h"

#include "wire/Loop.h"
#include "wire/RawClient.h"
#include "wire/RawServer.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Wire;
using namespace std::chrono_literals;

namespace {

const TargetName known("known");

/// A relay in front of a target that answers each message with "got MESSAGE".
struct Relayed {
    Loop loop;
    RawServer target { loop.base(), [](RawServer::Session& session) {
                          RawServer::send(session, { "got " + std::exchange(session.input, {}), false });
                      } };
    RelayServer relay { loop.base(), { "127.0.0.1", 0 }, 2, [](const TargetName& name) { return name == known; } };

    Relayed() { REQUIRE(relay.listen()); }
};

} // namespace

TEST_CASE("Bytes pass unchanged once the target's connection stands", "[wire][relay]")
{
    Relayed relayed;
    RawClient peer(relayed.loop.base(), relayed.relay.address());
    peer.send(RelayServer::request(relayed.target.address(), known));
    REQUIRE(relayed.loop.runUntil([&] { return peer.received() == "OK\r\n"; }));
    peer.send("hello");
    REQUIRE(relayed.loop.runUntil([&] { return peer.received() == "OK\r\ngot hello"; }));

    SECTION("the end of the target is passed on after its last bytes")
    {
        relayed.target.push({ "last", true });
        REQUIRE(relayed.loop.runUntil([&] { return peer.closed(); }));
        CHECK(peer.received() == "OK\r\ngot hellolast");
        CHECK(relayed.relay.connections() == 0);
    }
    SECTION("the end of the peer ends the pair")
    {
        peer.close();
        CHECK(relayed.loop.runUntil([&] { return relayed.relay.connections() == 0; }));
    }
}

TEST_CASE("A peer is refused when there is no way to the target", "[wire][relay]")
{
    Relayed relayed;
    RawClient peer(relayed.loop.base(), relayed.relay.address());

    SECTION("by this host's own knowledge")
    {
        peer.send(RelayServer::request(relayed.target.address(), TargetName("unknown")));
    }
    SECTION("by the network")
    {
        relayed.target.stopListening();
        peer.send(RelayServer::request(relayed.target.address(), known));
    }
    SECTION("by a request that can't be read")
    {
        peer.send("nonsense\r\n");
    }
    CHECK(relayed.loop.runUntil([&] { return peer.received() == "NO\r\n"; }));
}

TEST_CASE("A peer that never ends its request is closed", "[wire][relay]")
{
    Relayed relayed;
    RawClient peer(relayed.loop.base(), relayed.relay.address());
    peer.send(std::string(2000, 'x'));
    CHECK(relayed.loop.runUntil([&] { return peer.closed(); }));
}

TEST_CASE("Peers beyond the limit are closed at once", "[wire][relay]")
{
    Relayed relayed;
    RawClient first(relayed.loop.base(), relayed.relay.address());
    RawClient second(relayed.loop.base(), relayed.relay.address());
    relayed.loop.runFor(10ms);
    RawClient third(relayed.loop.base(), relayed.relay.address());
    CHECK(relayed.loop.runUntil([&] { return third.closed(); }));
}
