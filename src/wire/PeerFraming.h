#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

struct evbuffer;

namespace Auburnpost::Wire {

/// The framing of messages between hosts: the TCP mapping of the Scalability Protocols, as nanomsg and nng speak it.
/// Each side first sends a header that names its protocol; each message follows its length.
class PeerFraming {
public:
    static constexpr std::size_t headerBytes = 8;
    static constexpr std::size_t lengthBytes = 8;
    /// The header of the side that sends messages (PUSH of the pipeline protocol).
    static constexpr std::string_view senderHeader { "\0SP\0\0\x50\0\0", headerBytes };
    /// The header of the side that receives messages (PULL of the pipeline protocol).
    static constexpr std::string_view receiverHeader { "\0SP\0\0\x51\0\0", headerBytes };

    enum class HeaderState { Incomplete, Accepted, Refused };

    /// Removes the header of the other side from its input.
    [[nodiscard]] static HeaderState readHeader(evbuffer* input, std::string_view expected);
    /// @return the bytes that precede a message of this size.
    [[nodiscard]] static std::string encodeLength(std::size_t messageBytes);
    /// @return the size of the message at the front of the input, in bytes; empty while its length is incomplete.
    [[nodiscard]] static std::optional<std::uint64_t> peekLength(evbuffer* input);
};

} // namespace Auburnpost::Wire
