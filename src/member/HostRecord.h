#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

#include <cstdint>
#include <string_view>

namespace Auburnpost::Member {

/// Identity and addresses that a host announces to the other hosts.
struct HostDescription {
    HostName name;
    DataCentreName dataCentre;
    /// UDP address that receives gossip datagrams.
    SocketAddress gossip;
    /// TCP address that receives messages from peers.
    SocketAddress peers;
    /// Starts as the wall clock in microseconds, so that a restarted process has a higher incarnation than the previous
    /// one.
    Incarnation incarnation;
    /// Incarnation with which the process started, which distinguishes a restart from a refutation. Set by Membership.
    Incarnation startIncarnation;

    bool operator==(const HostDescription&) const = default;
};

/// Liveness of a host. Within one incarnation the value only rises; a new incarnation resets it.
enum class HostHealth : std::uint8_t {
    Alive,
    /// The host did not answer a probe. It counts as live until it is declared dead.
    Suspect,
    Dead,
};

/// State of a host as shown in state dumps and logs.
enum class HostState : std::uint8_t {
    Alive,
    Leaving,
    Suspect,
    Dead,
};

/// @return the text form in lower case.
std::string_view toString(HostState);

/// Membership record of one host, as known to another host.
struct HostRecord {
    HostDescription host;
    HostHealth health { HostHealth::Alive };
    /// Whether the host announced its shutdown and accepts no new work. A suspicion does not clear the flag.
    bool leaving { false };
    /// Latest known version of the operators' document on that host.
    ConfigVersion configVersion;

    bool operator==(const HostRecord&) const = default;

    /// @return the state that combines health and leaving.
    [[nodiscard]] HostState state() const;
    /// @return whether the host counts as live for placement, which includes suspects.
    [[nodiscard]] bool isLive() const { return health != HostHealth::Dead; }
};

} // namespace Auburnpost::Member
