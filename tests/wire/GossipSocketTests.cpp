#include "wire/GossipSocket.h"

#include "wire/Loop.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Wire;

TEST_CASE("A datagram arrives unchanged with its sender's address", "[wire][gossip]")
{
    const Loop loop;
    GossipSocket left(loop.base(), { "127.0.0.1", 0 });
    GossipSocket right(loop.base(), { "127.0.0.1", 0 });
    REQUIRE(left.listen().has_value());
    REQUIRE(right.listen().has_value());
    std::string received;
    SocketAddress from;
    right.received().connect([&](const SocketAddress& sender, std::string_view bytes) {
        from = sender;
        received = bytes;
    });
    const std::string bytes("a\0b", 3);
    REQUIRE(left.send(right.address(), bytes).has_value());
    REQUIRE(loop.runUntil([&] { return !received.empty(); }));
    CHECK(received == bytes);
    CHECK(from == left.address());
    SECTION("a datagram too large for UDP is refused")
    {
        const auto sent = left.send(right.address(), std::string(GossipSocket::maxDatagramBytes + 1, 'x'));
        REQUIRE_FALSE(sent.has_value());
        CHECK(sent.error().peer == right.address().toString());
    }
    SECTION("a port in use is reported")
    {
        GossipSocket second(loop.base(), right.address());
        CHECK_FALSE(second.listen().has_value());
    }
}
