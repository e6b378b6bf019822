#pragma once

#include "base/Time.h"
#include "member/HostRecord.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Member {

/// One digest for each group of hosts; equal digests mean equal records.
constexpr std::size_t digestBuckets = 64;
using TableDigest = std::array<std::uint32_t, digestBuckets>;

/// The records of the other hosts and the rule by which newer ones replace older ones.
class HostTable {
public:
    struct Entry {
        HostRecord record;
        /// Dead hosts: when this host learned it.
        Instant deadSince;
    };
    /// What a merge did.
    struct Merge {
        /// State before; empty when the host was unknown.
        std::optional<HostRecord> before;
        /// Whether incarnation, health or leaving changed.
        bool news { false };
    };

    /// Takes in a record. The higher incarnation wins; within one, health and leaving only rise.
    Merge merge(Instant now, const HostRecord&);
    /// Forgets dead hosts known as dead for longer than @p retention.
    void forgetDead(Instant now, Duration retention);

    [[nodiscard]] const HostRecord* find(const HostName&) const;
    [[nodiscard]] const std::map<HostName, Entry>& entries() const { return m_entries; }
    /// @return the live hosts in order of name.
    [[nodiscard]] const std::vector<HostName>& liveNames() const { return m_live; }
    /// @return whether an exchange tells others of this entry: dead hosts only in the first half of their
    /// retention, so that two hosts can't remind each other for ever.
    [[nodiscard]] static bool isShared(const Entry&, Instant now, Duration retention);

    /// @param self this host's own record, which takes part.
    [[nodiscard]] TableDigest digest(const HostRecord& self, Instant now, Duration retention) const;
    /// @return the shared records in buckets where the two digests differ.
    [[nodiscard]] std::vector<HostRecord> differing(const HostRecord& self, const TableDigest& own,
        const TableDigest& other, Instant now, Duration retention) const;

private:
    void noteLiveness(const HostRecord&);

    std::map<HostName, Entry> m_entries;
    std::vector<HostName> m_live;
};

} // namespace Auburnpost::Member
