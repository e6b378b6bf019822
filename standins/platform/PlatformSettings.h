#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Time.h"

#include <string>
#include <vector>

namespace Auburnpost::Standin {

/// A host that the platform may list.
struct ListedHost {
    HostName name;
    DataCentreName dataCentre;
    SocketAddress gossip;
    SocketAddress peers;
    /// Address at which the platform checks whether the host is ready.
    SocketAddress operators;
};

/// The settings of the platform stand-in.
struct PlatformSettings {
    SocketAddress address;
    SocketAddress control;
    /// File with the initial configuration document of the operators; empty for none.
    std::string documentFile;
    /// Time between receiving and answering a request.
    Duration answerTime {};
    /// Delay between detecting and publishing the state of a host.
    Duration hostListLag {};
    std::int64_t readsPerSecond { 0 };
    std::int64_t writesPerSecond { 0 };
    std::uint64_t seed { 0 };
    std::vector<ListedHost> hosts;

    /// Reads the section [platform] and a section [host.NAME] for each host.
    /// @return the settings, or ErrorCode::BadSettings with the key at fault.
    static Expected<PlatformSettings> read(const std::string& path);
};

} // namespace Auburnpost::Standin
