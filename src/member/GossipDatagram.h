#pragma once

#include "base/Expected.h"
#include "member/HostTable.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Member {

enum class GossipKind : std::uint8_t {
    /// Requests an Ack from the subject.
    Ping = 0,
    /// Response to a Ping; the host that pinged on behalf of another host relays it to that host.
    Ack = 1,
    /// Requests that the receiver ping the subject (indirect probe).
    PingRequest = 2,
    /// Carries membership updates only.
    Updates = 3,
    /// Carries the digest of the sender's table and requests the records that differ.
    Digest = 4,
    /// Response to a Digest: the differing records and the responder's own digest.
    DigestResponse = 5,
    /// Carries further records of a digest exchange.
    Records = 6,
};

/// One gossip datagram between hosts.
struct GossipDatagram {
    GossipKind kind { GossipKind::Updates };
    /// The sender's own record, with the config version that the sender holds.
    HostRecord sender;
    /// Sequence number of a Ping, Ack or PingRequest; an Ack repeats that of the ping.
    std::uint32_t sequence { 0 };
    /// Ping and PingRequest: the host to probe. Ack: the host that answered the ping.
    HostName subject;
    /// PingRequest: the subject's gossip address.
    SocketAddress subjectAddress;
    /// Set in a Digest and a DigestResponse.
    std::optional<TableDigest> digest;
    /// Highest document version that the sender knows.
    ConfigVersion highestVersion;
    /// A host that holds that version.
    HostName highestVersionHost;
    std::vector<HostRecord> records;
};

/// Serializes a datagram. Records are added one by one, so that a datagram can be filled up to its size limit.
class GossipWriter {
public:
    /// @param head the datagram; its records are ignored.
    /// @param limitBytes maximum size of the datagram, records included.
    GossipWriter(const GossipDatagram& head, std::size_t limitBytes);
    /// @return false, with the datagram unchanged, if the record would exceed the size limit.
    bool add(const HostRecord&);
    /// @return the serialized datagram.
    [[nodiscard]] const std::string& bytes() const { return m_bytes; }
    /// @return the number of records added.
    [[nodiscard]] std::size_t records() const { return m_records; }

private:
    std::string m_bytes;
    std::size_t m_limit;
    std::size_t m_records { 0 };
};

/// Parses a datagram.
/// @param from address of the sender, named in the error.
/// @return the datagram, or ErrorCode::BadMessage if @p bytes are malformed.
Expected<GossipDatagram> readGossip(const SocketAddress& from, std::string_view bytes);

} // namespace Auburnpost::Member
