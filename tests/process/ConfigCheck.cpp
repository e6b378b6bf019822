#include "process/ConfigCheck.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Test {

namespace {

    /// The slack of a host that is not in touch is longer by this factor.
    constexpr int slackFactor = 8;

    bool allows(const ConfigEdit& edit, const ConfigRequest& request)
    {
        const auto route = edit.routes.find(request.database);
        return request.group == (route == edit.routes.end() ? std::string() : route->second);
    }

} // namespace

ConfigCheck::ConfigCheck(const ConfigHistory& history, const HostBounds& bounds)
    : m_history(history)
    , m_propagation(bounds.configPropagationMs)
    , m_stabilityWindow(bounds.stabilityWindowMs)
    , m_rollbackSlack(bounds.rollbackSlackMs)
{
}

bool ConfigCheck::isInTouch(const ConfigRequest& request) const
{
    const auto from = request.sentAt - m_stabilityWindow;
    return std::none_of(m_history.disturbances.begin(), m_history.disturbances.end(), [&](const Disturbance& each) {
        const bool concerns = each.host == Disturbance::allHosts || each.host == request.host;
        return concerns && each.from <= request.endedAt && each.until >= from;
    });
}

std::uint64_t ConfigCheck::dueVersion(const ConfigRequest& request) const
{
    std::uint64_t due = 0;
    for (const auto& edit : m_history.edits) {
        if (edit.acknowledgedAt + m_propagation < request.sentAt)
            due = edit.version;
    }
    return due;
}

std::optional<std::uint64_t> ConfigCheck::firstMatch(const ConfigRequest& request, std::uint64_t oldest) const
{
    for (const auto& edit : m_history.edits) {
        if (edit.version >= oldest && edit.sentAt <= request.endedAt && allows(edit, request))
            return edit.version;
    }
    return {};
}

ConfigViolation ConfigCheck::describe(const ConfigRequest& request, std::uint64_t oldestAllowed, bool isRegress) const
{
    ConfigViolation violation { &request, oldestAllowed, 0, isRegress };
    for (const auto& edit : m_history.edits) {
        if (edit.version < oldestAllowed && allows(edit, request))
            violation.handledBy = edit.version;
    }
    return violation;
}

std::size_t ConfigCheck::boundedRequests() const
{
    return static_cast<std::size_t>(std::count_if(m_history.requests.begin(), m_history.requests.end(),
        [this](const ConfigRequest& request) { return dueVersion(request) > 0 && isInTouch(request); }));
}

std::vector<ConfigViolation> ConfigCheck::violations() const
{
    std::vector<ConfigViolation> found;
    std::map<std::pair<std::size_t, unsigned>, std::vector<const ConfigRequest*>> boots;
    for (const auto& request : m_history.requests) {
        const auto due = dueVersion(request);
        if (due > 0 && !firstMatch(request, due) && isInTouch(request))
            found.push_back(describe(request, due, false));
        else
            boots[{ request.host, request.boot }].push_back(&request);
    }
    for (auto& [boot, requests] : boots)
        checkRegress(std::move(requests), found);
    return found;
}

void ConfigCheck::checkRegress(std::vector<const ConfigRequest*> requests, std::vector<ConfigViolation>& found) const
{
    std::sort(requests.begin(), requests.end(),
        [](const ConfigRequest* left, const ConfigRequest* right) { return left->endedAt < right->endedAt; });
    std::vector<Floor> floors { { Moment::min(), 0 } };
    for (const auto* const request : requests) {
        const auto slack = isInTouch(*request) ? m_rollbackSlack : m_rollbackSlack * slackFactor;
        const auto floor = std::find_if(floors.rbegin(), floors.rend(),
            [&](const Floor& each) { return each.since == Moment::min() || each.since + slack < request->sentAt; });
        // A host that never goes back had a version from this floor on, so the first match is a bound of its version.
        const auto match = firstMatch(*request, floor->version);
        if (!match)
            found.push_back(describe(*request, floor->version, true));
        else if (*match > floors.back().version)
            floors.push_back({ request->endedAt, *match });
    }
}

} // namespace Auburnpost::Test
