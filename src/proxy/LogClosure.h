#pragma once

#include "proxy/TargetStatus.h"

#include <optional>

namespace Auburnpost::Proxy {

/// Whether the log of the highest term that this host has seen is known to have ended: its primary reports that it is
/// none, and no target has reported a later term. A target commits in a term as its primary only, so that every commit
/// that was acknowledged lies within the log that the primary then reports, unless a primary of a later term has led
/// that this host does not know (Promotion::isClosureProven).
class LogClosure {
public:
    /// Records a member's status.
    void record(Instant now, const TargetName&, const TargetStatus&);
    void clear() { *this = {}; }

    /// @return the term whose log is closed; empty if none is known to be.
    [[nodiscard]] std::optional<Term> term() const { return m_end ? std::optional(m_term) : std::nullopt; }
    /// @return the end of the closed log; empty if none is known to be closed.
    [[nodiscard]] const std::optional<LogPoint>& end() const { return m_end; }
    /// @param queriedAt when the query that returned the member's status was sent.
    /// @return whether the status shows all that the member has of the closed log.
    [[nodiscard]] bool isFinal(const TargetName&, Instant queriedAt) const;

private:
    /// The last primary of the highest term; empty if it is not known.
    std::optional<TargetName> m_leader;
    Term m_term;
    std::optional<LogPoint> m_end;
    /// When the leader's report that it is no primary arrived.
    Instant m_closedAt {};
};

} // namespace Auburnpost::Proxy
