#include "group/FailureDetector.h"

#include <algorithm>

namespace Auburnpost::Group {

std::string_view toString(Suspicion suspicion)
{
    switch (suspicion) {
    case Suspicion::None:
        return "none";
    case Suspicion::NoPrimary:
        return "no_primary";
    case Suspicion::Unresponsive:
        return "silent";
    case Suspicion::Refused:
        return "refused";
    case Suspicion::Demoted:
        return "demoted";
    case Suspicion::Blocked:
        return "blocked";
    }
    return "none";
}

FailureDetector::FailureDetector(Instant now, const GroupSettings& settings)
    : m_settings(&settings)
    , m_lastRun(now)
    , m_countedFrom(now)
{
}

void FailureDetector::recordRun(Instant now)
{
    if (now - m_lastRun > m_settings->pauseLimit)
        m_countedFrom = now;
    m_lastRun = now;
}

void FailureDetector::restartCount(Instant now)
{
    m_countedFrom = now;
}

Suspicion FailureDetector::suspicion(Instant now, const MemberTable& members) const
{
    // An input can arrive after a pause but before the tick that detects the pause.
    if (now - m_lastRun > m_settings->pauseLimit)
        return Suspicion::None;
    const auto& primary = members.primary();
    const auto unansweredFor = [&](Instant since) { return now - std::max(since, m_countedFrom); };
    if (!primary)
        return unansweredFor(m_countedFrom) > m_settings->responseTimeout ? Suspicion::NoPrimary : Suspicion::None;
    const auto* const member = members.find(primary->target);
    if (!member)
        return Suspicion::Demoted;
    if (member->refusalsInRow >= m_settings->refusalLimit)
        return Suspicion::Refused;
    if (unansweredFor(member->lastResponseAt.value_or(m_countedFrom)) > m_settings->responseTimeout)
        return Suspicion::Unresponsive;
    if (member->lastStatus
        && (member->lastStatus->role != TargetRole::Primary || member->lastStatus->fencedTerm > primary->term))
        return Suspicion::Demoted;
    if (members.fencedAbove(primary->term) > members.members().size() - members.majority())
        return Suspicion::Blocked;
    return Suspicion::None;
}

} // namespace Auburnpost::Group
