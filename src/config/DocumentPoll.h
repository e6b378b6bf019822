#pragma once

#include "base/LogRecord.h"
#include "base/Random.h"
#include "config/DocumentStore.h"
#include "config/PlatformCallIds.h"
#include "message/PlatformCall.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Auburnpost::Config {

/// Asks a peer for its document, whose version is at least this one.
struct AskPeer {
    HostName peer;
    ConfigVersion version;
};

/// A newer document is in force on this host.
struct DocumentApplied {
    ConfigVersion version;
};

using PollAction = std::variant<PlatformCall, AskPeer, DocumentApplied, LogRecord>;

/// Intervals of DocumentPoll.
struct PollTimings {
    /// Mean time between two reads of the version.
    Duration interval { std::chrono::seconds(2) };
    /// Longest mean time between two reads while the platform is out.
    Duration backoffLimit { std::chrono::seconds(15) };
    /// Time limit of one call to the platform.
    Duration callTimeout { std::chrono::seconds(1) };
    /// Time limit of asking one peer.
    Duration peerTimeout { std::chrono::milliseconds(500) };
    /// Time that a host without a document listens to gossip before it asks a peer, so as to ask one with the newest.
    Duration gatherTime { std::chrono::seconds(1) };
};

/// Keeps the document of one host up to date: polls the platform's version, reads the document when it rose, and
/// fetches it from a peer whose gossip shows a newer one.
class DocumentPoll {
public:
    using Actions = std::vector<PollAction>;

    /// @param store the host's document; outlives this object.
    DocumentPoll(DocumentStore& store, PollTimings, PlatformCallIds);

    /// Begins with a read of the version at once.
    Actions start(Instant now);
    /// To be called at nextTimer().
    Actions onTimer(Instant now, RandomEngine&);
    /// Takes the answer to a call; answers to other calls are ignored.
    Actions onPlatformAnswer(Instant now, RandomEngine&, const PlatformAnswer&);
    /// A peer's gossip says which version is in force there.
    Actions onPeerVersion(Instant now, const HostName& peer, ConfigVersion);
    /// A peer has sent its document.
    Actions onPeerDocument(Instant now, const HostName& peer, ConfigVersion, std::string bytes);
    /// A peer could not be asked, or is gone.
    Actions onPeerFailed(Instant now, const HostName& peer);
    /// An edit that this host carried out has been accepted.
    Actions onEditAccepted(Instant now, ConfigVersion rowVersion, std::string rowBytes);

    /// @return when onTimer() is due.
    [[nodiscard]] Instant nextTimer() const;
    /// @return whether the platform's last answer was missing or an error.
    [[nodiscard]] bool isPlatformLost() const { return m_isPlatformLost; }

private:
    enum class Stage : std::uint8_t {
        Idle,
        ReadingVersion,
        ReadingDocument,
    };

    struct PeerKnowledge {
        ConfigVersion version;
        /// Questions in a row without an answer.
        unsigned failures { 0 };
    };

    struct PeerQuestion {
        HostName peer;
        Instant deadline;
    };

    Actions call(Instant now, Stage);
    Actions onVersionList(Instant now, RandomEngine&, const PlatformReply&);
    Actions onDocument(Instant now, RandomEngine&, const PlatformReply&);
    Actions onPlatformFailure(Instant now, RandomEngine&, const std::string& reason);
    void rest(Instant now, RandomEngine&);
    void markPlatformBack(Actions&);
    Actions askBestPeer(Instant now);
    void countFailure(const HostName& peer);
    void offer(Actions&, ConfigVersion, std::string bytes, const std::string& source);
    [[nodiscard]] bool isGathering(Instant now) const;

    DocumentStore& m_store;
    PollTimings m_timings;
    PlatformCallIds m_ids;
    Stage m_stage { Stage::Idle };
    PlatformCallId m_awaited;
    /// Idle: the next read. Otherwise: when the awaited answer is given up.
    Instant m_pollTimer;
    Instant m_gatheredAt;
    unsigned m_failures { 0 };
    bool m_isPlatformLost { false };
    /// The peers that have a newer version than this host.
    std::map<HostName, PeerKnowledge> m_peers;
    std::optional<PeerQuestion> m_question;
};

} // namespace Auburnpost::Config
