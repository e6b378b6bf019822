#include "wire/PeerTransport.h"

#include "wire/Loop.h"
#include "wire/RawServer.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace Auburnpost;
using namespace Auburnpost::Wire;

namespace {

/// @return an address whose port was free when the function was called.
SocketAddress freeAddress(const Loop& loop)
{
    const RawServer server(loop.base(), {});
    return server.address();
}

struct Fixture {
    std::unique_ptr<PeerTransport> listen(PeerTransportLimits limits = {})
    {
        auto transport = std::make_unique<PeerTransport>(loop.base(), address, limits);
        transport->received().connect([this](const std::string& bytes) { received.push_back(bytes); });
        REQUIRE(transport->listen().has_value());
        return transport;
    }

    Loop loop;
    SocketAddress address { freeAddress(loop) };
    std::deque<std::string> received;
};

PeerTransportLimits smallBuffer()
{
    PeerTransportLimits limits;
    limits.sendBufferMessages = 4;
    limits.receiveBufferMessages = 4;
    return limits;
}

} // namespace

TEST_CASE("Messages to a peer arrive unchanged and in the order sent", "[wire][peer]")
{
    constexpr int count = 500;
    Fixture test;
    const auto receiver = test.listen();
    PeerTransport sender(test.loop.base(), {});
    for (int number = 0; number < count; ++number)
        REQUIRE(sender.send(test.address, std::to_string(number)).has_value());
    REQUIRE(test.loop.runUntil([&] { return test.received.size() == count; }));
    for (int number = 0; number < count; ++number)
        CHECK(test.received[static_cast<std::size_t>(number)] == std::to_string(number));
}

TEST_CASE("A message of 20 MB arrives unchanged, one above the limit is refused", "[wire][peer]")
{
    Fixture test;
    const auto receiver = test.listen();
    PeerTransport sender(test.loop.base(), {});
    std::string bytes(20UL * 1024 * 1024, 'a');
    bytes.back() = 'z';
    REQUIRE(sender.send(test.address, bytes).has_value());
    REQUIRE(test.loop.runUntil([&] { return !test.received.empty(); }));
    CHECK(test.received.front() == bytes);
    const auto refused = sender.send(test.address, std::string(65UL * 1024 * 1024, 'a'));
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == ErrorCode::BadMessage);
}

TEST_CASE("Messages to an unreachable peer are refused once its queue is full", "[wire][peer]")
{
    Fixture test;
    PeerTransport sender(test.loop.base(), {}, smallBuffer());
    std::size_t accepted = 0;
    Expected<void> sent;
    while (accepted < 1000 && (sent = sender.send(test.address, std::to_string(accepted))))
        ++accepted;
    REQUIRE_FALSE(sent.has_value());
    CHECK(sent.error().code == ErrorCode::PeerUnreachable);
    CHECK(sent.error().step == "send");
    CHECK(sent.error().peer == test.address.toString());
    CHECK(accepted >= 4);
    SECTION("the peer receives exactly the accepted messages once it listens")
    {
        const auto receiver = test.listen();
        REQUIRE(test.loop.runUntil([&] { return test.received.size() == accepted; }));
        for (std::size_t number = 0; number < accepted; ++number)
            CHECK(test.received[number] == std::to_string(number));
        CHECK(sender.send(test.address, "more").has_value());
        CHECK(test.loop.runUntil([&] { return test.received.back() == "more"; }));
    }
    SECTION("messages to other peers are delivered")
    {
        Fixture other;
        const auto receiver = other.listen();
        CHECK(sender.send(other.address, "hello").has_value());
        CHECK(other.loop.runUntil([&] { return !other.received.empty(); }));
    }
    SECTION("drop() discards the peer's queue")
    {
        sender.drop(test.address);
        CHECK(sender.peers() == 0);
        CHECK(sender.send(test.address, "new").has_value());
        const auto receiver = test.listen();
        REQUIRE(test.loop.runUntil([&] { return !test.received.empty(); }));
        CHECK(test.received.front() == "new");
    }
}

TEST_CASE("A connection to a restarted peer is established again", "[wire][peer]")
{
    Fixture test;
    PeerTransport sender(test.loop.base(), {});
    auto receiver = test.listen();
    REQUIRE(sender.send(test.address, "first").has_value());
    REQUIRE(test.loop.runUntil([&] { return !test.received.empty(); }));
    receiver.reset();
    receiver = test.listen();
    // Messages in transit during the restart may be lost, so the test sends until one arrives.
    REQUIRE(test.loop.runUntil([&] { return sender.send(test.address, "again") && test.received.size() > 1; }));
    CHECK(test.received.back() == "again");
}

TEST_CASE("A port in use is reported", "[wire][peer]")
{
    Fixture test;
    const auto receiver = test.listen();
    PeerTransport second(test.loop.base(), test.address);
    const auto listening = second.listen();
    REQUIRE_FALSE(listening.has_value());
    CHECK(listening.error().step == "listen");
}
