#include "member/GossipDatagram.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <msgpack.hpp>

namespace Auburnpost::Member {

namespace {

    // A datagram is a sequence of MessagePack arrays: the head, then one array per record up to the end of the
    // datagram.
    constexpr std::uint64_t formatVersion = 1;
    constexpr std::uint32_t headFields = 9;
    constexpr std::uint32_t recordFields = 8;
    constexpr std::uint64_t healthMask = 3;
    constexpr std::uint64_t leavingBit = 4;
    constexpr std::size_t nameLimitBytes = 128;
    constexpr std::size_t depthLimit = 4;
    constexpr std::size_t digestBytes = sizeof(TableDigest);

    using Packer = msgpack::packer<msgpack::sbuffer>;

    struct BadField { };

    std::uint32_t ipNumber(const std::string& ip)
    {
        in_addr number {};
        return inet_pton(AF_INET, ip.c_str(), &number) == 1 ? ntohl(number.s_addr) : 0;
    }

    std::string ipText(std::uint32_t number)
    {
        const in_addr network { htonl(number) };
        char text[INET_ADDRSTRLEN] = {};
        return inet_ntop(AF_INET, &network, text, sizeof text) ? text : "";
    }

    void packAddress(Packer& packer, const SocketAddress& address)
    {
        packer.pack_uint64((static_cast<std::uint64_t>(ipNumber(address.ip)) << 16U) | address.port);
    }

    void packRecord(Packer& packer, const HostRecord& record)
    {
        packer.pack_array(recordFields);
        packer.pack(record.host.name.value());
        packer.pack(record.host.dataCentre.value());
        packAddress(packer, record.host.gossip);
        packAddress(packer, record.host.peers);
        packer.pack_uint64(record.host.incarnation.value());
        packer.pack_int64(
            static_cast<std::int64_t>(record.host.incarnation.value() - record.host.startIncarnation.value()));
        packer.pack_uint64(static_cast<std::uint64_t>(record.health) | (record.leaving ? leavingBit : 0));
        packer.pack_uint64(record.configVersion.value());
    }

    void packDigest(Packer& packer, const std::optional<TableDigest>& digest)
    {
        if (!digest) {
            packer.pack_nil();
            return;
        }
        packer.pack_bin(digestBytes);
        packer.pack_bin_body(reinterpret_cast<const char*>(digest->data()), digestBytes);
    }

    std::string textOf(const msgpack::object& object)
    {
        if (object.type != msgpack::type::STR || object.via.str.size > nameLimitBytes)
            throw BadField {};
        return { object.via.str.ptr, object.via.str.size };
    }

    std::uint64_t numberOf(const msgpack::object& object)
    {
        if (object.type != msgpack::type::POSITIVE_INTEGER)
            throw BadField {};
        return object.via.u64;
    }

    std::uint64_t differenceOf(const msgpack::object& object)
    {
        if (object.type == msgpack::type::NEGATIVE_INTEGER)
            return static_cast<std::uint64_t>(object.via.i64);
        return numberOf(object);
    }

    SocketAddress addressOf(const msgpack::object& object)
    {
        const auto number = numberOf(object);
        if (!number)
            return {};
        return { ipText(static_cast<std::uint32_t>(number >> 16U)), static_cast<std::uint16_t>(number) };
    }

    std::optional<TableDigest> digestOf(const msgpack::object& object)
    {
        if (object.is_nil())
            return std::nullopt;
        if (object.type != msgpack::type::BIN || object.via.bin.size != digestBytes)
            throw BadField {};
        TableDigest digest {};
        std::memcpy(digest.data(), object.via.bin.ptr, digestBytes);
        return digest;
    }

    const msgpack::object* fieldsOf(const msgpack::object& object, std::uint32_t count)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != count)
            throw BadField {};
        return object.via.array.ptr;
    }

    HostRecord recordOf(const msgpack::object& object)
    {
        const auto* field = fieldsOf(object, recordFields);
        HostRecord record;
        record.host.name = HostName(textOf(field[0]));
        record.host.dataCentre = DataCentreName(textOf(field[1]));
        record.host.gossip = addressOf(field[2]);
        record.host.peers = addressOf(field[3]);
        record.host.incarnation = Incarnation(numberOf(field[4]));
        record.host.startIncarnation = Incarnation(record.host.incarnation.value() - differenceOf(field[5]));
        const auto flags = numberOf(field[6]);
        record.configVersion = ConfigVersion(numberOf(field[7]));
        const auto health = flags & healthMask;
        if (record.host.name.value().empty() || !record.host.gossip.port
            || health > static_cast<std::uint64_t>(HostHealth::Dead))
            throw BadField {};
        record.health = static_cast<HostHealth>(health);
        record.leaving = (flags & leavingBit) != 0;
        return record;
    }

    GossipDatagram headOf(const msgpack::object& object)
    {
        const auto* field = fieldsOf(object, headFields);
        const auto kind = numberOf(field[1]);
        if (numberOf(field[0]) != formatVersion || kind > static_cast<std::uint64_t>(GossipKind::Records))
            throw BadField {};
        GossipDatagram head;
        head.kind = static_cast<GossipKind>(kind);
        head.sequence = static_cast<std::uint32_t>(numberOf(field[2]));
        head.subject = HostName(textOf(field[3]));
        head.subjectAddress = addressOf(field[4]);
        head.digest = digestOf(field[5]);
        head.highestVersion = ConfigVersion(numberOf(field[6]));
        head.highestVersionHost = HostName(textOf(field[7]));
        head.sender = recordOf(field[8]);
        const bool needsDigest = head.kind == GossipKind::Digest || head.kind == GossipKind::DigestResponse;
        const bool needsAddress = head.kind == GossipKind::PingRequest;
        if ((needsDigest && !head.digest) || (needsAddress && !head.subjectAddress.port))
            throw BadField {};
        return head;
    }

    msgpack::object_handle unpackNext(std::string_view bytes, std::size_t& offset)
    {
        const msgpack::unpack_limit limits(headFields, 0, bytes.size(), bytes.size(), 0, depthLimit);
        return msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
    }

} // namespace

GossipWriter::GossipWriter(const GossipDatagram& head, std::size_t limitBytes)
    : m_limit(limitBytes)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(headFields);
    packer.pack_uint64(formatVersion);
    packer.pack_uint64(static_cast<std::uint64_t>(head.kind));
    packer.pack_uint64(head.sequence);
    packer.pack(head.subject.value());
    packAddress(packer, head.subjectAddress);
    packDigest(packer, head.digest);
    packer.pack_uint64(head.highestVersion.value());
    packer.pack(head.highestVersionHost.value());
    packRecord(packer, head.sender);
    m_bytes.assign(buffer.data(), buffer.size());
}

bool GossipWriter::add(const HostRecord& record)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packRecord(packer, record);
    if (m_bytes.size() + buffer.size() > m_limit)
        return false;
    m_bytes.append(buffer.data(), buffer.size());
    ++m_records;
    return true;
}

Expected<GossipDatagram> readGossip(const SocketAddress& from, std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        auto datagram = headOf(unpackNext(bytes, offset).get());
        while (offset < bytes.size())
            datagram.records.push_back(recordOf(unpackNext(bytes, offset).get()));
        return datagram;
    } catch (const BadField&) {
        return fail(ErrorCode::BadMessage, "read gossip", from.toString(), "a field has another form");
    } catch (const msgpack::unpack_error&) {
        return fail(ErrorCode::BadMessage, "read gossip", from.toString(), "the bytes are no MessagePack");
    }
}

} // namespace Auburnpost::Member
