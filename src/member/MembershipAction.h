#pragma once

#include "member/HostRecord.h"

#include <string>
#include <variant>
#include <vector>

namespace Auburnpost::Member {

/// Sends the bytes as one UDP datagram.
struct SendDatagram {
    SocketAddress to;
    std::string bytes;
};

enum class HostChange : std::uint8_t {
    /// A host that was unknown or dead is now live.
    Joined,
    Suspected,
    /// A suspect refuted the suspicion.
    SuspicionCleared,
    Leaving,
    Dead,
    /// A live host was restarted, so the state of its previous process is lost.
    Restarted,
};

/// The record of another host changed.
struct HostChanged {
    HostChange change { HostChange::Joined };
    HostRecord record;
};

/// A host holds a newer document than all other hosts known so far, including this host.
struct ConfigVersionSeen {
    ConfigVersion version;
    HostName host;
};

using MembershipAction = std::variant<SendDatagram, HostChanged, ConfigVersionSeen>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace Auburnpost::Member
