#include "proxy/ExplorationResult.h"

namespace Auburnpost::Proxy {

bool ExplorationResult::isShorter(const Finding& known, const ModelSchedule& schedule, bool isInRecovery)
{
    if (known.count == 0)
        return true;
    if (known.isInRecovery != isInRecovery)
        return known.isInRecovery;
    return schedule.size() < known.schedule.size();
}

void ExplorationResult::add(const ProtocolModel::FailedChecks& failed, const ModelSchedule& schedule, bool isInRecovery)
{
    for (std::size_t check = 0; check < findings.size(); ++check) {
        if (!failed.test(check))
            continue;
        auto& finding = findings[check];
        if (isShorter(finding, schedule, isInRecovery)) {
            finding.schedule = schedule;
            finding.isInRecovery = isInRecovery;
        }
        ++finding.count;
    }
}

} // namespace Auburnpost::Proxy
