#pragma once

#include "proxy/Fingerprint.h"
#include "proxy/PromotionLease.h"
#include "proxy/TargetRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// The rows of the platform's store that a promotion depends on: the group's lease and the table of targets.
class ModelStore {
public:
    [[nodiscard]] PromotionLeaseRow readLease(std::uint64_t nowMs) const;
    /// @return the row's new version; empty when the row has another version than the expected one.
    std::optional<RowVersion> writeLease(const PromotionLease&, RowVersion expected);
    void setRecord(const TargetRecord&);
    void removeRecord(const TargetName&);
    [[nodiscard]] bool hasRecord(const TargetName& name) const { return m_records.contains(name); }
    [[nodiscard]] std::vector<TargetRecord> records() const;
    /// @return the number of changes of the table of targets.
    [[nodiscard]] std::size_t listVersion() const { return m_listVersion; }
    void addTo(Fingerprint&, std::uint64_t nowMs) const;

private:
    PromotionLeaseRow m_leaseRow;
    /// Counter of versions; the same one for all rows.
    std::uint64_t m_version { 10 };
    std::map<TargetName, TargetRecord> m_records;
    std::size_t m_listVersion { 0 };
};

} // namespace Auburnpost::Proxy
