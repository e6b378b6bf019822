#include "proxy/Proxy.h"
#include "proxy/StateDump.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Auburnpost::Proxy {

void Proxy::tableRead(Instant now, StoreTable table, const Expected<StorePage>& page, StoreCallSlot slot)
{
    beginEvent(now);
    if (table == StoreTable::Hosts) {
        // After a failed read the known hosts are kept; the followed tables report that the store is unavailable.
        // While it is, another read would fail as well.
        if (!page)
            m_hosts.recordReadFailed(now, follower(StoreTable::Configuration).calls().isConnected);
        if (page && m_hosts.updateHosts(now, *page)) {
            m_homes.setHosts(m_hosts.hosts());
            m_feeders.setHosts(m_hosts.hosts());
            m_versionExchange.setHosts(m_hosts.hosts());
            updateServedGroups(now);
        }
        if (m_allotments && m_hosts.hasRead())
            m_allotments->setHosts(now, m_hosts.hosts());
        return;
    }
    if (page)
        recordEra(table, page->asOf);
    const auto failure = page ? follower(table).rejectionOfRead(*page, slot) : page.error();
    const auto before = callsBefore(table, slot);
    const bool hasChanged = follower(table).tableRead(now, m_random, page, slot);
    updateListOrigin();
    logStoreCall(now, table, before, failure);
    if (hasChanged)
        tableChanged(now, table);
    follower(table).tick(now);
}

void Proxy::tableFollowed(Instant now, StoreTable table, const Expected<StorePage>& page, StoreCallSlot slot)
{
    beginEvent(now);
    if (page)
        recordEra(table, page->asOf);
    const auto failure = page ? follower(table).rejectionOfPoll(*page) : page.error();
    const auto before = callsBefore(table, slot);
    const bool hasChanged = follower(table).tableFollowed(now, m_random, page, slot);
    updateListOrigin();
    logStoreCall(now, table, before, failure);
    if (hasChanged)
        tableChanged(now, table);
    follower(table).tick(now);
}

void Proxy::readMembers(const GroupName& group)
{
    m_memberReads[group] = {};
    m_delegate.readMembers(group, {});
}

void Proxy::membersRead(Instant now, const GroupName& name, const Expected<StorePage>& page)
{
    beginEvent(now);
    auto* const group = findGroup(name);
    if (!group)
        return;
    if (!page) {
        group->membersRead(now, false);
        return;
    }
    auto& read = m_memberReads[name];
    for (const auto& row : page->rows)
        read.rows[row.key] = row;
    // The pages of one read may have different versions; the first one is the version from which changes are followed.
    if (read.asOf == RowVersion {})
        read.asOf = page->asOf;
    if (page->hasMore && !page->rows.empty()) {
        m_delegate.readMembers(name, keyAfter(page->rows.back().key));
        return;
    }
    const auto whole = std::exchange(read, {});
    if (follower(StoreTable::Targets).adoptRead(now, whole))
        tableChanged(now, StoreTable::Targets);
    updateListOrigin();
    group->membersRead(now, true);
}

void Proxy::recordEra(StoreTable table, const RowVersion& asOf)
{
    if (asOf.era() <= m_storeEra)
        return;
    const auto before = std::exchange(m_storeEra, asOf.era());
    if (!follower(table).isKnown())
        return;
    for (auto& [name, group] : m_groups)
        group->storeReturned(m_now);
    log({ LogEvent::StoreEraChanged,
        { { "era", std::to_string(m_storeEra.value()) }, { "before", std::to_string(before.value()) },
            { "table", std::string(toString(table)) }, { "as_of", toString(asOf) },
            { "known", toString(follower(table).state().asOf) } } });
}

void Proxy::tableChanged(Instant now, StoreTable table)
{
    if (table == StoreTable::Configuration)
        adoptCatalog(now);
    else
        updateTargets(now);
    answerFeeds(now);
}

bool Proxy::applyCatalog(Instant now, const StoreRow& row, Catalog catalog)
{
    if (m_catalog && catalog.version <= m_catalog->version)
        return false;
    m_catalog = std::move(catalog);
    m_catalogAppliedAt = now;
    m_appliedRow = row;
    if (m_newerVersion.queriedAt && m_newerVersion.version == m_catalog->version)
        m_delegate.measure(
            "configuration_behind_ms", static_cast<double>(toMilliseconds(now - m_newerVersion.statedAt)));
    log({ LogEvent::ConfigurationApplied,
        { { "version", std::to_string(m_catalog->version.value()) },
            { "routes", std::to_string(m_catalog->routes.size()) }, { "row_version", toString(row.version) },
            { "as_of", toString(follower(StoreTable::Configuration).state().asOf) } } });
    return true;
}

