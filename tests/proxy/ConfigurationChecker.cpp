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

std::size_t ConfigurationChecker::lastAcknowledged(Instant before) const
{
    for (auto version = m_versions.size(); version > 0; --version) {
        const auto& acknowledgedAt = m_versions[version - 1].acknowledgedAt;
        if (acknowledgedAt && *acknowledgedAt < before)
            return version;
    }
    return 0;
}

std::size_t ConfigurationChecker::lastSeen(std::size_t host, Instant before) const
{
    std::size_t version = 0;
    if (const auto seen = m_seen.find(host); seen != m_seen.end()) {
        for (const auto& sight : seen->second) {
            if (sight.at < before)
                version = std::max(version, sight.version);
        }
    }
    return version;
}

bool ConfigurationChecker::allows(
    std::size_t version, const DatabaseName& database, const std::optional<GroupName>& group) const
{
    const auto& routes = routesOf(version);
    const auto route = routes.find(database);
    return group ? route != routes.end() && route->second == *group : route == routes.end();
}

void ConfigurationChecker::checkDecision(
    Instant now, const Request& request, const std::optional<GroupName>& group, std::size_t decidedBy)
{
    const TimeBounds bounds;
    ++m_decisions;
    const bool isInTouch = this->isInTouch(request.host, request.sentAt - bounds.recovery, now);
    m_decisionsInTouch += isInTouch ? 1 : 0;
    const auto acknowledged = isInTouch ? lastAcknowledged(request.sentAt - bounds.configuration) : 0;
    const auto seen = lastSeen(request.host, request.sentAt - rollbackSlack);
    const auto oldest = std::max<std::size_t>({ acknowledged, seen, 1 });
    for (auto version = oldest; version <= m_versions.size(); ++version) {
        if (!allows(version, request.database, group))
            continue;
        // Later requests at this host are decided by this version or a later one.
        if (version > lastSeen(request.host, now))
            m_seen[request.host].push_back({ now, version });
        return;
    }
    if (m_violations++ > 0)
        return;
    auto allowed = oldest - 1;
    while (allowed > 0 && !allows(allowed, request.database, group))
        --allowed;
    std::ostringstream text;
    text << toMilliseconds(now.time_since_epoch()) << " ms: a request sent to host " << request.host << " at "
         << toMilliseconds(request.sentAt.time_since_epoch()) << " ms for " << request.database << " was "
         << (group ? "run by " + group->value() : "refused") << ", decided by host " << decidedBy
         << ", as of versions up to " << allowed << " only; version " << acknowledged << " was acknowledged in time, "
         << seen << " was seen at the host";
    m_violation = text.str();
}

} // namespace Auburnpost::Proxy
