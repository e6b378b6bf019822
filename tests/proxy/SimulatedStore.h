#pragma once

#include "base/Time.h"
#include "proxy/PromotionLease.h"
#include "proxy/StoreTable.h"
#include "proxy/TargetRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// The platform's store in simulated time: the targets' records, the row of the promotion lease, and which hosts reach
/// it.
class SimulatedStore {
public:
    /// Lists the records that exist from the start, all with the store's first version.
    void listFirst(const std::vector<TargetRecord>&);
    /// Lists a record or replaces it.
    void put(const TargetRecord&);
    void remove(const TargetName&);
    /// @return the listed record of the target; null when it has none.
    [[nodiscard]] const TargetRecord* find(const TargetName&) const;
    /// @return all records.
    [[nodiscard]] StorePage targets() const;
    /// @return the records changed after the version, deleted ones included.
    [[nodiscard]] StorePage targetsChangedAfter(RowVersion) const;
    /// @return the record that the row held when it was read.
    [[nodiscard]] TargetRecord decode(const StoreRow&) const;

    [[nodiscard]] RowVersion version() const { return RowVersion(m_version); }
    [[nodiscard]] PromotionLeaseRow lease() const { return m_lease; }
    /// @return the row's new version; empty if the row had another version than expected.
    std::optional<RowVersion> writeLease(const PromotionLease&, RowVersion expected);
    void setNow(Instant now)
    {
        m_lease.storeNowMs = static_cast<std::uint64_t>(toMilliseconds(now.time_since_epoch()));
    }

    /// Whether the store answers at all; otherwise each call fails at once.
    void setAnswering(bool isAnswering) { m_isAnswering = isAnswering; }
    [[nodiscard]] bool isAnswering() const { return m_isAnswering; }
    /// Additional time until the store has done what a call asks for.
    void setDelay(Duration delay) { m_delay = delay; }
    [[nodiscard]] Duration delay() const { return m_delay; }
    /// Loses all calls of the host, and the answers to those in progress, until the given time.
    void cutHost(std::size_t host, Instant until) { m_hostCutUntil[host] = until; }
    [[nodiscard]] bool isHostCut(std::size_t host, Instant now) const;

private:
    struct Row {
        RowVersion version;
        std::size_t record { 0 };
        bool isDeleted { false };
    };

    static StoreRow encode(const TargetName&, const Row&);

    std::map<TargetName, Row> m_rows;
    /// All records ever listed; the value of a row is an index into them.
    std::vector<TargetRecord> m_records;
    std::uint64_t m_version { 1 };
    PromotionLeaseRow m_lease;
    bool m_isAnswering { true };
    Duration m_delay {};
    std::map<std::size_t, Instant> m_hostCutUntil;
};

} // namespace Auburnpost::Proxy
