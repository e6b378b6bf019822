#include "limit/AdmissionQueue.h"

#include "base/Invariant.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Limit {

namespace {

    constexpr auto urgent = static_cast<std::size_t>(Priority::Urgent);
    constexpr auto browsing = static_cast<std::size_t>(Priority::Browsing);
    /// Reciprocal of the weight of the newest wait in the smoothed wait.
    constexpr int smoothingDivisor = 8;
    /// Number of known organisations above which idle ones are removed with their pass.
    constexpr std::size_t idleOrganisationLimit = 4096;

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueSettings settings)
    : m_settings(settings)
{
}

std::vector<AdmissionRefusal> AdmissionQueue::enqueue(Instant now, const Ticket& ticket)
{
    std::vector<AdmissionRefusal> refusals;
    if (now + ticket.cost > ticket.deadline) {
        refusals.push_back(refuse(ticket.id, RefusalReason::DeadlineUnreachable));
        return refusals;
    }
    if (m_size >= m_settings.capacity) {
        refusals.push_back(makeRoom(ticket));
        if (refusals.back().id == ticket.id)
            return refusals;
    }
    auto& organisation = m_organisations[ticket.organisation];
    if (!organisation.size()) {
        organisation.pass = std::max(organisation.pass, m_virtualTime);
        organisation.busySince = now;
    }
    organisation.queues[static_cast<std::size_t>(ticket.priority)].push_back({ ticket, now });
    ++m_size;
    removeIdle();
    return refusals;
}

AdmissionRefusal AdmissionQueue::makeRoom(const Ticket& ticket)
{
    const auto longest = std::max_element(m_organisations.begin(), m_organisations.end(),
        [](const auto& left, const auto& right) { return left.second.size() < right.second.size(); });
    const bool isOverShare = longest->second.size() > size(ticket.organisation) + 1;
    const bool isOwnBrowsing = longest->first == ticket.organisation && ticket.priority == Priority::Urgent
        && !longest->second.queues[browsing].empty();
    if (!isOverShare && !isOwnBrowsing)
        return refuse(ticket.id, RefusalReason::QueueFull);
    auto& queues = longest->second.queues;
    auto& victims = queues[browsing].empty() ? queues[urgent] : queues[browsing];
    const auto victim = victims.back().ticket.id;
    victims.pop_back();
    --m_size;
    return refuse(victim, RefusalReason::QueueFull);
}

std::optional<Ticket> AdmissionQueue::next(Instant now)
{
    while (m_size) {
        const auto chosen = chooseOrganisation();
        auto& organisation = chosen->second;
        auto& queue = organisation.queues[nextQueue(organisation)];
        if (refusalReason(organisation, queue.front(), now)) {
            // Only removeExpired() reports refusals of waiting requests, so that each request gets exactly one.
            m_refused.push_back(refuse(queue.front().ticket.id, *refusalReason(organisation, queue.front(), now)));
            queue.pop_front();
            --m_size;
            continue;
        }
        return dequeue(chosen, now);
    }
    return std::nullopt;
}

AdmissionQueue::Organisations::iterator AdmissionQueue::chooseOrganisation()
{
    auto lowest = m_organisations.end();
    auto lowestUrgent = m_organisations.end();
    for (auto position = m_organisations.begin(); position != m_organisations.end(); ++position) {
        const auto& organisation = position->second;
        if (!organisation.size())
            continue;
        if (lowest == m_organisations.end() || organisation.pass < lowest->second.pass)
            lowest = position;
        const bool isUrgent = !organisation.queues[urgent].empty();
        if (isUrgent && (lowestUrgent == m_organisations.end() || organisation.pass < lowestUrgent->second.pass))
            lowestUrgent = position;
    }
    const bool mayGoFirst = lowestUrgent != m_organisations.end()
        && lowestUrgent->second.pass - lowest->second.pass <= m_settings.maxUrgentLead;
    return mayGoFirst ? lowestUrgent : lowest;
}

