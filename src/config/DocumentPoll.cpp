#include "config/DocumentPoll.h"

#include "config/Backoff.h"
#include "config/DocumentRow.h"
#include "config/Json.h"
#include "config/PlatformStatus.h"

#include <algorithm>

namespace Auburnpost::Config {

namespace {

    constexpr auto platformSource = "platform";
    constexpr auto editSource = "edit on this host";

    /// Every call ends by its own timeout; after this multiple of the timeout the answer is considered lost.
    constexpr int missingAnswerTimeouts = 2;

    /// Consecutive failed requests after which a peer is skipped in favour of one with an older version.
    constexpr unsigned maxPeerFailures = 3;

    /// @return the version of the document's row, 0 if the table lacks the row, nothing if @p body is malformed.
    std::optional<ConfigVersion> versionInList(const std::string& body)
    {
        const auto list = Json::parse(body, nullptr, false);
        if (!list.is_object() || !list.contains("rows") || !list.at("rows").is_array())
            return std::nullopt;
        for (const auto& row : list.at("rows")) {
            if (!row.is_object() || row.value("row", Json()) != documentRowName)
                continue;
            const auto version = row.value("version", Json());
            if (!version.is_number_unsigned())
                return std::nullopt;
            return ConfigVersion(version.get<std::uint64_t>());
        }
        return ConfigVersion(0);
    }

