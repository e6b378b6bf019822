#pragma once

#include "base/Ids.h"
#include "base/LogLevel.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "config/ByteCount.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Auburnpost::Config {

/// Section [host]: identity of this process.
struct HostSettings {
    /// Unique among all hosts.
    HostName name;
    /// Data centre in which the host runs.
    DataCentreName dataCentre;
};

/// Section [listen]: addresses on which the process listens.
struct ListenSettings {
    /// HTTP for callers.
    SocketAddress callers;
    /// HTTP for operators and the balancer's readiness check.
    SocketAddress operators;
    /// TCP for requests between hosts.
    SocketAddress peers;
    /// UDP for membership gossip.
    SocketAddress gossip;
};

/// Section [platform]: access to the platform's service.
struct PlatformSettings {
    SocketAddress address;
    /// Time limit of one call to the platform.
    Duration callTimeout {};
    /// Mean interval between two reads of the document's version.
    Duration configPollInterval {};
    /// Maximum interval between two reads of the document's version while the platform is unavailable.
    Duration configPollBackoff {};
    /// Mean interval between two reads of the host list.
    Duration hostListInterval {};
};

/// Section [seeds]: hosts to contact by gossip before the platform's host list is known.
struct SeedSettings {
    /// Gossip addresses; may be empty.
    std::vector<SocketAddress> hosts;
};

/// Section [session]: keys that sign session tokens; identical on all hosts.
struct SessionSettings {
    /// The key in raw bytes, at least minSigningKeyBytes long once the settings are loaded.
    std::string signingKey;
    /// File with the key in hexadecimal digits; empty if the key is in the settings.
    std::string signingKeyFile;
    /// Raw bytes of a previous key whose tokens are still accepted; empty if there is none.
    std::string previousKey;
};

/// Section [limits]: limits on callers, requests and transactions.
struct LimitSettings {
    /// Maximum number of concurrent caller connections.
    std::size_t maxCallers { 0 };
    /// Memory that the process may use.
    ByteCount memory;
    /// Maximum size of a request body.
    ByteCount bodyBytes;
    /// Maximum size of a request header.
    ByteCount headerBytes;
    /// Timeout of a request that does not specify one.
    Duration defaultTimeout {};
    /// Maximum timeout that a caller may specify.
    Duration maxTimeout {};
    /// Maximum number of requests queued on this host, over all organisations.
    std::size_t queueLength { 0 };
    /// Maximum time for which a transaction may stay open without a statement.
    Duration transactionIdle {};
    /// Maximum time for which a transaction may stay open.
    Duration transactionMax {};
    /// Time limit for draining requests in flight and open transactions during a planned shutdown.
    Duration stopTimeout {};
};

/// Section [group]: monitoring of the targets of a database group.
struct GroupSettings {
    /// Interval between two probes of a target.
    Duration probeInterval {};
    /// Time without a response from a primary after which a watcher suspects it.
    Duration suspectAfter {};
    /// Time limit of one group operation.
    Duration operationTimeout {};
    /// Delay between the failover attempts of watchers of consecutive rank; lower ranks start first.
    Duration rankSpacing {};
};

/// Section [member]: membership gossip.
struct MemberSettings {
    /// Interval between two gossip rounds.
    Duration gossipInterval {};
    /// Interval between two probes, and time limit for the response to a probe.
    Duration probePeriod {};
    /// Time within which a suspected host can refute the suspicion before it is declared dead.
    Duration suspectTimeout {};
};

/// Section [log]: level and destination of the log.
struct LogSettings {
    /// Events below this level are not logged.
    LogLevel level { LogLevel::Info };
    /// File to append the log to; empty for the console.
    std::string file;
};

/// Contents of a settings file, documented in docs/SETTINGS.md.
struct Settings {
    HostSettings host;
    ListenSettings listen;
    PlatformSettings platform;
    SeedSettings seeds;
    SessionSettings session;
    LimitSettings limits;
    GroupSettings group;
    MemberSettings member;
    LogSettings log;
};

/// Minimum length in bytes of a key that signs session tokens.
inline constexpr std::size_t minSigningKeyBytes = 16;

} // namespace Auburnpost::Config
