#include "wire/PeerTransport.h"

#include "wire/Loop.h"
#include "wire/PeerFraming.h"
#include "wire/RawClient.h"
#include "wire/RawServer.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace Auburnpost;
using namespace Auburnpost::Wire;
using namespace std::chrono_literals;

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
    limits.sender.queuedMessages = 4;
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
        const auto otherAddress = freeAddress(test.loop);
        PeerTransport other(test.loop.base(), otherAddress);
        other.received().connect([&](const std::string& bytes) { test.received.push_back(bytes); });
        REQUIRE(other.listen().has_value());
        CHECK(sender.send(otherAddress, "hello").has_value());
        CHECK(test.loop.runUntil([&] { return !test.received.empty(); }));
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

TEST_CASE("Closing the connections never waits for a peer that comes and goes", "[wire][peer]")
{
    // The close of a socket used to hang now and then after its peer had restarted.
    constexpr int rounds = 200;
    Fixture test;
    for (int round = 0; round < rounds; ++round) {
        PeerTransport sender(test.loop.base(), {});
        test.received.clear();
        auto receiver = test.listen();
        REQUIRE(sender.send(test.address, "first").has_value());
        REQUIRE(test.loop.runUntil([&] { return !test.received.empty(); }));
        receiver.reset();
        REQUIRE(sender.send(test.address, "second").has_value());
        const auto closedAt = std::chrono::steady_clock::now();
        sender.drop(test.address);
        CHECK(std::chrono::steady_clock::now() - closedAt < 1s);
    }
}

TEST_CASE("A peer that does not speak the framing is disconnected and harms no other", "[wire][peer]")
{
    Fixture test;
    const auto receiver = test.listen();
    RawClient stranger(test.loop.base(), test.address);
    SECTION("another protocol")
    {
        stranger.send("GET / HTTP/1.1\r\n\r\n");
    }
    SECTION("a message above the size limit")
    {
        stranger.send(PeerFraming::senderHeader);
        stranger.send(std::string(PeerFraming::lengthBytes, '\xff'));
    }
    CHECK(test.loop.runUntil([&] { return stranger.closed(); }));
    PeerTransport sender(test.loop.base(), {});
    CHECK(sender.send(test.address, "hello").has_value());
    CHECK(test.loop.runUntil([&] { return !test.received.empty(); }));
}

TEST_CASE("Messages that arrive in single bytes are put together", "[wire][peer]")
{
    Fixture test;
    const auto receiver = test.listen();
    RawClient peer(test.loop.base(), test.address);
    const std::string message = "hello";
    const auto bytes = std::string(PeerFraming::senderHeader) + PeerFraming::encodeLength(message.size()) + message
        + PeerFraming::encodeLength(0);
    for (const char byte : bytes) {
        peer.send(std::string(1, byte));
        test.loop.runFor(1ms);
    }
    REQUIRE(test.loop.runUntil([&] { return test.received.size() == 2; }));
    CHECK(test.received[0] == message);
    CHECK(test.received[1].empty());
    CHECK(peer.received() == PeerFraming::receiverHeader);
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
