#pragma once

#include "base/LogRecord.h"
#include "base/Random.h"
#include "config/DocumentStore.h"
#include "config/PlatformCallIdGenerator.h"
#include "message/PlatformCall.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Auburnpost::Config {

/// Requests the document of a peer, which has at least this version.
struct RequestPeerDocument {
    HostName peer;
    ConfigVersion version;
};

/// This host installed a newer document.
struct DocumentInstalled {
    ConfigVersion version;
};

using PollAction = std::variant<PlatformCall, RequestPeerDocument, DocumentInstalled, LogRecord>;

/// Intervals and time limits of DocumentPoll.
struct PollTimings {
    /// Mean interval between two reads of the version.
    Duration interval { std::chrono::seconds(2) };
    /// Maximum mean interval between two reads while the platform is unavailable.
    Duration backoffLimit { std::chrono::seconds(15) };
    /// Time limit of one call to the platform.
    Duration callTimeout { std::chrono::seconds(1) };
    /// Time limit of a request to a peer.
    Duration peerTimeout { std::chrono::milliseconds(500) };
    /// Time for which a host without a document collects versions from gossip before its first request to a peer, so
    /// that it asks a peer with the newest version.
    Duration versionGatheringTime { std::chrono::seconds(1) };
};

/// Keeps the document of one host up to date: polls its version on the platform, reads the document when the version
/// has increased, and fetches it from a peer that announces a newer version by gossip.
class DocumentPoll {
public:
    using Actions = std::vector<PollAction>;

    /// @param store the host's document; must outlive this object.
    DocumentPoll(DocumentStore& store, PollTimings, PlatformCallIdGenerator);

    /// Starts polling with an immediate read of the version.
    Actions start(Instant now);
    /// Handles expired timers. Must be called at nextTimer().
    Actions onTimer(Instant now, RandomEngine&);
    /// Handles the answer to the pending call; answers to other calls are ignored.
    Actions onPlatformAnswer(Instant now, RandomEngine&, const PlatformAnswer&);
    /// Handles a version that a peer announced by gossip.
    Actions onPeerVersion(Instant now, const HostName& peer, ConfigVersion);
    /// Handles a document received from a peer.
    Actions onPeerDocument(Instant now, const HostName& peer, ConfigVersion, std::string bytes);
    /// Handles a failed request to a peer, or the death of a peer.
    Actions onPeerFailed(Instant now, const HostName& peer);
    /// Handles the acceptance of an edit that this host made; installs the resulting document.
    Actions onEditAccepted(Instant now, ConfigVersion rowVersion, std::string rowBytes);

    /// @return the time at which onTimer() is due.
    [[nodiscard]] Instant nextTimer() const;
    /// @return whether the last call to the platform failed or had no answer.
    [[nodiscard]] bool isPlatformUnavailable() const { return m_isPlatformUnavailable; }

private:
    enum class Stage : std::uint8_t {
        Idle,
        ReadingVersion,
        ReadingDocument,
    };

    struct PeerKnowledge {
        ConfigVersion version;
        /// Consecutive requests without an answer.
        unsigned failures { 0 };
    };

    struct PeerRequest {
        HostName peer;
        Instant deadline;
    };

    Actions call(Instant now, Stage);
    Actions onVersionList(Instant now, RandomEngine&, const PlatformReply&);
    Actions onDocument(Instant now, RandomEngine&, const PlatformReply&);
    Actions onPlatformFailure(Instant now, RandomEngine&, const std::string& reason);
    void scheduleNextPoll(Instant now, RandomEngine&);
    void recordPlatformRecovery(Actions&);
    Actions requestFromBestPeer(Instant now);
    void recordPeerFailure(const HostName& peer);
    void installIfNewer(Actions&, ConfigVersion, std::string bytes, const std::string& source);
    [[nodiscard]] bool isGatheringVersions(Instant now) const;

    DocumentStore& m_store;
    PollTimings m_timings;
    PlatformCallIdGenerator m_ids;
    Stage m_stage { Stage::Idle };
    PlatformCallId m_pendingCall;
    /// While idle, the time of the next read; otherwise the deadline of the pending call.
    Instant m_pollTimer;
    Instant m_gatheringEnds;
    unsigned m_failures { 0 };
    bool m_isPlatformUnavailable { false };
    /// Peers with a newer version than this host.
    std::map<HostName, PeerKnowledge> m_peers;
    std::optional<PeerRequest> m_peerRequest;
};

} // namespace Auburnpost::Config
