#pragma once

#include "base/Time.h"
#include "proxy/TargetRecord.h"
#include "proxy/TimeBounds.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// The targets of all groups. A record that disappears without an announced shutdown may have expired while the store
/// was unavailable, so its target stays in use until running targets have had time to register again.
class TargetDirectory {
public:
    /// Bounds of the time after which a target without a record is removed. Running targets register again about two
    /// seconds after the store's recovery.
    static constexpr Duration minMissingTimeout = std::chrono::milliseconds(2200);
    static constexpr Duration maxMissingTimeout = std::chrono::milliseconds(2500);
    /// Maximum time from the removal of a target until no more statements arrive at it.
    static constexpr Duration removalDelay = std::chrono::milliseconds(100);

    explicit TargetDirectory(const TimeBounds& bounds = {}) { setBounds(bounds); }

    void setBounds(const TimeBounds&);
    /// @return the time after which a target without a record is removed.
    [[nodiscard]] Duration missingTimeout() const { return m_missingTimeout; }

    /// The changes made by an update.
    struct Changes {
        std::vector<TargetRecord> listed;
        std::vector<TargetRecord> removed;

        [[nodiscard]] bool isEmpty() const { return listed.empty() && removed.empty(); }
    };

    /// Replaces the listed targets.
    Changes update(Instant now, const std::vector<TargetRecord>& rows);
    /// Removes targets whose record has been missing for missingTimeout().
    Changes expire(Instant now);

    /// @return the targets of a group that are in use, those with a missing record included.
    [[nodiscard]] std::vector<TargetRecord> members(const GroupName&) const;
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }

private:
    struct Entry {
        TargetRecord record;
        std::optional<Instant> missingSince;
    };

    Duration m_missingTimeout {};
    std::map<TargetName, Entry> m_targets;
};

} // namespace Auburnpost::Proxy
