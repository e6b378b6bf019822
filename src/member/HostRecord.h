#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

#include <cstdint>
#include <string_view>

namespace Auburnpost::Member {

/// How a host introduces itself to the others.
struct HostDescription {
    HostName name;
    DataCentreName dataCentre;
    /// Where it takes gossip datagrams.
    SocketAddress gossip;
    /// Where it takes messages of its peers.
    SocketAddress peers;
    /// At start: the wall clock in microseconds, so that a restarted host is newer than its former self.
    Incarnation incarnation;
    /// The incarnation with which the process started; it tells a restart from a refutation. Set by Membership.
    Incarnation started;

    bool operator==(const HostDescription&) const = default;
};

/// Liveness of a host in one incarnation; it only rises until the host takes a new incarnation.
enum class HostHealth : std::uint8_t {
    Alive,
    /// It did not answer; it counts as live until it is declared dead.
    Suspect,
    Dead,
};

/// The state that dumps and logs show.
enum class HostState : std::uint8_t {
    Alive,
    Leaving,
    Suspect,
    Dead,
};

/// @return the text form in lower case.
std::string_view toString(HostState);

/// What one host knows of another.
struct HostRecord {
    HostDescription host;
    HostHealth health { HostHealth::Alive };
    /// It announced a planned stop and takes no new work; kept while it is a suspect.
    bool leaving { false };
    /// Version of the operators' document that it was last known to hold.
    ConfigVersion configVersion;

    bool operator==(const HostRecord&) const = default;

    /// @return the one state that sums up health and leaving.
    [[nodiscard]] HostState state() const;
    /// @return whether it counts as live for placement.
    [[nodiscard]] bool isLive() const { return health != HostHealth::Dead; }
};

} // namespace Auburnpost::Member
