#pragma once

#include "base/Time.h"
#include "proxy/TargetRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// The targets of all groups. A record that disappears without an announced shutdown may have expired while the store
/// was unavailable, so its target stays in use until running targets have had time to register again.
class TargetDirectory {
public:
    /// Time after which a target without a record is removed. Running targets register again about two seconds after
    /// the store's recovery; the value stays below the time for which a target that is gone may still be sent
    /// statements.
    static constexpr Duration missingTimeout = std::chrono::milliseconds(2500);

    /// The changes made by an update.
    struct Changes {
        std::vector<TargetRecord> listed;
        std::vector<TargetRecord> removed;

        [[nodiscard]] bool isEmpty() const { return listed.empty() && removed.empty(); }
    };

    /// Replaces the listed targets. Of several records with one address only that of the latest start counts, as a
    /// target that crashed restarts under a new name.
    Changes update(Instant now, const std::vector<TargetRecord>& rows);
    /// Removes targets whose record has been missing for missingTimeout.
    Changes expire(Instant now);

    /// @return the targets of a group that are in use, those with a missing record included.
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
