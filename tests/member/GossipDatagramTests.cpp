#include "member/GossipDatagram.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Auburnpost;
using namespace Auburnpost::Member;

namespace {

const SocketAddress sender { "127.0.0.9", 7946 };

HostRecord anyRecord()
{
    HostRecord record;
    record.host.name = HostName(*rc::gen::container<std::string>(12, rc::gen::inRange('a', 'z')));
    record.host.dataCentre = DataCentreName("south-galle");
    record.host.gossip = { "127.0.0." + std::to_string(*rc::gen::inRange(1, 254)), 7946 };
    record.host.peers = { "10.2.3.4", 7947 };
    record.host.incarnation = Incarnation(*rc::gen::arbitrary<std::uint64_t>());
    record.host.startIncarnation = Incarnation(record.host.incarnation.value() - *rc::gen::inRange(0U, 9U));
    record.health = *rc::gen::element(HostHealth::Alive, HostHealth::Suspect, HostHealth::Dead);
    record.leaving = *rc::gen::arbitrary<bool>();
    record.configVersion = ConfigVersion(*rc::gen::arbitrary<std::uint64_t>());
    return record;
}

GossipDatagram anyDatagram()
{
    GossipDatagram datagram;
    datagram.kind = GossipKind::Digest;
    datagram.sender = anyRecord();
    datagram.sequence = *rc::gen::arbitrary<std::uint32_t>();
    datagram.subject = HostName("entry-host-7");
    datagram.subjectAddress = sender;
    datagram.digest = TableDigest {};
    datagram.digest->back() = datagram.sequence;
    datagram.highestVersion = ConfigVersion(9);
    datagram.highestVersionHost = HostName("entry-host-8");
    return datagram;
}

} // namespace

TEST_CASE("Parsing a serialized gossip datagram restores it", "[member][codec]")
{
    CHECK(rc::check([] {
        const auto head = anyDatagram();
        const auto record = anyRecord();
        GossipWriter writer(head, 1200);
        RC_ASSERT(writer.add(record));
        const auto read = readGossip(sender, writer.bytes());
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->sender == head.sender);
        RC_ASSERT(read->digest == head.digest);
        RC_ASSERT(read->sequence == head.sequence);
        RC_ASSERT(read->subject == head.subject);
        RC_ASSERT(read->subjectAddress == head.subjectAddress);
        RC_ASSERT(read->highestVersion == head.highestVersion);
        RC_ASSERT(read->highestVersionHost == head.highestVersionHost);
        RC_ASSERT(read->records == std::vector<HostRecord> { record });
    }));
}

TEST_CASE("Records are added to a datagram up to its size limit", "[member][codec]")
{
    CHECK(rc::check([] {
        GossipWriter writer(anyDatagram(), 1200);
        while (writer.add(anyRecord())) { }
        RC_ASSERT(writer.records() >= std::size_t(8));
        RC_ASSERT(writer.bytes().size() <= std::size_t(1200));
    }));
}

TEST_CASE("Malformed gossip datagrams cause an error and no crash", "[member][codec]")
{
    CHECK_FALSE(readGossip(sender, {}).has_value());
    SECTION("random bytes")
    {
        CHECK(rc::check([](const std::vector<char>& bytes) {
            RC_ASSERT_FALSE(readGossip(sender, { bytes.data(), bytes.size() }).has_value());
        }));
    }
    SECTION("a datagram with bytes changed or truncated")
    {
        CHECK(rc::check([] {
            GossipWriter writer(anyDatagram(), 1200);
            writer.add(anyRecord());
            auto bytes = writer.bytes();
            for (int change = *rc::gen::inRange(0, 8); change > 0; --change)
                bytes[*rc::gen::inRange(std::size_t(0), bytes.size())] = *rc::gen::arbitrary<char>();
            bytes.resize(*rc::gen::inRange(std::size_t(0), bytes.size() + 1));
            const auto read = readGossip(sender, bytes);
            if (!read)
                RC_ASSERT(read.error().code == ErrorCode::BadMessage);
        }));
    }
}
