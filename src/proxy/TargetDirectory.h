#pragma once

#include "base/Time.h"
#include "proxy/TargetRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// The targets of all groups. A record that vanishes without an announced shutdown may have lapsed while the store was
/// away; its target stays in use until the time in which living targets register again has passed.
class TargetDirectory {
public:
    /// Living targets are registered again about two seconds after the store's return; below the time for which a gone
    /// target may still be sent work.
    static constexpr Duration missingLimit = std::chrono::milliseconds(2500);

    /// What changed by an update.
    struct Changes {
        std::vector<TargetRecord> listed;
        std::vector<TargetRecord> gone;

        [[nodiscard]] bool isEmpty() const { return listed.empty() && gone.empty(); }
    };

    /// Replaces the listed targets. Of several at one address the last start counts: a target that crashed starts again
    /// under a new name.
    Changes update(Instant now, const std::vector<TargetRecord>& rows);
    /// Forgets targets that have been missing for too long.
    Changes expire(Instant now);

    /// @return the targets of a group that are in use.
    [[nodiscard]] std::vector<TargetRecord> members(const GroupName&) const;
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }

private:
    struct Entry {
        TargetRecord record;
        std::optional<Instant> missingSince;
    };

    std::map<TargetName, Entry> m_targets;
};

} // namespace Auburnpost::Proxy
