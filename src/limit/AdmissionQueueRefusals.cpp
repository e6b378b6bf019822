#include "limit/AdmissionQueue.h"

#include "limit/TicketTimes.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Limit {

namespace {

    /// Maximum number of requests that one call refuses because of the ones ahead; bounds the time of the call.
    constexpr std::size_t maxUnreachableRefusals = 64;

} // namespace

void AdmissionQueue::refuseWaitedTooLong(Instant now)
{
    for (const auto& [name, organisation] : m_organisations) {
        while (organisation->size) {
            const bool isOverloaded = now - organisation->busySince > m_settings.overloadAfter;
            const auto& limits = isOverloaded ? organisation->overloadLimits : organisation->normalLimits;
            if (limits.begin()->at >= now)
                break;
            refuseEntry(m_entries.find(limits.begin()->id), RefusalReason::WaitedTooLong);
        }
    }
}

void AdmissionQueue::refuseUnreachable(Instant now)
{
    std::size_t refused = 0;
    for (Lane number = 0; number < laneCount; ++number) {
        if (!m_drainRates[number].perSecond(now))
            continue;
        std::vector<Organisation*> organisations;
        for (const auto& key : m_indexes[number][Rank::OnTime])
            organisations.push_back(key.organisation);
        for (const auto* const organisation : organisations) {
            std::size_t higherAhead = 0;
            for (const auto& [priority, level] : organisation->lanes[number].levels) {
                while (!level.waiting.empty() && refused < maxUnreachableRefusals) {
                    const auto position = m_entries.find(level.waiting.rbegin()->id);
                    const auto& ticket = position->second.ticket;
                    const auto wait = expectedWait(now, ticket, level.waiting.size() - 1, higherAhead);
                    if (!wait || now + *wait <= targetStart(ticket))
                        break;
                    refuseEntry(position, RefusalReason::DeadlineUnreachable);
                    ++refused;
                }
                higherAhead += level.waiting.size();
            }
        }
    }
}

std::vector<AdmissionRefusal> AdmissionQueue::removeExpired(Instant now)
{
    update(now);
    if (m_settings.refusesByExpectedWait)
        refuseUnreachable(now);
    return std::exchange(m_refused, {});
}

bool AdmissionQueue::cancel(RequestId id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    remove(found);
    return true;
}

std::size_t AdmissionQueue::countAhead(const OrganisationName& name, Lane number, std::size_t ownAhead) const
{
    std::size_t ahead = ownAhead;
    for (const auto& key : m_indexes[number][Rank::OnTime]) {
        if (key.organisation->name != name)
            ahead += std::min(key.organisation->lanes[number].onTime, ownAhead + 1);
    }
    return ahead;
}

std::optional<Duration> AdmissionQueue::expectedWait(Instant now, const Ticket& ticket) const
{
    std::size_t ownAhead = 0;
    std::size_t higherAhead = 0;
    if (const auto found = m_organisations.find(ticket.organisation); found != m_organisations.end()) {
        for (const auto& [priority, level] : found->second->lanes[ticket.lane].levels) {
            if (priority < ticket.priority)
                higherAhead += level.waiting.size();
            else if (priority == ticket.priority)
                ownAhead = level.waiting.order_of_key({ targetStart(ticket), ticket.id });
        }
    }
    return expectedWait(now, ticket, ownAhead, higherAhead);
}

std::optional<Duration> AdmissionQueue::expectedWait(
    Instant now, const Ticket& ticket, std::size_t ownAhead, std::size_t higherAhead) const
{
    const auto rate = m_drainRates[ticket.lane].perSecond(now);
    if (!rate)
        return {};
    if (const auto found = m_organisations.find(ticket.organisation); found != m_organisations.end()) {
        const auto& levels = found->second->lanes[ticket.lane].levels;
        const auto level = levels.find(ticket.priority);
        // The rate of the level accounts for requests of others that will arrive meanwhile and go first.
        if (level != levels.end()) {
            if (const auto own = level->second.drainRate.perSecond(now))
                return waitOf(ownAhead, *own);
        }
    }
    return waitOf(countAhead(ticket.organisation, ticket.lane, ownAhead + higherAhead), *rate);
}

std::optional<Duration> AdmissionQueue::expectedGap(Instant now, Lane lane) const
{
    const auto rate = m_drainRates[lane].perSecond(now);
    return rate ? std::optional(waitOf(1, *rate)) : std::nullopt;
}

void AdmissionQueue::refuseEntry(Entries::iterator position, RefusalReason reason)
{
    // Only removeExpired() reports refusals of waiting requests, so that each request gets exactly one.
    m_refused.push_back(refuse(position->second.ticket.id, reason));
    remove(position);
}

AdmissionRefusal AdmissionQueue::refuse(RequestId id, RefusalReason reason) const
{
    return { id, reason, std::clamp(2 * m_smoothedWait, m_settings.retryAfterMinimum, m_settings.retryAfterMaximum) };
}

} // namespace Auburnpost::Limit
