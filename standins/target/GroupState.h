#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "message/TargetRole.h"

#include <string>

namespace Auburnpost::Standin {

/// The role of a target in its group and its fenced term.
struct GroupState {
    TargetRole role { TargetRole::Fenced };
    /// Highest term that the target accepted, from a fence or from the primary it follows. It rejects lower terms.
    Term fencedTerm;
    /// The promotion attempt for which the target was last fenced.
    std::string candidate;
    /// The term in which the target is primary.
    Term leadingTerm;
    /// The primary from which the target replicates.
    TargetName following;

    bool operator==(const GroupState&) const = default;

    /// Fences the target to @p term, unless it is fenced to a later term or to this term by another attempt.
    /// @return whether the target is fenced to this term for this candidate.
    bool fence(Term, const std::string& candidate);
    /// Makes the target primary in the term to which this candidate fenced it.
    /// @return whether the target is primary in that term.
    bool promote(Term, const std::string& candidate);
    /// Makes the target a replica.
    /// @param self name of the target, which can't follow itself.
    /// @return whether the target follows @p primary.
    bool follow(Term, const TargetName& primary, const TargetName& self);
    /// Records that the followed primary leads in @p term.
    /// @return whether entries of that primary may be appended.
    bool acceptLeader(Term);
};

} // namespace Auburnpost::Standin
