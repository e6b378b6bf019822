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

/// Section [host]: who this process is.
struct HostSettings {
    /// Unique among all hosts.
    HostName name;
    /// Data centre in which the host runs.
    DataCentreName dataCentre;
};

/// Section [listen]: the addresses that the process opens.
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

/// Section [platform]: the platform's service.
struct PlatformSettings {
    SocketAddress address;
    /// Time limit of one call.
    Duration callTimeout {};
    /// Mean time between two reads of the document's version.
    Duration configPollInterval {};
    /// Longest time between two such reads while the platform is out.
    Duration configPollBackoff {};
    /// Mean time between two reads of the host list.
    Duration hostListInterval {};
};

/// Section [seeds]: hosts to gossip with before the platform has named any.
struct SeedSettings {
    /// Gossip addresses; may be empty.
    std::vector<SocketAddress> hosts;
};

/// Section [session]: keys that sign session tokens; the same on all hosts.
struct SessionSettings {
    /// The key in raw bytes, at least minSigningKeyBytes long once the settings are loaded.
    std::string signingKey;
    /// File that holds the key in hexadecimal digits; empty when the key is in the settings.
    std::string signingKeyFile;
    /// Raw bytes of a key whose tokens are still accepted; empty when there is none.
    std::string previousKey;
};

/// Section [limits]: bounds on callers, requests and transactions.
struct LimitSettings {
    /// Callers' connections open at once.
    std::size_t maxCallers { 0 };
    /// Largest request body.
    ByteCount bodyBytes;
    /// Largest request head.
    ByteCount headerBytes;
    /// Timeout of a request that names none.
    Duration defaultTimeout {};
    /// Longest timeout that a caller may name.
    Duration maxTimeout {};
    /// Requests that may wait on this host, over all organisations.
    std::size_t queueLength { 0 };
    /// Longest time that a transaction may stay open without a statement.
    Duration transactionIdle {};
    /// Longest time that a transaction may stay open.
    Duration transactionMax {};
    /// Time that a planned stop gives to requests in flight and open transactions.
    Duration stopTimeout {};
};

/// Section [group]: watch over the targets of a database group.
struct GroupSettings {
    /// Time between two probes of a target.
    Duration probeInterval {};
    /// Silence of a primary after which a watcher suspects it.
    Duration suspectAfter {};
    /// Time limit of one group operation.
    Duration operationTimeout {};
    /// Head start in a takeover of each watcher over the next in rank.
    Duration rankSpacing {};
};

/// Section [member]: membership gossip.
struct MemberSettings {
    /// Time between two rounds.
    Duration gossipInterval {};
    /// Time between two probes, and for the answer to one.
    Duration probePeriod {};
    /// Time that a suspected host has to refute the suspicion.
    Duration suspectTimeout {};
};

/// Section [log]: where the log goes.
struct LogSettings {
    /// Events below this level are dropped.
    LogLevel level { LogLevel::Info };
    /// File to append to; empty for the console.
    std::string file;
};

/// Everything that a process reads from its settings file. docs/SETTINGS.md is the catalogue.
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

/// Fewest bytes of a key that signs session tokens.
inline constexpr std::size_t minSigningKeyBytes = 16;

} // namespace Auburnpost::Config