void Proxy::adoptCatalog(Instant now)
{
    m_isOlderCatalogListed = false;
    for (const auto& [key, row] : follower(StoreTable::Configuration).state().rows) {
        auto catalog = m_reader.readCatalog(row);
        if (!catalog) {
            log({ LogEvent::ConfigurationRejected,
                { { "row", key }, { "version", toString(row.version) }, { "problem", catalog.error().describe() } } });
            continue;
        }
        if (!*catalog)
            continue;
        const auto version = (*catalog)->version;
        if (applyCatalog(now, row, std::move(**catalog)) || version >= m_catalog->version)
            continue;
        m_isOlderCatalogListed = true;
        log({ LogEvent::OlderConfigurationIgnored,
            { { "version", std::to_string(version.value()) }, { "applied", std::to_string(m_catalog->version.value()) },
                { "row_version", toString(row.version) } } });
    }
    catalogChanged(now);
}

void Proxy::adoptPeersCatalog(Instant now, const TableState& peers)
{
    bool hasChanged = false;
    for (const auto& [key, row] : peers.rows) {
        auto catalog = m_reader.readCatalog(row);
        if (catalog && *catalog)
            hasChanged = applyCatalog(now, row, std::move(**catalog)) || hasChanged;
    }
    if (!hasChanged)
        return;
    m_isOlderCatalogListed = true;
    catalogChanged(now);
}

TableState Proxy::tableForPeers(StoreTable table) const
{
    auto state = m_followers[static_cast<std::size_t>(table)].state();
    if (table == StoreTable::Configuration && m_isOlderCatalogListed) {
        // The version stays that of the store's row, so that later edits of the row count as newer.
        auto& row = state.rows[m_appliedRow.key];
        row.key = m_appliedRow.key;
        row.value = m_appliedRow.value;
    }
    return state;
}

void Proxy::catalogChanged(Instant now)
{
    if (!m_catalog)
        return;
    for (const auto& [name, rules] : m_catalog->groups) {
        auto& group = m_groups[name];
        GroupServiceDelegate& delegate = *this;
        const bool isNew = !group;
        if (isNew)
            group = std::make_unique<GroupService>(m_settings.host, name, delegate);
        if (isNew && m_settings.isFirstStart && now - m_startedAt < firstStartPeriod)
            group->setFirstStart();
        group->setRules(rules);
    }
    if (m_allotments)
        m_allotments->setOrganisations(now, m_catalog->organisations);
    updateListOrigin();
    updateGroupMembers(now);
    endRevokedSessions(now);
    std::vector<SessionId> waiting;
    for (const auto& [id, session] : m_sessions) {
        if (!session.isAccepted)
            waiting.push_back(id);
    }
    for (const auto id : waiting) {
        if (auto* const session = findSession(id))
            routeSession(*session);
    }
    serveHeldStatements(now);
}

void Proxy::updateTargets(Instant now)
{
    std::vector<TargetRecord> listed;
    std::map<std::string, std::string> invalid;
    for (const auto& [key, row] : follower(StoreTable::Targets).state().rows) {
        auto record = m_reader.readTarget(row);
        if (record)
            listed.push_back(std::move(*record));
        else
            invalid.emplace(key, record.error().describe());
    }
    for (const auto& [key, problem] : invalid) {
        const auto known = m_invalidRecords.find(key);
        if (known == m_invalidRecords.end() || known->second != problem)
            log({ LogEvent::TargetRecordInvalid, { { "row", key }, { "problem", problem } } });
    }
    m_invalidRecords = std::move(invalid);
    logTargetChanges(m_directory.update(now, listed));
    updateGroupMembers(now);
}

void Proxy::updateGroupMembers(Instant now)
{
    for (auto& [name, group] : m_groups) {
        if (servesGroup(now, name))
            group->setMembers(now, m_directory.members(name));
        else
            group->stopWatching(now);
    }
}

void Proxy::updateListOrigin()
{
    const auto origin = follower(StoreTable::Targets).origin();
    for (auto& [name, group] : m_groups)
        group->setListOrigin(origin);
}

bool Proxy::servesGroup(Instant now, const GroupName& name) const
{
    const auto rules = m_catalog->groups.find(name);
    if (rules == m_catalog->groups.end() || !m_homes.areNeeded(rules->second.connectionLimit) || m_homes.isHome(name))
        return true;
    const auto used = m_groupUsedAt.find(name);
    return used != m_groupUsedAt.end() && now - used->second < groupLinger;
}

