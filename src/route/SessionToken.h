#pragma once

#include "base/Ids.h"
#include "route/SessionEntry.h"

#include <map>

namespace Auburnpost::Route {

/// The state of a session. The caller carries it, so any host can go on with the session.
class SessionToken {
public:
    using Entries = std::map<DatabaseName, SessionEntry>;

    /// A token names at most this many unsettled writes for each database; the oldest give way.
    static constexpr std::size_t maxUnsettled = 8;

    SessionToken() = default;
    explicit SessionToken(Entries entries)
        : m_entries(std::move(entries))
    {
    }

    [[nodiscard]] const Entries& entries() const { return m_entries; }
    /// @return the entry of the database; an empty one when the session has not used it.
    [[nodiscard]] SessionEntry entry(const DatabaseName&) const;

    /// Raises the point that the session has seen; a lower point changes nothing.
    void advance(const DatabaseName&, const LogPoint&);
    /// Notes a write whose outcome is not known.
    void addUnsettled(const DatabaseName&, const OutcomeKey&);
    /// Forgets a write whose outcome has become known.
    void settle(const DatabaseName&, const OutcomeKey&);

    bool operator==(const SessionToken&) const = default;

private:
    Entries m_entries;
};

} // namespace Auburnpost::Route
