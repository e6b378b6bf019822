#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Auburnpost::Limit {

/// Number of an organisation in messages between hosts, the same on all hosts with the same configuration.
using AllotmentId = StrongId<std::uint32_t, struct AllotmentIdTag>;
/// Distinguishes successive starts of a host; random.
using HostStart = StrongId<std::uint32_t, struct HostStartTag>;
/// A reading of the sender's clock in microseconds. Only the host that wrote it can interpret it.
using ClockStamp = StrongId<std::uint64_t, struct ClockStampTag>;
/// Increases with each request of a host.
using RequestNumber = StrongId<std::uint64_t, struct RequestNumberTag>;

/// A host's state for one organisation, and what it requests.
struct AllotmentClaim {
    AllotmentId organisation;
    /// Permits from this coordinator that the host still holds.
    std::uint32_t held { 0 };
    /// Permits from this coordinator that the host has used since the coordinator or the host started.
    std::uint64_t used { 0 };
    /// Permits that the host requests to hold.
    std::uint32_t wanted { 0 };

    bool operator==(const AllotmentClaim&) const = default;
};

/// Sent by each host to its coordinator. It lends the host's shares, reports the permits used and requests new ones.
struct AllotmentRequest {
    HostName host;
    HostStart hostStart;
    RequestNumber number;
    /// The start of the coordinator that the request is for; zero while the host does not know it.
    HostStart coordinatorStart;
    /// The stamp of the coordinator's last reply.
    ClockStamp echoedStamp;
    /// The host lends one share in this number; zero if it lends none.
    std::uint32_t shareDivisor { 0 };
    /// Number of hosts in the host's list.
    std::uint32_t listedHosts { 0 };
    std::vector<AllotmentClaim> claims;

    bool operator==(const AllotmentRequest&) const = default;
};

/// What a host may hold for one organisation.
struct AllotmentGrant {
    AllotmentId organisation;
    /// Permits that the host may hold as of its request, including those that it held.
    std::uint32_t total { 0 };
    /// Whether there are fewer permits than hosts that want one.
    bool isScarce { false };

    bool operator==(const AllotmentGrant&) const = default;
};

/// The coordinator's reply to each request.
struct AllotmentReply {
    HostStart coordinatorStart;
    HostStart hostStart;
    RequestNumber number;
    ClockStamp stamp;
    /// Maximum number of hosts that the coordinator or a requesting host has in its list.
    std::uint32_t listedHosts { 0 };
    /// Thousandths of all shares that the replying host holds.
    std::uint32_t sharePermille { 0 };
    /// Hash of the name of the replying host's own coordinator.
    std::uint32_t coordinatorHash { 0 };
    std::vector<AllotmentGrant> grants;

    bool operator==(const AllotmentReply&) const = default;
};

using AllotmentBody = std::variant<AllotmentRequest, AllotmentReply>;

/// A datagram between hosts, with its destination.
struct AllotmentMessage {
    SocketAddress to;
    AllotmentBody body;
};

} // namespace Auburnpost::Limit