void Proxy::updateServedGroups(Instant now)
{
    if (!m_catalog)
        return;
    for (const auto& [id, session] : m_sessions) {
        if (const auto* const route = findRoute(session.database); route && session.isAccepted)
            m_groupUsedAt[route->group] = now;
    }
    std::set<GroupName> served;
    for (const auto& [name, group] : m_groups) {
        if (servesGroup(now, name))
            served.insert(name);
    }
    if (served == m_servedGroups)
        return;
    m_servedGroups = std::move(served);
    log({ LogEvent::ServedGroupsChanged, { { "groups", std::to_string(m_servedGroups.size()) } } });
    updateGroupMembers(now);
}

void Proxy::queryPeers(Instant now)
{
    if (now - m_peerQueriedAt < peerQueryInterval)
        return;
    // After a return of the store from an older copy, only hosts that ran before may have the newest configuration.
    const bool maySeeOlderCopy = m_storeEra != StoreEra {} && m_peerAnswers < startPeers;
    const bool needsPeers = std::any_of(m_followers.begin(), m_followers.end(), [now](const StoreFollower& follower) {
        return (!follower.isKnown())
            || (follower.calls().failingSince && now - *follower.calls().failingSince >= peerDelay);
    });
    if (!needsPeers && !maySeeOlderCopy)
        return;
    m_peerQueriedAt = now;
    if (const auto peer = nextPeer())
        m_delegate.queryPeer(*peer);
}

std::optional<SocketAddress> Proxy::nextPeer()
{
    // The store may turn all seeds away, so every second query goes to one of the recorded hosts.
    m_wasSeedQueried = !m_wasSeedQueried && !m_settings.seeds.empty();
    if (!m_wasSeedQueried) {
        std::vector<SocketAddress> recorded;
        for (const auto& host : m_hosts.hosts()) {
            if (host.peers && *host.peers != m_settings.peers)
                recorded.push_back(*host.peers);
        }
        if (!recorded.empty())
            return recorded[std::uniform_int_distribution<std::size_t>(0, recorded.size() - 1)(m_random)];
    }
    if (m_settings.seeds.empty())
        return {};
    m_lastSeed = (m_lastSeed + 1) % m_settings.seeds.size();
    if (m_settings.seeds[m_lastSeed] == m_settings.peers)
        m_lastSeed = (m_lastSeed + 1) % m_settings.seeds.size();
    return m_settings.seeds[m_lastSeed] == m_settings.peers ? std::nullopt
                                                            : std::optional(m_settings.seeds[m_lastSeed]);
}

void Proxy::peerAnswered(Instant now, const SocketAddress& peer, const Expected<TableStates>& tables)
{
    beginEvent(now);
    if (!tables) {
        log({ LogEvent::PeerMessageRejected,
            { { "peer", peer.toString() }, { "reason", tables.error().describe() } } });
        return;
    }
    ++m_peerAnswers;
    for (const auto& [table, state] : *tables) {
        recordEra(table, state.asOf);
        if (!follower(table).adopt(state, peer)) {
            if (table == StoreTable::Configuration)
                adoptPeersCatalog(now, state);
            continue;
        }
        updateListOrigin();
        log({ LogEvent::PeerStateAdopted,
            { { "peer", peer.toString() }, { "table", std::string(toString(table)) },
                { "as_of", toString(state.asOf) } } });
        tableChanged(now, table);
    }
}

TableStates Proxy::tables() const
{
    TableStates tables;
    for (const auto table : followedTables)
        tables[table] = tableForPeers(table);
    return tables;
}

std::string Proxy::dump(Instant now) const
{
    using Json = nlohmann::json;
    Json groups = Json::object();
    for (const auto& [name, group] : m_groups)
        groups[name.value()] = describeGroup(now, *group);
    Json state { { "host", m_settings.host.value() }, { "ready", isReady() },
        { "configuration", m_catalog ? m_catalog->version.value() : 0 }, { "sessions", m_sessions.size() },
        { "statements", statements() }, { "store_era", m_storeEra.value() }, { "uses_feeders", m_usesFeeders },
        { "feeder", m_feeder ? m_feeder->toString() : "" }, { "followers_waiting", m_feed.size() },
        { "configuration_known_ms", m_catalog ? Json(toMilliseconds(now - m_catalogAppliedAt)) : Json() },
        { "configuration_agreed_ms", versionAge(now) ? Json(toMilliseconds(*versionAge(now))) : Json() },
        { "configuration_copy",
            describeOrigin(now, m_followers[static_cast<std::size_t>(StoreTable::Configuration)].origin()) },
        { "targets_list", describeOrigin(now, m_followers[static_cast<std::size_t>(StoreTable::Targets)].origin()) },
        { "groups", std::move(groups) } };
    if (usesDatagrams())
        state["rate_limits"] = m_allotments->describe(now);
    return state.dump(2);
}

} // namespace Auburnpost::Proxy
