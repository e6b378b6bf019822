#include "proxy/Proxy.h"

#include "proxy/TransactionIdleLimit.h"

#include <algorithm>

namespace Auburnpost::Proxy {

Proxy::Proxy(Instant now, ProxySettings settings, const RowReader& reader, ProxyDelegate& delegate,
    RandomEngine::result_type seed)
    : m_settings(std::move(settings))
    , m_reader(reader)
    , m_delegate(delegate)
    , m_random(seed)
    , m_startedAt(now)
    , m_now(now)
    , m_followers { StoreFollower(StoreTable::Configuration, TableTimes::forConfiguration(m_settings.bounds), m_contact,
                        delegate),
        StoreFollower(StoreTable::Targets, TableTimes::forTargets(m_settings.bounds), m_contact, delegate) }
    , m_versionExchange(m_settings.host, m_settings.dataCentre, TableTimes::forConfiguration(m_settings.bounds).limit())
    , m_directory(m_settings.bounds)
    , m_hosts({ m_settings.host, m_settings.dataCentre, m_settings.relay, m_settings.sessions,
                  m_settings.processorShare, m_settings.peers, true },
          delegate)
    , m_homes(m_settings.host, m_settings.dataCentre)
    , m_feeders(m_settings.host, m_settings.dataCentre)
    , m_peerQueriedAt(now)
{
    setSeeds(m_settings.seeds);
    if (m_settings.allotments) {
        const Limit::HostStart start(static_cast<std::uint32_t>(m_random() >> 33U) + 1);
        m_allotments.emplace(now, m_settings.host, *m_settings.allotments, start, m_delegate);
    }
}

void Proxy::beginEvent(Instant now)
{
    const auto before = std::exchange(m_now, now);
    const auto gap = now - before;
    if (gap < pauseThreshold)
        return;
    log({ LogEvent::ProcessPaused, { { "gap_ms", std::to_string(toMilliseconds(gap)) } } });
    for (auto& follower : m_followers)
        follower.resumedAfterPause(before, now);
    m_versionExchange.askAtOnce(now);
    for (auto& [name, group] : m_groups)
        group->resumedAfterPause(now);
}

void Proxy::tick(Instant now)
{
    beginEvent(now);
    updateFeeders(now);
    for (auto& follower : m_followers)
        follower.tick(now);
    for (const auto table : followedTables)
        reportCopyAge(now, table);
    answerFeeds(now);
    m_hosts.tick(now);
    if (m_allotments) {
        m_allotments->tick(now);
        serveWaitingOperations(now);
    }
    queryPeers(now);
    const auto removed = m_directory.expire(now);
    if (!removed.isEmpty()) {
        logTargetChanges(removed);
        updateGroupMembers(now);
    }
    updateServedGroups(now);
    for (auto& [name, group] : m_groups) {
        group->setRecorderRank(m_homes.recorderRank(name));
        group->tick(now);
    }
    const auto idleLimit = m_catalog ? m_catalog->transactionIdleLimit : Duration {};
    exchangeVersions(now);
    queryNewerVersion(now);
    std::vector<SessionId> timedOut;
    std::vector<SessionId> waiting;
    for (auto& [id, session] : m_sessions) {
        if (!session.isAccepted && now - session.openedAt >= (session.isForwarded ? maxOpenWait : acceptTimeout))
            timedOut.push_back(id);
        else if (!session.isAccepted)
            waiting.push_back(id);
        else if (session.pinned && !session.pendingId && idleLimit > Duration {}) {
            const auto* const group = findGroup(session.group);
            const bool isShort = group && group->isShortOfConnections(now);
            if (now - session.idleSince >= transactionIdleLimit(idleLimit, isShort))
                endTransaction(now, session);
        }
    }
    serveHeldStatements(now);
    for (const auto id : waiting) {
        if (auto* const session = findSession(id))
            routeSession(*session);
    }
    for (const auto id : timedOut)
        refuseOpening(m_sessions.at(id),
            { Session::FailureCode::Busy, "the configuration is not known yet; retry after 500 ms" });
}

void Proxy::setSeeds(std::vector<SocketAddress> seeds)
{
    m_settings.seeds = std::move(seeds);
    auto others = m_settings.seeds;
    std::erase(others, m_settings.peers);
    m_versionExchange.setSeeds(std::move(others));
}

void Proxy::setBounds(const TimeBounds& bounds)
{
    m_settings.bounds = bounds;
    updateTableTimes();
    m_directory.setBounds(bounds);
}

void Proxy::datagramReceived(Instant now, const SocketAddress& from, std::string_view datagram)
{
    beginEvent(now);
    if (!m_allotments)
        return;
    m_allotments->datagramReceived(now, from, datagram);
    serveWaitingOperations(now);
}

bool Proxy::isReady() const
{
    return m_catalog && m_directory.size() > 0;
}

GroupService* Proxy::findGroup(const GroupName& name)
{
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? nullptr : found->second.get();
}

GroupService* Proxy::groupOwning(ConnectionId id)
{
    for (auto& [name, group] : m_groups) {
        if (group->owns(id))
            return group.get();
    }
    return nullptr;
}

void Proxy::connectionOpened(Instant now, ConnectionId id, const std::optional<LogPoint>& position)
{
    beginEvent(now);
    if (auto* const group = groupOwning(id))
        group->connectionOpened(now, id, position);
}

void Proxy::connectionRefused(Instant now, ConnectionId id, Session::FailureCode code)
{
    beginEvent(now);
    if (auto* const group = groupOwning(id))
        group->connectionRefused(now, id, code);
}

void Proxy::connectionLost(Instant now, ConnectionId id)
{
    beginEvent(now);
    if (auto* const group = groupOwning(id))
        group->connectionLost(now, id);
}

void Proxy::replied(Instant now, ConnectionId id, const TargetReply& reply)
{
    beginEvent(now);
    if (auto* const group = groupOwning(id))
        group->replied(now, id, reply);
}

void Proxy::leaseRead(Instant now, const GroupName& name, const Expected<PromotionLeaseRow>& row)
{
    beginEvent(now);
    if (row)
        recordEra(StoreTable::Targets, row->version);
    if (auto* const group = findGroup(name))
        group->leaseRead(now, row);
}

void Proxy::leaseWritten(Instant now, const GroupName& name, const Expected<std::optional<RowVersion>>& version)
{
    beginEvent(now);
    if (auto* const group = findGroup(name))
        group->leaseWritten(now, version);
}

void Proxy::promoteAnswered(Instant now, const GroupName& name, PromotionOutcome outcome)
{
    beginEvent(now);
    if (auto* const group = findGroup(name))
        group->promoteAnswered(now, outcome);
}

void Proxy::openConnection(ConnectionId id, const TargetRecord& target, const OrganisationName& organisation,
    const std::optional<SocketAddress>& relay)
{
    m_delegate.openConnection(id, target, organisation, relay);
}

bool Proxy::mayRelay(Instant now, const TargetName& target) const
{
    return std::any_of(m_groups.begin(), m_groups.end(),
        [now, &target](const auto& entry) { return entry.second->reachesDirectly(now, target); });
}

Duration Proxy::longestPrimaryAbsence(Instant now) const
{
    Duration longest {};
    for (const auto& [name, group] : m_groups)
        longest = std::max(longest, group->primaryAbsence().length(now));
    return longest;
}

void Proxy::closeConnection(ConnectionId id)
{
    m_delegate.closeConnection(id);
}

void Proxy::send(ConnectionId id, const std::vector<TargetRequest>& requests)
{
    m_delegate.send(id, requests);
}

void Proxy::readLease(const GroupName& group)
{
    m_delegate.readLease(group);
}

void Proxy::writeLease(const GroupName& group, const PromotionLease& lease, RowVersion expected)
{
    m_delegate.writeLease(group, lease, expected);
}

void Proxy::promote(const GroupName& group, const TargetName& target, RowVersion token, Instant sendBefore)
{
    m_delegate.promote(group, target, token, sendBefore);
}

void Proxy::log(const LogRecord& record)
{
    m_delegate.log(record);
}

void Proxy::measure(std::string_view series, double sample)
{
    m_delegate.measure(series, sample);
}

ConnectionId Proxy::nextConnectionId()
{
    return ConnectionId(++m_lastConnection);
}

} // namespace Auburnpost::Proxy
