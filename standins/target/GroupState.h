#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "message/TargetRole.h"

#include <string>

namespace Auburnpost::Standin {

/// A target's role in its group and the term that binds it.
struct GroupState {
    TargetRole role { TargetRole::Fenced };
    Term fenced;
    /// The attempt for which it was last fenced.
    std::string candidate;
    /// The term in which it is primary.
    Term leading;
    /// The primary it replicates from.
    TargetName following;

    bool operator==(const GroupState&) const = default;

    /// Binds the target to @p term unless another attempt has it.
    /// @return whether it is bound to this term by this candidate.
    bool fence(Term, const std::string& candidate);
    /// Makes the target primary of the term to which this candidate fenced it.
    /// @return whether it is primary of that term.
    bool promote(Term, const std::string& candidate);
    /// Makes the target a replica.
    /// @param self its own name, which it can't follow.
    /// @return whether it follows @p primary.
    bool follow(Term, const TargetName& primary, const TargetName& self);
    /// Notes that the primary it follows leads in @p term.
    /// @return whether entries of that primary may be taken.
    bool acceptLeader(Term);
};

} // namespace Auburnpost::Standin
