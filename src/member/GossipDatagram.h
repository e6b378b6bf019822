#pragma once

#include "base/Expected.h"
#include "member/HostTable.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Member {

enum class GossipKind : std::uint8_t {
    /// Asks the named host for an Ack.
    Ping = 0,
    /// Answers a Ping; relayed when it was sent for another host.
    Ack = 1,
    /// Asks the receiver to ping the named host.
    PingRequest = 2,
    /// Carries news only.
    News = 3,
    /// Carries the digest of the sender's table and asks for what differs.
    Digest = 4,
    /// Answers a Digest by records and the answerer's digest.
    DigestAnswer = 5,
    /// Carries records of an exchange.
    Records = 6,
};

/// One datagram between hosts.
struct GossipDatagram {
    GossipKind kind { GossipKind::News };
    /// The sender's own record; its config version travels here.
    HostRecord sender;
    /// Ping, Ack, PingRequest.
    std::uint32_t sequence { 0 };
    /// Ping and PingRequest: the host to be probed. Ack: the host that answered.
    HostName subject;
    /// PingRequest: where the subject takes gossip.
    SocketAddress subjectAddress;
    /// Digest and DigestAnswer.
    std::optional<TableDigest> digest;
    /// A holder of the highest document version that the sender knows.
    ConfigVersion highestVersion;
    HostName highestVersionHost;
    std::vector<HostRecord> records;
};

/// Writes a datagram without its records, and records one by one, so that a datagram can be filled up to a limit.
class GossipWriter {
public:
    /// @param limitBytes most bytes that the whole may have.
    GossipWriter(const GossipDatagram& head, std::size_t limitBytes);
    /// @return false when the record doesn't fit any more.
    bool add(const HostRecord&);
    /// @return the bytes of the datagram.
    [[nodiscard]] const std::string& bytes() const { return m_bytes; }
    [[nodiscard]] std::size_t records() const { return m_records; }

private:
    std::string m_bytes;
    std::size_t m_limit;
    std::size_t m_records { 0 };
};

/// @return the datagram, or ErrorCode::BadMessage for bytes of another form.
Expected<GossipDatagram> readGossip(const SocketAddress& from, std::string_view bytes);

} // namespace Auburnpost::Member
