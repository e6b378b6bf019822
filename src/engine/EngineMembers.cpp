// Membership of the site, and the placement of homes on its hosts.
#include "engine/EngineState.h"
#include "engine/HomeOperation.h"
#include "member/HomePlacement.h"

#include <algorithm>

namespace Auburnpost {

namespace {

    /// Minimum time for which a retired home keeps answering after another host has become the home.
    constexpr Duration retireDelay = std::chrono::seconds(5);
    /// Time without a joining host after which a started host places homes.
    constexpr Duration joinQuietPeriod = std::chrono::milliseconds(700);
    /// Maximum time that a started host waits before it places homes, as it may be the only host.
    constexpr Duration joinTimeout = std::chrono::seconds(4);

    HomeSettings homeSettings(const Config::Settings& settings)
    {
        HomeSettings result;
        result.group.probeInterval = settings.group.probeInterval;
        result.group.responseTimeout = settings.group.suspectAfter;
        result.group.commandTimeout = settings.group.operationTimeout;
        result.group.rankSpacing = settings.group.rankSpacing;
        result.transaction = { settings.limits.transactionIdle, settings.limits.transactionMax };
        result.queueLength = settings.limits.queueLength;
        return result;
    }

    Member::PlacementRequirements requirementsOf(const DatabaseName& name, const Config::DatabasePlacement& placement)
    {
        Member::PlacementRequirements requirements { name, placement.targets.front().dataCentre, {}, placement.homes };
        for (const auto& target : placement.targets)
            requirements.replicaDataCentres.push_back(target.dataCentre);
        return requirements;
    }

} // namespace

void EngineState::handleMembership(Instant now, const Member::MembershipActions& actions)
{
    for (const auto& action : actions)
        std::visit([this, now](const auto& alternative) { handleMembership(now, alternative); }, action);
}

void EngineState::handleMembership(Instant, const Member::SendDatagram& datagram)
{
    m_actions.emplace_back(SendGossip { datagram.to, datagram.bytes });
}

void EngineState::handleMembership(Instant now, const Member::HostChanged& changed)
{
    using Member::HostChange;
    const std::vector<LogField> fields { { "host", changed.record.host.name.value() },
        { "incarnation", std::to_string(changed.record.host.incarnation.value()) } };
    switch (changed.change) {
    case HostChange::Joined:
    case HostChange::Restarted:
        m_lastJoin = now;
        log(LogEvent::HostJoined, fields);
        break;
    case HostChange::Suspected:
        log(LogEvent::HostSuspected, fields);
        return;
    case HostChange::SuspicionCleared:
        return;
    case HostChange::Leaving:
        log(LogEvent::HostLeaving, fields);
        break;
    case HostChange::Dead:
        log(LogEvent::HostDead, fields);
        m_actions.emplace_back(DisconnectPeer { changed.record.host.peers });
        break;
    }
    // An incarnation raised to refute a suspicion belongs to the same process, which has kept its state; only a changed
    // start incarnation means a restart.
    auto& started = m_startIncarnations[changed.record.host.name];
    const bool restarted = started != Incarnation {} && started != changed.record.host.startIncarnation;
    started = changed.record.host.startIncarnation;
    if (changed.change == HostChange::Dead || restarted)
        m_coordinator.handleHostLoss(now, changed.record.host.name);
    m_placementStale = true;
}

void EngineState::checkMembershipKnown(Instant now)
{
    if (m_isMembershipKnown)
        return;
    const bool isAlone = m_membership.liveHosts().size() == 1;
    const bool isQuiet = !isAlone && now - m_lastJoin >= joinQuietPeriod;
    if (!isQuiet && now - m_startedAt < joinTimeout)
        return;
    m_isMembershipKnown = true;
    m_placementStale = true;
}

std::vector<HomeRef> EngineState::homesOf(const DatabaseName& database) const
{
    std::vector<HomeRef> homes;
    const auto found = m_homeNames.find(database);
    if (found == m_homeNames.end())
        return homes;
    for (const auto& name : found->second) {
        if (auto home = host(name))
            homes.push_back(std::move(*home));
    }
    return homes;
}

std::optional<HomeRef> EngineState::host(const HostName& name) const
{
    if (name == m_settings.host.name)
        return HomeRef { name, m_settings.host.dataCentre, m_settings.listen.peers };
    const auto* record = m_membership.find(name);
    if (!record || !record->isLive())
        return std::nullopt;
    return HomeRef { name, record->host.dataCentre, record->host.peers };
}

void EngineState::placeHomes(Instant now)
{
    if (!document() || !m_isMembershipKnown)
        return;
    m_placementStale = false;
    m_lastPlacement = now;
    const Member::HomePlacement placement(m_membership.liveHosts());
    m_homeNames.clear();
    for (const auto& [name, databasePlacement] : document()->databases) {
        auto& homes = m_homeNames[name];
        homes = placement.homes(requirementsOf(name, databasePlacement));
        const bool isHome = std::find(homes.begin(), homes.end(), m_settings.host.name) != homes.end();
        if (isHome)
            openHome(now, name, databasePlacement);
        const auto found = m_homes.find(name);
        if (found == m_homes.end())
            continue;
        found->second.home->setWatchers(now, homes);
        found->second.home->setRetired(!isHome);
        if (isHome)
            found->second.retiredAt.reset();
        else if (!found->second.retiredAt)
            found->second.retiredAt = now;
    }
    updateMaintenance(now);
}

void EngineState::openHome(Instant now, const DatabaseName& name, const Config::DatabasePlacement& placement)
{
    auto& entry = m_homes[name];
    const auto sameTargets = [&] {
        const auto& currentTargets = entry.home->placement().targets;
        return std::equal(currentTargets.begin(), currentTargets.end(), placement.targets.begin(),
            placement.targets.end(), [](const auto& left, const auto& right) {
                return left.name == right.name && left.address == right.address;
            });
    };
    if (entry.home && sameTargets())
        return;
    if (entry.home)
        entry.home->shutDown(now);
    entry.home = std::make_unique<DatabaseHome>(now, name, m_settings.host.name, m_settings.host.dataCentre,
        m_incarnation, placement, homeSettings(m_settings), m_random, *this);
}

void EngineState::retireHomes(Instant now)
{
    std::erase_if(m_homes, [now](auto& item) {
        auto& entry = item.second;
        if (!entry.retiredAt || now - *entry.retiredAt < retireDelay || entry.home->operations() > 0)
            return false;
        entry.home->shutDown(now);
        return true;
    });
}

void EngineState::updateMaintenance(Instant now)
{
    for (auto& [name, entry] : m_homes) {
        const auto switchover = document()->maintenance.switchovers.find(name);
        entry.home->setMaintenance(now, document()->maintenance.leavingTargets,
            switchover == document()->maintenance.switchovers.end() ? std::nullopt : std::optional(switchover->second));
    }
}

} // namespace Auburnpost
