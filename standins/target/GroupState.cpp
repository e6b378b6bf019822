#include "target/GroupState.h"

namespace Auburnpost::Standin {

bool GroupState::fence(Term term, const std::string& attempt)
{
    if (term == fencedTerm && attempt == candidate)
        return true;
    if (term <= fencedTerm)
        return false;
    *this = { TargetRole::Fenced, term, attempt, {}, {} };
    return true;
}

bool GroupState::promote(Term term, const std::string& attempt)
{
    if (term != fencedTerm || attempt != candidate || role == TargetRole::Replica)
        return false;
    role = TargetRole::Primary;
    leadingTerm = term;
    return true;
}

bool GroupState::follow(Term term, const TargetName& primary, const TargetName& self)
{
    if (term < fencedTerm || primary == self || (role == TargetRole::Primary && leadingTerm == term))
        return false;
    if (term > fencedTerm)
        candidate.clear();
    role = TargetRole::Replica;
    fencedTerm = term;
    leadingTerm = {};
    following = primary;
    return true;
}

bool GroupState::acceptLeader(Term term)
{
    if (role != TargetRole::Replica || term < fencedTerm)
        return false;
    if (term > fencedTerm)
        candidate.clear();
    fencedTerm = term;
    return true;
}

} // namespace Auburnpost::Standin