std::size_t AdmissionQueue::nextQueue(const Organisation& organisation) const
{
    if (organisation.queues[urgent].empty())
        return browsing;
    const bool isBrowsingDue = organisation.startedUrgent + 1 >= m_settings.browsingEvery;
    return isBrowsingDue && !organisation.queues[browsing].empty() ? browsing : urgent;
}

Ticket AdmissionQueue::dequeue(Organisations::iterator chosen, Instant now)
{
    auto& organisation = chosen->second;
    const auto index = nextQueue(organisation);
    organisation.startedUrgent = index == urgent ? organisation.startedUrgent + 1 : 0;
    auto& queue = organisation.queues[index];
    const auto waiting = queue.front();
    queue.pop_front();
    --m_size;
    m_virtualTime = std::max(m_virtualTime, organisation.pass);
    organisation.pass += waiting.ticket.cost;
    m_smoothedWait += (now - waiting.since - m_smoothedWait) / smoothingDivisor;
    AUBURNPOST_INVARIANT(now + waiting.ticket.cost <= waiting.ticket.deadline,
        "started a request that can't be answered before its deadline");
    return waiting.ticket;
}

std::optional<RefusalReason> AdmissionQueue::refusalReason(
    const Organisation& organisation, const Waiting& waiting, Instant now) const
{
    if (now + waiting.ticket.cost > waiting.ticket.deadline)
        return RefusalReason::DeadlineUnreachable;
    if (now - waiting.since > maxWait(organisation, waiting, now))
        return RefusalReason::WaitedTooLong;
    return std::nullopt;
}

Duration AdmissionQueue::maxWait(const Organisation& organisation, const Waiting& waiting, Instant now) const
{
    if (now - organisation.busySince <= m_settings.overloadAfter)
        return m_settings.normalMaxWait;
    // The other half is reserved for an execution that takes longer than estimated.
    const auto half = (waiting.ticket.deadline - waiting.since) / 2;
    const bool isBrowsing = waiting.ticket.priority == Priority::Browsing;
    return std::min(half, isBrowsing ? m_settings.overloadMaxWait : m_settings.normalMaxWait);
}

std::vector<AdmissionRefusal> AdmissionQueue::removeExpired(Instant now)
{
    auto refusals = std::exchange(m_refused, {});
    for (auto& item : m_organisations) {
        auto& organisation = item.second;
        for (auto& queue : organisation.queues) {
            std::erase_if(queue, [&](const Waiting& waiting) {
                const auto reason = refusalReason(organisation, waiting, now);
                if (reason)
                    refusals.push_back(refuse(waiting.ticket.id, *reason));
                return reason.has_value();
            });
        }
    }
    m_size = 0;
    for (const auto& item : m_organisations)
        m_size += item.second.size();
    return refusals;
}

bool AdmissionQueue::cancel(const OrganisationName& name, RequestId id)
{
    const auto found = m_organisations.find(name);
    if (found == m_organisations.end())
        return false;
    std::size_t removed = 0;
    for (auto& queue : found->second.queues)
        removed += std::erase_if(queue, [&](const Waiting& waiting) { return waiting.ticket.id == id; });
    m_size -= removed;
    return removed > 0;
}

std::size_t AdmissionQueue::size(const OrganisationName& name) const
{
    const auto found = m_organisations.find(name);
    return found == m_organisations.end() ? 0 : found->second.size();
}

AdmissionRefusal AdmissionQueue::refuse(RequestId id, RefusalReason reason) const
{
    return { id, reason, std::clamp(2 * m_smoothedWait, m_settings.retryAfterMinimum, m_settings.retryAfterMaximum) };
}

void AdmissionQueue::removeIdle()
{
    if (m_organisations.size() <= idleOrganisationLimit)
        return;
    std::erase_if(
        m_organisations, [this](const auto& item) { return !item.second.size() && item.second.pass <= m_virtualTime; });
}

} // namespace Auburnpost::Limit
