#include "limit/AllotmentCodec.h"

#include <limits>
#include <msgpack.hpp>

namespace Auburnpost::Limit {

namespace {

    // A datagram is one MessagePack array: the version, the kind, the fields, and one number after another for each
    // organisation.
    constexpr std::uint64_t formatVersion = 1;
    constexpr std::uint64_t requestKind = 1;
    constexpr std::uint64_t replyKind = 2;
    constexpr std::uint32_t requestFields = 10;
    constexpr std::uint32_t replyFields = 10;
    constexpr std::uint32_t claimNumbers = 4;
    constexpr std::uint32_t grantNumbers = 2;
    constexpr std::size_t maxNameBytes = 128;
    constexpr std::size_t maxDepth = 3;

    using Packer = msgpack::packer<msgpack::sbuffer>;

    struct BadField { };

    void pack(Packer& packer, const AllotmentRequest& request)
    {
        packer.pack_array(requestFields);
        packer.pack_uint64(formatVersion);
        packer.pack_uint64(requestKind);
        packer.pack(request.host.value());
        packer.pack_uint64(request.hostStart.value());
        packer.pack_uint64(request.number.value());
        packer.pack_uint64(request.coordinatorStart.value());
        packer.pack_uint64(request.echoedStamp.value());
        packer.pack_uint64(request.shareDivisor);
        packer.pack_uint64(request.listedHosts);
        packer.pack_array(static_cast<std::uint32_t>(request.claims.size()) * claimNumbers);
        for (const auto& claim : request.claims) {
            packer.pack_uint64(claim.organisation.value());
            packer.pack_uint64(claim.held);
            packer.pack_uint64(claim.used);
            packer.pack_uint64(claim.wanted);
        }
    }

    void pack(Packer& packer, const AllotmentReply& reply)
    {
        packer.pack_array(replyFields);
        packer.pack_uint64(formatVersion);
        packer.pack_uint64(replyKind);
        packer.pack_uint64(reply.coordinatorStart.value());
        packer.pack_uint64(reply.hostStart.value());
        packer.pack_uint64(reply.number.value());
        packer.pack_uint64(reply.stamp.value());
        packer.pack_uint64(reply.listedHosts);
        packer.pack_uint64(reply.sharePermille);
        packer.pack_uint64(reply.coordinatorHash);
        packer.pack_array(static_cast<std::uint32_t>(reply.grants.size()) * grantNumbers);
        for (const auto& grant : reply.grants) {
            packer.pack_uint64(grant.organisation.value());
            packer.pack_uint64((std::uint64_t { grant.total } << 1U) | (grant.isScarce ? 1U : 0U));
        }
    }

    std::uint64_t numberOf(const msgpack::object& object)
    {
        if (object.type != msgpack::type::POSITIVE_INTEGER)
            throw BadField {};
        return object.via.u64;
    }

    std::uint32_t smallNumberOf(const msgpack::object& object)
    {
        const auto number = numberOf(object);
        if (number > std::numeric_limits<std::uint32_t>::max())
            throw BadField {};
        return static_cast<std::uint32_t>(number);
    }

    std::string nameOf(const msgpack::object& object)
    {
        if (object.type != msgpack::type::STR || !object.via.str.size || object.via.str.size > maxNameBytes)
            throw BadField {};
        return { object.via.str.ptr, object.via.str.size };
    }

    const msgpack::object* fieldsOf(const msgpack::object& object, std::uint32_t count)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != count)
            throw BadField {};
        return object.via.array.ptr;
    }

    /// @return the number of entries in an array with @p numbers numbers for each entry.
    std::uint32_t entriesOf(const msgpack::object& object, std::uint32_t numbers)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size % numbers
            || object.via.array.size / numbers > maxAllotmentEntries)
            throw BadField {};
        return object.via.array.size / numbers;
    }

    AllotmentRequest requestOf(const msgpack::object& object)
    {
        const auto* field = fieldsOf(object, requestFields) + 2;
        AllotmentRequest request;
        request.host = HostName(nameOf(*field++));
        request.hostStart = HostStart(smallNumberOf(*field++));
        request.number = RequestNumber(numberOf(*field++));
        request.coordinatorStart = HostStart(smallNumberOf(*field++));
        request.echoedStamp = ClockStamp(numberOf(*field++));
        request.shareDivisor = smallNumberOf(*field++);
        request.listedHosts = smallNumberOf(*field++);
        const auto entries = entriesOf(*field, claimNumbers);
        const auto* number = field->via.array.ptr;
        for (std::uint32_t entry = 0; entry < entries; ++entry, number += claimNumbers)
            request.claims.push_back({ AllotmentId(smallNumberOf(number[0])), smallNumberOf(number[1]),
                numberOf(number[2]), smallNumberOf(number[3]) });
        return request;
    }

    AllotmentReply replyOf(const msgpack::object& object)
    {
        const auto* field = fieldsOf(object, replyFields) + 2;
        AllotmentReply reply;
        reply.coordinatorStart = HostStart(smallNumberOf(*field++));
        reply.hostStart = HostStart(smallNumberOf(*field++));
        reply.number = RequestNumber(numberOf(*field++));
        reply.stamp = ClockStamp(numberOf(*field++));
        reply.listedHosts = smallNumberOf(*field++);
        reply.sharePermille = smallNumberOf(*field++);
        reply.coordinatorHash = smallNumberOf(*field++);
        const auto entries = entriesOf(*field, grantNumbers);
        const auto* number = field->via.array.ptr;
        for (std::uint32_t entry = 0; entry < entries; ++entry, number += grantNumbers) {
            const auto total = numberOf(number[1]);
            if (total >> 1U > std::numeric_limits<std::uint32_t>::max())
                throw BadField {};
            reply.grants.push_back(
                { AllotmentId(smallNumberOf(number[0])), static_cast<std::uint32_t>(total >> 1U), (total & 1U) != 0 });
        }
        return reply;
    }

    AllotmentBody bodyOf(const msgpack::object& object)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size < 2
            || numberOf(object.via.array.ptr[0]) != formatVersion)
            throw BadField {};
        switch (numberOf(object.via.array.ptr[1])) {
        case requestKind:
            return requestOf(object);
        case replyKind:
            return replyOf(object);
        default:
            throw BadField {};
        }
    }

} // namespace

std::string encode(const AllotmentBody& body)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    std::visit([&packer](const auto& message) { pack(packer, message); }, body);
    return { buffer.data(), buffer.size() };
}

Expected<AllotmentBody> decodeAllotment(std::string_view datagram)
{
    try {
        const msgpack::unpack_limit limits(
            maxAllotmentEntries * claimNumbers, 0, maxNameBytes, maxNameBytes, 0, maxDepth);
        std::size_t offset = 0;
        const auto object = msgpack::unpack(datagram.data(), datagram.size(), offset, nullptr, nullptr, limits);
        if (offset != datagram.size())
            throw BadField {};
        return bodyOf(object.get());
    } catch (const BadField&) {
        return fail(ErrorCode::BadMessage, "read allotments", "", "a field has another form");
    } catch (const msgpack::unpack_error&) {
        return fail(ErrorCode::BadMessage, "read allotments", "", "the bytes are no MessagePack");
    }
}

} // namespace Auburnpost::Limit
