#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/LogPoint.h"
#include "base/Time.h"
#include "message/Statement.h"
#include "message/TargetRole.h"

#include <string>

namespace Auburnpost {

/// The operations of a database group, as docs/TARGETS.md states them.
enum class GroupOperation : std::uint8_t {
    Status,
    Fence,
    Promote,
    Follow,
    Wait,
};

/// One operation on one target of a group.
struct GroupCommand {
    GroupOperation operation { GroupOperation::Status };
    /// Fence, Promote, Follow.
    Term term;
    /// Fence, Promote: names one attempt to change the primary; never used for two.
    std::string candidate;
    /// Follow: the primary to replicate from.
    TargetName primary;
    /// Wait: the point that the log has to cover.
    LogPoint point;
    /// Wait: how long the target may hold the answer back.
    Duration timeout {};

    /// @return the SQL call that carries this operation.
    [[nodiscard]] Statement toStatement() const;
};

/// What a target answers to each operation.
struct GroupStatus {
    /// Whether the operation was accepted; for Wait, whether the log covers the point.
    bool accepted { false };
    TargetRole role { TargetRole::Replica };
    /// Highest term fenced to.
    Term fencedTerm;
    /// Last entry of the log.
    LogPoint end;
    /// The primary it replicates from; empty when it follows none.
    TargetName following;
    /// The attempt for which it was last fenced.
    std::string candidate;

    /// Reads the one row of the answer.
    /// @return the status, or ErrorCode::BadMessage for a row of another shape.
    static Expected<GroupStatus> parse(const ResultSet&);
};

} // namespace Auburnpost
