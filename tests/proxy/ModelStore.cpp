#include "proxy/ModelStore.h"

#include <algorithm>

namespace Auburnpost::Proxy {

PromotionLeaseRow ModelStore::readLease(std::uint64_t nowMs) const
{
    auto row = m_leaseRow;
    row.storeNowMs = nowMs;
    return row;
}

std::optional<RowVersion> ModelStore::writeLease(const PromotionLease& lease, RowVersion expected)
{
    if (expected != m_leaseRow.version)
        return {};
    m_leaseRow.lease = lease;
    m_leaseRow.version = RowVersion(++m_version);
    return m_leaseRow.version;
}

void ModelStore::setRecord(const TargetRecord& record)
{
    m_records[record.name] = record;
    ++m_listVersion;
}

void ModelStore::removeRecord(const TargetName& name)
{
    m_records.erase(name);
    ++m_listVersion;
}

std::vector<TargetRecord> ModelStore::records() const
{
    std::vector<TargetRecord> result;
    for (const auto& [name, record] : m_records)
        result.push_back(record);
    return result;
}

void ModelStore::addTo(Fingerprint& fingerprint, std::uint64_t nowMs) const
{
    constexpr std::uint64_t msPerTick = 100;
    fingerprint.add(m_leaseRow.version.value());
    if (m_leaseRow.lease) {
        const auto expiresAt = m_leaseRow.lease->expiresAtMs;
        fingerprint.add(m_leaseRow.lease->holder.value());
        fingerprint.add(expiresAt > nowMs ? (expiresAt - nowMs) / msPerTick + 1 : 0);
        if (const auto& pending = m_leaseRow.lease->pending) {
            fingerprint.add(pending->candidate.value());
            fingerprint.add(pending->replacedTerm.value());
            fingerprint.add((nowMs - std::min(nowMs, pending->recordedAtMs)) / msPerTick);
            fingerprint.add(pending->isRepeated ? 1 : 0);
        }
        for (const auto& member : m_leaseRow.lease->members.value_or(MemberRecord {}).members)
            fingerprint.add(member.name.value());
    }
    for (const auto& [name, record] : m_records) {
        fingerprint.add(name.value());
        fingerprint.add((record.isLeaving ? 1U : 0U) | (record.reportsPrimary ? 2U : 0U));
    }
}

} // namespace Auburnpost::Proxy
