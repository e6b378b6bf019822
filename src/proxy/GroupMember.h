#pragma once

#include "proxy/TargetHealth.h"
#include "proxy/TargetLoad.h"
#include "proxy/TargetRecord.h"
#include "proxy/TargetStatus.h"

#include <map>
#include <optional>

namespace Auburnpost::Proxy {

/// What a host knows of one member of a database group.
struct GroupMember {
    TargetRecord record;
    std::optional<TargetStatus> status;
    /// When the query that returned the status was sent.
    Instant queriedAt {};
    TargetHealth health;
    TargetLoad load;
    /// End of the log that the member's reads see, as last reported.
    std::optional<LogPoint> applied;
    /// When `applied` was last reported, or when a read that needs a later log point was last sent to the member.
    Instant appliedCheckedAt {};
    /// Since when the member has made no progress although it lacks a commit that the primary had when the member
    /// was queried.
    std::optional<Instant> behindSince;
    /// Since when the member's record reports it as the primary.
    std::optional<Instant> reportsPrimarySince;
    /// When this host first listed the member in its incarnation.
    Instant listedSince {};
    /// When the member's record first announced its shutdown.
    std::optional<Instant> leavingSince;
    /// Since when the member's record has been missing; empty for a listed member.
    std::optional<Instant> unlistedSince;
    /// Since when the process of an unlisted member is taken to have ended: it refuses connections or is silent.
    std::optional<Instant> presumedEndedAt;
    /// Log end that other members must have before this one is released: the end of the primary's log after this
    /// member could last acknowledge a commit.
    std::optional<LogPoint> requiredEnd;
    /// Whether the member was listed when the group was first watched, and so may have a log before it answers.
    bool isInitial { false };

    [[nodiscard]] bool isListed() const { return !unlistedSince; }
    /// @return whether the member may hold commits. A record that never answered may be another writer's.
    [[nodiscard]] bool mayHaveLog() const { return isInitial || health.lastResponseAt(); }
};

using GroupMembers = std::map<TargetName, GroupMember>;

} // namespace Auburnpost::Proxy
