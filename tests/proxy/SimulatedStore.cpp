#include "proxy/SimulatedStore.h"

#include <algorithm>
#include <string>

namespace Auburnpost::Proxy {

void SimulatedStore::listFirst(const std::vector<TargetRecord>& records)
{
    for (const auto& record : records) {
        m_records.push_back(record);
        m_rows[record.name] = { version(), m_records.size() - 1, false };
    }
}

void SimulatedStore::put(const TargetRecord& record)
{
    m_records.push_back(record);
    m_rows[record.name] = { RowVersion(++m_version), m_records.size() - 1, false };
}

void SimulatedStore::remove(const TargetName& name)
{
    auto& row = m_rows.at(name);
    row.version = RowVersion(++m_version);
    row.isDeleted = true;
}

const TargetRecord* SimulatedStore::find(const TargetName& name) const
{
    const auto row = m_rows.find(name);
    return row == m_rows.end() || row->second.isDeleted ? nullptr : &m_records[row->second.record];
}

StoreRow SimulatedStore::encode(const TargetName& name, const Row& row)
{
    return { name.value(), row.version, std::to_string(row.record), row.isDeleted };
}

StorePage SimulatedStore::targets() const
{
    StorePage page;
    page.asOf = version();
    for (const auto& [name, row] : m_rows) {
        if (!row.isDeleted)
            page.rows.push_back(encode(name, row));
    }
    return page;
}

StorePage SimulatedStore::targetsChangedAfter(RowVersion after) const
{
    StorePage page;
    page.asOf = version();
    for (const auto& [name, row] : m_rows) {
        if (row.version > after)
            page.rows.push_back(encode(name, row));
    }
    std::sort(page.rows.begin(), page.rows.end(),
        [](const StoreRow& left, const StoreRow& right) { return left.version < right.version; });
    return page;
}

TargetRecord SimulatedStore::decode(const StoreRow& row) const
{
    return m_records.at(std::stoull(row.value));
}

std::optional<RowVersion> SimulatedStore::writeLease(const PromotionLease& lease, RowVersion expected)
{
    if (expected != m_lease.version)
        return {};
    m_lease.lease = lease;
    m_lease.version = RowVersion(++m_version);
    return m_lease.version;
}

bool SimulatedStore::isHostCut(std::size_t host, Instant now) const
{
    const auto until = m_hostCutUntil.find(host);
    return until != m_hostCutUntil.end() && now < until->second;
}

} // namespace Auburnpost::Proxy
