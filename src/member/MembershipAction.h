#pragma once

#include "member/HostRecord.h"

#include <string>
#include <variant>
#include <vector>

namespace Auburnpost::Member {

/// Send these bytes as one UDP datagram.
struct SendDatagram {
    SocketAddress to;
    std::string bytes;
};

enum class HostChange : std::uint8_t {
    /// A host that was unknown or dead is live.
    Joined,
    Suspected,
    /// A suspect answered; it was live all the time.
    Cleared,
    Leaving,
    Dead,
    /// A live host was started again: what its former process held is gone.
    Renewed,
};

/// The record of another host changed.
struct HostChanged {
    HostChange change { HostChange::Joined };
    HostRecord record;
};

/// A host holds a newer document than any known before, this host's own included.
struct ConfigVersionSeen {
    ConfigVersion version;
    HostName host;
};

using MembershipAction = std::variant<SendDatagram, HostChanged, ConfigVersionSeen>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace Auburnpost::Member
