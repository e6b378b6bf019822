#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/LogPoint.h"
#include "base/Time.h"
#include "message/Statement.h"
#include "message/TargetRole.h"

#include <string>

namespace Auburnpost {

/// The operations of a database group, as specified in docs/TARGETS.md.
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
    /// Fence, Promote: identifies one attempt to change the primary; unique for each attempt.
    std::string candidate;
    /// Follow: the primary to replicate from.
    TargetName primary;
    /// Wait: the point that the target's log has to cover.
    LogPoint point;
    /// Wait: maximum time for which the target may delay its answer.
    Duration timeout {};

    /// @return the SQL statement that performs this operation.
    [[nodiscard]] Statement toStatement() const;
};

/// A target's answer to a group operation.
struct GroupStatus {
    /// Whether the operation was accepted; for Wait, whether the log covers the point.
    bool accepted { false };
    TargetRole role { TargetRole::Replica };
    /// Highest term to which the target has been fenced.
    Term fencedTerm;
    /// Point of the last entry in the target's log.
    LogPoint end;
    /// The primary that the target replicates from; empty when it replicates from none.
    TargetName following;
    /// Candidate of the attempt that last fenced the target.
    std::string candidate;

    /// Parses the single row of the answer.
    /// @return the status, or ErrorCode::BadMessage if the row does not have the expected form.
    static Expected<GroupStatus> parse(const ResultSet&);
};

} // namespace Auburnpost
