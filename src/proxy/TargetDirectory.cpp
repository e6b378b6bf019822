#include "proxy/TargetDirectory.h"

#include "proxy/TableTimes.h"

#include <algorithm>
#include <set>

namespace Auburnpost::Proxy {

void TargetDirectory::setBounds(const TimeBounds& bounds)
{
    m_missingTimeout = std::clamp(
        bounds.drain - TableTimes::forTargets(bounds).maxDelay() - removalDelay, minMissingTimeout, maxMissingTimeout);
}

TargetDirectory::Changes TargetDirectory::update(Instant now, const std::vector<TargetRecord>& rows)
{
    Changes changes;
    std::set<TargetName> names;
    for (const auto& record : rows) {
        names.insert(record.name);
        auto& entry = m_targets[record.name];
        const bool hasChanged = entry.record != record;
        if (hasChanged)
            changes.listed.push_back(record);
        entry = { record, {} };
    }
    for (auto next = m_targets.begin(); next != m_targets.end();) {
        auto& [name, entry] = *next;
        if (!names.contains(name) && entry.record.isLeaving) {
            changes.removed.push_back(entry.record);
            next = m_targets.erase(next);
            continue;
        }
        if (!names.contains(name) && !entry.missingSince)
            entry.missingSince = now;
        ++next;
    }
    return changes;
}

TargetDirectory::Changes TargetDirectory::expire(Instant now)
{
    Changes changes;
    for (auto next = m_targets.begin(); next != m_targets.end();) {
        const auto& missingSince = next->second.missingSince;
        if (missingSince && now - *missingSince >= m_missingTimeout) {
            changes.removed.push_back(next->second.record);
            next = m_targets.erase(next);
        } else {
            ++next;
        }
    }
    return changes;
}

std::vector<TargetRecord> TargetDirectory::members(const GroupName& group) const
{
    std::vector<TargetRecord> records;
    for (const auto& [name, entry] : m_targets) {
        if (entry.record.group == group)
            records.push_back(entry.record);
    }
    return records;
}

} // namespace Auburnpost::Proxy
