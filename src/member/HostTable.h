#pragma once

#include "base/Time.h"
#include "member/HostRecord.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Member {

/// A digest has one value per bucket of hosts. Equal values mean equal records, config versions aside.
constexpr std::size_t digestBuckets = 64;
using TableDigest = std::array<std::uint32_t, digestBuckets>;

/// The records of the other hosts, with the rules for merging received records.
class HostTable {
public:
    struct Entry {
        HostRecord record;
        /// Dead hosts only: when this host learned of the death.
        Instant deadSince;
    };
    /// Result of a merge.
    struct Merge {
        /// The record before the merge; empty if the host was unknown.
        std::optional<HostRecord> before;
        /// Whether incarnation, health or leaving changed, which has to be gossiped.
        bool hasChanged { false };
    };

    /// Merges a received record. The higher incarnation wins; within one incarnation, health and leaving only rise.
    Merge merge(Instant now, const HostRecord&);
    /// Removes hosts that have been known as dead for longer than @p retention.
    void forgetDead(Instant now, Duration retention);

    /// @return the host's record; null if the host is unknown.
    [[nodiscard]] const HostRecord* find(const HostName&) const;
    [[nodiscard]] const std::map<HostName, Entry>& entries() const { return m_entries; }
    /// @return the names of the live hosts, sorted.
    [[nodiscard]] const std::vector<HostName>& liveNames() const { return m_live; }
    /// @return whether digest exchanges include this entry. Dead hosts are included only in the first half of their
    /// retention; otherwise two hosts could reintroduce a dead host to each other forever.
    [[nodiscard]] static bool isShared(const Entry&, Instant now, Duration retention);

    /// @param self this host's own record, which the digest includes.
    /// @param retention how long dead hosts are kept.
    /// @return the digest of the shared records.
    [[nodiscard]] TableDigest digest(const HostRecord& self, Instant now, Duration retention) const;
    /// @return the shared records of the buckets in which the two digests differ.
    [[nodiscard]] std::vector<HostRecord> differingRecords(const HostRecord& self, const TableDigest& own,
        const TableDigest& other, Instant now, Duration retention) const;

private:
    void updateLiveNames(const HostRecord&);

    std::map<HostName, Entry> m_entries;
    std::vector<HostName> m_live;
};

} // namespace Auburnpost::Member
