#pragma once

#include "base/Ids.h"
#include "config/KeyDigest.h"
#include "proxy/RouteDigest.h"

#include <optional>

namespace Auburnpost::Proxy {

/// The request of a caller, or of a host that forwards a caller's session, to open a session.
struct SessionRequest {
    DatabaseName database {};
    /// Digest of the caller's key; empty if the caller presented none, and for a forwarded session.
    std::optional<Config::KeyDigest> key {};
    /// Whether another host forwards the session.
    bool isForwarded { false };
    /// Forwarded sessions: the organisation that the other host found by the caller's key; empty if there is none.
    OrganisationName organisation {};
    /// Forwarded sessions: the route by which the other host forwards the session. The session is authorised by the
    /// configuration of the same version.
    StatedRoute route {};
    /// Forwarded sessions: the other host; empty if it is of a version of the program that does not state it.
    HostName forwardedBy {};
};

} // namespace Auburnpost::Proxy
