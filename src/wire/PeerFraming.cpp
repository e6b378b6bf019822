#include "wire/PeerFraming.h"

#include <event2/buffer.h>

#include <array>
#include <endian.h>

namespace Auburnpost::Wire {

PeerFraming::HeaderState PeerFraming::readHeader(evbuffer* input, std::string_view expected)
{
    std::array<char, headerBytes> header {};
    if (evbuffer_get_length(input) < header.size())
        return HeaderState::Incomplete;
    evbuffer_remove(input, header.data(), header.size());
    return std::string_view(header.data(), header.size()) == expected ? HeaderState::Accepted : HeaderState::Refused;
}

std::string PeerFraming::encodeLength(std::size_t messageBytes)
{
    const std::uint64_t length = htobe64(messageBytes);
    return { reinterpret_cast<const char*>(&length), sizeof(length) };
}

std::optional<std::uint64_t> PeerFraming::peekLength(evbuffer* input)
{
    std::uint64_t length = 0;
    if (evbuffer_copyout(input, &length, sizeof(length)) < static_cast<ev_ssize_t>(sizeof(length)))
        return {};
    return be64toh(length);
}

} // namespace Auburnpost::Wire
