#include "member/HostTable.h"

#include "base/Invariant.h"

#include <algorithm>
#include <xxhash.h>

namespace Auburnpost::Member {

namespace {

    std::size_t bucketOf(const HostName& name)
    {
        return XXH3_64bits(name.value().data(), name.value().size()) % digestBuckets;
    }

    /// Excludes the config version, because otherwise a new document would make every pair of tables differ.
    std::uint32_t recordHash(const HostRecord& record)
    {
        const std::uint64_t state = record.host.incarnation.value() * 8U
            + static_cast<std::uint64_t>(record.health) * 2U + static_cast<std::uint64_t>(record.leaving);
        const auto& name = record.host.name.value();
        return static_cast<std::uint32_t>(XXH3_64bits_withSeed(name.data(), name.size(), state));
    }

} // namespace

HostTable::Merge HostTable::merge(Instant now, const HostRecord& record)
{
    const auto [position, isNew] = m_entries.try_emplace(record.host.name, Entry { record, now });
    if (isNew) {
        updateLiveNames(record);
        return { std::nullopt, true };
    }
    auto& known = position->second;
    const HostRecord before = known.record;
    if (record.host.incarnation < before.host.incarnation)
        return { before, false };
    if (record.host.incarnation > before.host.incarnation) {
        known.record = record;
    } else {
        known.record.health = std::max(before.health, record.health);
        known.record.leaving = before.leaving || record.leaving;
        known.record.configVersion = std::max(before.configVersion, record.configVersion);
    }
    AUBURNPOST_INVARIANT(
        known.record.host.incarnation >= before.host.incarnation, "the incarnation of a host decreased");
    if (before.isLive() && !known.record.isLive())
        known.deadSince = now;
    if (before.isLive() != known.record.isLive())
        updateLiveNames(known.record);
    const bool hasChanged = known.record.host.incarnation != before.host.incarnation
        || known.record.health != before.health || known.record.leaving != before.leaving;
    return { before, hasChanged };
}

void HostTable::updateLiveNames(const HostRecord& record)
{
    const auto lower = std::lower_bound(m_live.begin(), m_live.end(), record.host.name);
    const bool isListed = lower != m_live.end() && *lower == record.host.name;
    if (record.isLive() && !isListed)
        m_live.insert(lower, record.host.name);
    else if (!record.isLive() && isListed)
        m_live.erase(lower);
}

void HostTable::forgetDead(Instant now, Duration retention)
{
    std::erase_if(m_entries, [&](const auto& item) {
        const Entry& entry = item.second;
        return !entry.record.isLive() && now - entry.deadSince > retention;
    });
}

const HostRecord* HostTable::find(const HostName& name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

bool HostTable::isShared(const Entry& entry, Instant now, Duration retention)
{
    return entry.record.isLive() || now - entry.deadSince < retention / 2;
}

TableDigest HostTable::digest(const HostRecord& self, Instant now, Duration retention) const
{
    TableDigest digest {};
    digest[bucketOf(self.host.name)] ^= recordHash(self);
    for (const auto& [name, entry] : m_entries) {
        if (isShared(entry, now, retention))
            digest[bucketOf(name)] ^= recordHash(entry.record);
    }
    return digest;
}

std::vector<HostRecord> HostTable::differingRecords(
    const HostRecord& self, const TableDigest& own, const TableDigest& other, Instant now, Duration retention) const
{
    const auto differs = [&](const HostName& name) {
        const auto bucket = bucketOf(name);
        return own[bucket] != other[bucket];
    };
    std::vector<HostRecord> records;
    if (differs(self.host.name))
        records.push_back(self);
    for (const auto& [name, entry] : m_entries) {
        if (differs(name) && isShared(entry, now, retention))
            records.push_back(entry.record);
    }
    return records;
}

} // namespace Auburnpost::Member
