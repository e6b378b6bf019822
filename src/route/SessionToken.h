#pragma once

#include "base/Ids.h"
#include "route/SessionEntry.h"

#include <map>

namespace Auburnpost::Route {

/// The state of a session. The caller keeps it, so that any host can continue the session.
class SessionToken {
public:
    using Entries = std::map<DatabaseName, SessionEntry>;

    /// Maximum number of unresolved writes in a token for each database; the oldest are dropped first.
    static constexpr std::size_t maxUnresolved = 8;

    SessionToken() = default;
    explicit SessionToken(Entries entries)
        : m_entries(std::move(entries))
    {
    }

    [[nodiscard]] const Entries& entries() const { return m_entries; }
    /// @return the entry of the database; an empty one when the session has not used it.
    [[nodiscard]] SessionEntry entry(const DatabaseName&) const;

    /// Raises the point that the session has seen; a lower point is ignored.
    void advance(const DatabaseName&, const LogPoint&);
    /// Adds a write whose outcome is not known.
    void addUnresolved(const DatabaseName&, const OutcomeKey&);
    /// Removes a write whose outcome has become known.
    void resolve(const DatabaseName&, const OutcomeKey&);

    bool operator==(const SessionToken&) const = default;

private:
    Entries m_entries;
};

} // namespace Auburnpost::Route