    LogRecord rejectedRecord(
        ConfigVersion version, const std::string& source, const std::vector<DocumentProblem>& problems)
    {
        LogRecord record { LogEvent::ConfigurationRejected,
            { { "version", std::to_string(version.value()) }, { "source", source } } };
        for (const auto& problem : problems) {
            if (problem.severity == ProblemSeverity::Error)
                record.fields.push_back({ "problem", problem.describe() });
        }
        return record;
    }

} // namespace

DocumentPoll::DocumentPoll(DocumentStore& store, PollTimings timings, PlatformCallIdGenerator ids)
    : m_store(store)
    , m_timings(timings)
    , m_ids(std::move(ids))
{
}

DocumentPoll::Actions DocumentPoll::start(Instant now)
{
    m_gatheringEnds = now + m_timings.versionGatheringTime;
    return call(now, Stage::ReadingVersion);
}

DocumentPoll::Actions DocumentPoll::onTimer(Instant now, RandomEngine& random)
{
    Actions actions;
    if (now >= m_pollTimer)
        actions
            = m_stage == Stage::Idle ? call(now, Stage::ReadingVersion) : onPlatformFailure(now, random, "no answer");
    if (m_peerRequest && now >= m_peerRequest->deadline) {
        recordPeerFailure(m_peerRequest->peer);
    }
    for (auto& action : requestFromBestPeer(now))
        actions.push_back(std::move(action));
    return actions;
}

DocumentPoll::Actions DocumentPoll::onPlatformAnswer(Instant now, RandomEngine& random, const PlatformAnswer& answer)
{
    if (m_stage == Stage::Idle || answer.id != m_pendingCall)
        return {};
    if (!answer.reply)
        return onPlatformFailure(now, random, answer.reply.error().describe());
    if (answer.reply->status != PlatformStatus::ok)
        return onPlatformFailure(now, random, "status " + std::to_string(answer.reply->status));
    return m_stage == Stage::ReadingVersion ? onVersionList(now, random, *answer.reply)
                                            : onDocument(now, random, *answer.reply);
}

DocumentPoll::Actions DocumentPoll::onPeerVersion(Instant now, const HostName& peer, ConfigVersion version)
{
    if (!m_store.needsVersion(version))
        return {};
    auto& known = m_peers[peer].version;
    known = std::max(known, version);
    return requestFromBestPeer(now);
}

DocumentPoll::Actions DocumentPoll::onPeerDocument(
    Instant now, const HostName& peer, ConfigVersion version, std::string bytes)
{
    if (m_peerRequest && m_peerRequest->peer == peer)
        m_peerRequest.reset();
    m_peers.erase(peer);
    Actions actions;
    installIfNewer(actions, version, std::move(bytes), peer.value());
    for (auto& action : requestFromBestPeer(now))
        actions.push_back(std::move(action));
    return actions;
}

DocumentPoll::Actions DocumentPoll::onPeerFailed(Instant now, const HostName& peer)
{
    recordPeerFailure(peer);
    return requestFromBestPeer(now);
}

void DocumentPoll::recordPeerFailure(const HostName& peer)
{
    if (m_peerRequest && m_peerRequest->peer == peer)
        m_peerRequest.reset();
    const auto known = m_peers.find(peer);
    if (known != m_peers.end() && ++known->second.failures >= maxPeerFailures)
        m_peers.erase(known);
}

DocumentPoll::Actions DocumentPoll::onEditAccepted(Instant, ConfigVersion rowVersion, std::string rowBytes)
{
    Actions actions;
    installIfNewer(actions, rowVersion, std::move(rowBytes), editSource);
    return actions;
}

Instant DocumentPoll::nextTimer() const
{
    auto next = m_pollTimer;
    if (m_peerRequest)
        next = std::min(next, m_peerRequest->deadline);
    else if (!m_store.hasDocument() && !m_peers.empty())
        next = std::min(next, m_gatheringEnds);
    return next;
}

DocumentPoll::Actions DocumentPoll::call(Instant now, Stage stage)
{
    PlatformCall call;
    call.id = m_ids();
    call.path = stage == Stage::ReadingVersion ? documentTablePath : documentRowPath;
    call.timeout = m_timings.callTimeout;
    m_stage = stage;
    m_pendingCall = call.id;
    m_pollTimer = now + missingAnswerTimeouts * m_timings.callTimeout;
    return { std::move(call) };
}

DocumentPoll::Actions DocumentPoll::onVersionList(Instant now, RandomEngine& random, const PlatformReply& reply)
{
    const auto version = versionInList(reply.body);
    if (!version)
        return onPlatformFailure(now, random, "malformed list of rows");
    Actions actions;
    recordPlatformRecovery(actions);
    if (!m_store.needsVersion(*version)) {
        scheduleNextPoll(now, random);
        return actions;
    }
    for (auto& action : call(now, Stage::ReadingDocument))
        actions.push_back(std::move(action));
    return actions;
}

DocumentPoll::Actions DocumentPoll::onDocument(Instant now, RandomEngine& random, const PlatformReply& reply)
{
    if (!reply.version)
        return onPlatformFailure(now, random, "document without its version");
    Actions actions;
    recordPlatformRecovery(actions);
    installIfNewer(actions, ConfigVersion(*reply.version), reply.body, platformSource);
    scheduleNextPoll(now, random);
    return actions;
}

DocumentPoll::Actions DocumentPoll::onPlatformFailure(Instant now, RandomEngine& random, const std::string& reason)
{
    m_stage = Stage::Idle;
    m_pollTimer = now + backoff(m_timings.interval, m_timings.backoffLimit, m_failures++, random);
    if (std::exchange(m_isPlatformUnavailable, true))
        return {};
    return { LogRecord { LogEvent::PlatformOutage, { { "step", "read configuration" }, { "reason", reason } } } };
}

void DocumentPoll::scheduleNextPoll(Instant now, RandomEngine& random)
{
    m_stage = Stage::Idle;
    m_pollTimer = now + jittered(m_timings.interval, random);
}

void DocumentPoll::recordPlatformRecovery(Actions& actions)
{
    m_failures = 0;
    if (std::exchange(m_isPlatformUnavailable, false))
        actions.emplace_back(LogRecord { LogEvent::PlatformRecovered, {} });
}

bool DocumentPoll::isGatheringVersions(Instant now) const
{
    return !m_store.hasDocument() && now < m_gatheringEnds;
}

DocumentPoll::Actions DocumentPoll::requestFromBestPeer(Instant now)
{
    std::erase_if(m_peers, [this](const auto& peer) { return !m_store.needsVersion(peer.second.version); });
    if (m_peerRequest || m_peers.empty() || isGatheringVersions(now))
        return {};
    const auto best = std::max_element(m_peers.begin(), m_peers.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second.version, -static_cast<int>(left.second.failures))
            < std::pair(right.second.version, -static_cast<int>(right.second.failures));
    });
    m_peerRequest = PeerRequest { best->first, now + m_timings.peerTimeout };
    return { RequestPeerDocument { best->first, best->second.version } };
}

void DocumentPoll::installIfNewer(Actions& actions, ConfigVersion version, std::string bytes, const std::string& source)
{
    const auto result = m_store.installIfNewer(version, std::move(bytes));
    if (result.outcome == InstallOutcome::Rejected)
        actions.emplace_back(rejectedRecord(version, source, result.problems));
    if (result.outcome != InstallOutcome::Installed)
        return;
    actions.emplace_back(DocumentInstalled { version });
    actions.emplace_back(LogRecord {
        LogEvent::ConfigurationApplied, { { "version", std::to_string(version.value()) }, { "source", source } } });
}

} // namespace Auburnpost::Config
