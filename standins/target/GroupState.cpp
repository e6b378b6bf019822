#include "target/GroupState.h"

namespace Auburnpost::Standin {

bool GroupState::fence(Term term, const std::string& attempt)
{
    if (term == fenced && attempt == candidate)
        return true;
    if (term <= fenced)
        return false;
    *this = { TargetRole::Fenced, term, attempt, {}, {} };
    return true;
}

bool GroupState::promote(Term term, const std::string& attempt)
{
    if (term != fenced || attempt != candidate || role == TargetRole::Replica)
        return false;
    role = TargetRole::Primary;
    leading = term;
    return true;
}

bool GroupState::follow(Term term, const TargetName& primary, const TargetName& self)
{
    if (term < fenced || primary == self || (role == TargetRole::Primary && leading == term))
        return false;
    if (term > fenced)
        candidate.clear();
    role = TargetRole::Replica;
    fenced = term;
    leading = {};
    following = primary;
    return true;
}

bool GroupState::acceptLeader(Term term)
{
    if (role != TargetRole::Replica || term < fenced)
        return false;
    if (term > fenced)
        candidate.clear();
    fenced = term;
    return true;
}

} // namespace Auburnpost::Standin
