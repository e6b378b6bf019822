#include "proxy/ConfigurationChecker.h"

#include "proxy/TimeBounds.h"

#include <algorithm>
#include <sstream>

namespace Auburnpost::Proxy {

namespace {

    /// Time for which requests may still be handled by an older version after callers of the same host saw the effect
    /// of a later one (rule CONFIG).
    constexpr Duration rollbackSlack = std::chrono::milliseconds(250);

} // namespace

void ConfigurationChecker::recordEdit(Routes routes)
{
    m_versions.push_back({ std::move(routes), {} });
}

bool ConfigurationChecker::isInTouch(std::size_t host, Instant from, Instant until) const
{
    const auto disturbances = m_disturbances.find(host);
    if (disturbances == m_disturbances.end())
        return true;
    return std::none_of(disturbances->second.begin(), disturbances->second.end(),
        [&](const Interval& interval) { return interval.from <= until && interval.until >= from; });
}

Instant ConfigurationChecker::undisturbedSince(std::size_t host, Instant before) const
{
    Instant since {};
    if (const auto disturbances = m_disturbances.find(host); disturbances != m_disturbances.end()) {
        for (const auto& interval : disturbances->second) {
            if (interval.until < before)
                since = std::max(since, interval.until);
        }
    }
    return since;
}

void ConfigurationChecker::recordAge(const Request& request, Instant decidedAt, const std::optional<GroupName>& group)
{
    if (!isInTouch(request.host, request.sentAt, decidedAt))
        return;
    auto version = m_versions.size();
    while (version > 0 && !allows(version, request.database, group))
        --version;
    if (version == 0 || version == m_versions.size())
        return;
    const auto& replacedAt = m_versions[version].acknowledgedAt;
    if (replacedAt && *replacedAt < request.sentAt)
        m_largestAge = std::max(
            m_largestAge, request.sentAt - std::max(*replacedAt, undisturbedSince(request.host, request.sentAt)));
}

std::size_t ConfigurationChecker::lastAcknowledged(Instant before) const
{
    for (auto version = m_versions.size(); version > 0; --version) {
        const auto& acknowledgedAt = m_versions[version - 1].acknowledgedAt;
        if (acknowledgedAt && *acknowledgedAt < before)
            return version;
    }
    return 0;
}

ConfigurationChecker::Sight ConfigurationChecker::lastSeen(std::size_t host, Instant before) const
{
    Sight last;
    if (const auto seen = m_seen.find(host); seen != m_seen.end()) {
        for (const auto& sight : seen->second) {
            if (sight.at < before)
                last = sight;
        }
    }
    return last;
}

bool ConfigurationChecker::allows(
    std::size_t version, const DatabaseName& database, const std::optional<GroupName>& group) const
{
    const auto& routes = routesOf(version);
    const auto route = routes.find(database);
    return group ? route != routes.end() && route->second == *group : route == routes.end();
}

void ConfigurationChecker::checkDecision(
    Instant now, const Request& request, const std::optional<GroupName>& group, const Decider& decider)
{
    const TimeBounds bounds;
    ++m_decisions;
    recordAge(request, now, group);
    const bool isInTouch = this->isInTouch(request.host, request.sentAt - bounds.recovery, now);
    m_decisionsInTouch += isInTouch ? 1 : 0;
    const auto acknowledged = isInTouch ? lastAcknowledged(request.sentAt - bounds.configuration) : 0;
    const auto seen = lastSeen(request.host, request.sentAt - rollbackSlack);
    recordSight(now, request, group, decider);
    for (auto version = std::max<std::size_t>({ acknowledged, seen.version, 1 }); version <= m_versions.size();
         ++version) {
        if (allows(version, request.database, group))
            return;
    }
    recordViolation(now, request, group, decider, acknowledged, seen);
}

void ConfigurationChecker::recordSight(
    Instant now, const Request& request, const std::optional<GroupName>& group, const Decider& decider)
{
    // The host may have applied a later version since it decided. The effect is that of the version that made the
    // route what it was then.
    auto version = decider.version;
    while (version > 0 && !allows(version, request.database, group))
        --version;
    while (version > 1 && allows(version - 1, request.database, group))
        --version;
    if (version > lastSeen(request.host, now + Duration(1)).version)
        m_seen[request.host].push_back({ now, version, decider });
}

void ConfigurationChecker::recordViolation(Instant now, const Request& request, const std::optional<GroupName>& group,
    const Decider& decider, std::size_t acknowledged, const Sight& seen)
{
    auto allowed = std::max(acknowledged, seen.version);
    while (allowed > 0 && !allows(allowed, request.database, group))
        --allowed;
    const auto nameOf = [&](std::size_t host) { return host == request.host ? "the caller's host" : "a home"; };
    auto kind = std::string(allowed < acknowledged ? late : back) + ", decided by " + nameOf(decider.host);
    if (allowed >= acknowledged)
        kind += " after " + (decider.host == seen.decider.host ? "itself" : std::string(nameOf(seen.decider.host)));
    if (m_violations.contains(kind))
        return;
    std::ostringstream text;
    text << toMilliseconds(now.time_since_epoch()) << " ms: a request sent to host " << request.host << " at "
         << toMilliseconds(request.sentAt.time_since_epoch()) << " ms for " << request.database << " was "
         << (group ? "run by " + group->value() : "refused") << ", decided by host " << decider.host << " at version "
         << decider.version << ", as only version " << allowed << " or older allows; version " << acknowledged
         << " had been acknowledged in time, version " << seen.version << " was seen at "
         << toMilliseconds(seen.at.time_since_epoch()) << " ms, decided by host " << seen.decider.host;
    m_violations[kind] = text.str();
}

} // namespace Auburnpost::Proxy
