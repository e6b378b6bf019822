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

/// The processes of a running site and the organisations, as listed in endpoints.json.
struct Endpoints {
    std::vector<HostEndpoint> hosts;
    std::vector<TargetEndpoint> targets;
    PlatformEndpoint platform;
    std::vector<OrganisationAccess> organisations;

    /// Parses the text of an endpoints.json file.
    /// @return the endpoints, or ErrorCode::BadSettings with the reason.
    static Expected<Endpoints> parse(std::string_view text);
    /// Reads and parses the file at @p path.
    /// @return the endpoints, or ErrorCode::BadSettings with the reason.
    static Expected<Endpoints> read(const std::string& path);
};

/// Selects organisations from a comma-separated list. Each item is the name of an organisation in @p known, or
/// NAME:KEY:DATABASE[+DATABASE…].
/// @return the organisations, or ErrorCode::BadSettings with the reason.
Expected<std::vector<OrganisationAccess>> chooseOrganisations(
    std::string_view text, const std::vector<OrganisationAccess>& known);

} // namespace Auburnpost::Load
