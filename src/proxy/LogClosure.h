#pragma once

#include "proxy/TargetStatus.h"

#include <optional>

namespace Auburnpost::Proxy {

/// Whether the log of the highest term that this host has seen is known to have ended: its primary reports that it is
/// none, and no target has reported a later term. Nothing can be acknowledged in that term any more, so the log of each
/// member that is queried afterwards is final, unless a primary of a later term leads that this host does not know.
class LogClosure {
public:
    /// Records a member's status.
    void record(Instant now, const TargetName&, const TargetStatus&);
    void clear() { *this = {}; }

    /// @return the term whose log is closed; empty if none is known to be.
    [[nodiscard]] std::optional<Term> term() const { return m_closedAt ? std::optional(m_term) : std::nullopt; }
    /// @param queriedAt when the query that returned the member's status was sent.
    /// @return whether the member's status shows all that it can have received in the closed term.
    [[nodiscard]] bool isFinal(const TargetName&, Instant queriedAt) const;

private:
    /// The last primary of the highest term; empty if it is not known.
    std::optional<TargetName> m_leader;
    Term m_term;
    /// When the leader's report that it is no primary arrived.
    std::optional<Instant> m_closedAt;
};

} // namespace Auburnpost::Proxy
