#include "proxy/PermitQueue.h"

#include <algorithm>

namespace Auburnpost::Proxy {

bool PermitQueue::add(
    Instant now, SessionId session, const OrganisationName& organisation, const Session::Statement& statement)
{
    const auto waiting = std::count_if(m_waiting.begin(), m_waiting.end(),
        [&organisation](const WaitingOperation& operation) { return operation.organisation == organisation; });
    if (static_cast<std::size_t>(waiting) >= perOrganisation)
        return false;
    m_waiting.push_back({ session, organisation, statement, now + maxWait });
    return true;
}

void PermitQueue::remove(SessionId session)
{
    m_waiting.remove_if([session](const WaitingOperation& operation) { return operation.session == session; });
}

std::vector<WaitingOperation> PermitQueue::takeDecided(Instant now, const TryAdmit& tryAdmit)
{
    std::vector<WaitingOperation> decided;
    for (auto next = m_waiting.begin(); next != m_waiting.end();) {
        next->isAdmitted = tryAdmit(next->organisation);
        if (!next->isAdmitted && now < next->refuseAt) {
            ++next;
            continue;
        }
        decided.push_back(std::move(*next));
        next = m_waiting.erase(next);
    }
    return decided;
}

} // namespace Auburnpost::Proxy
