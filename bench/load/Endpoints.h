#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/SocketAddress.h"

#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace Auburnpost::Load {

struct HostEndpoint {
    HostName name;
    pid_t pid { 0 };
    SocketAddress callers;
    SocketAddress operators;
};

struct TargetEndpoint {
    TargetName name;
    DatabaseName database;
    pid_t pid { 0 };
    SocketAddress control;
};

struct PlatformEndpoint {
    pid_t pid { 0 };
    SocketAddress control;
};

struct OrganisationAccess {
    OrganisationName name;
    std::string key;
    std::vector<DatabaseName> databases;
};

/// The processes of a running site, as endpoints.json lists them.
struct Endpoints {
    std::vector<HostEndpoint> hosts;
    std::vector<TargetEndpoint> targets;
    PlatformEndpoint platform;
    std::vector<OrganisationAccess> organisations;

    /// Reads the text of an endpoints.json.
    /// @return the endpoints, or ErrorCode::BadSettings with the reason.
    static Expected<Endpoints> parse(std::string_view text);
    /// Reads the file at @p path.
    static Expected<Endpoints> read(const std::string& path);
};

/// Chooses organisations. Each item is the name of one in @p known, or NAME:KEY:DATABASE[+DATABASE…].
/// @return the organisations, or ErrorCode::BadSettings with the reason.
Expected<std::vector<OrganisationAccess>> chooseOrganisations(
    std::string_view text, const std::vector<OrganisationAccess>& known);

} // namespace Auburnpost::Load
