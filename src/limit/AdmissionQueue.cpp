#include "limit/AdmissionQueue.h"

#include "base/Invariant.h"
#include "limit/TicketTimes.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Limit {

namespace {

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
    if (now > latestStart(ticket)) {
        refusals.push_back(refuse(ticket.id, RefusalReason::DeadlineUnreachable));
        return refusals;
    }
    if (m_settings.refusesByExpectedWait && !ticket.isRepeated) {
        const auto wait = expectedWait(now, ticket);
        // The rest is reserved for an error of the estimate. A request that waits in vain costs its caller more than
        // one that is refused at once, and one that becomes late is started only when no other request waits.
        constexpr double usableShare = 0.75;
        if (wait && *wait > std::chrono::duration_cast<Duration>(usableShare * (targetStart(ticket) - now))) {
            refusals.push_back(refuse(ticket.id, RefusalReason::DeadlineUnreachable));
            return refusals;
        }
    }
    if (m_entries.size() >= m_settings.capacity && !ticket.isRepeated) {
        refusals.push_back(makeRoom(ticket));
        if (refusals.back().id == ticket.id)
            return refusals;
    }
    auto& organisation = organisationOf(ticket.organisation);
    if (!organisation.size) {
        setPass(organisation, std::max(organisation.pass, m_virtualTime));
        organisation.busySince = now;
    }
    const auto [position, isNew] = m_entries.try_emplace(ticket.id);
    AUBURNPOST_INVARIANT(isNew, "a waiting request was queued again");
    auto& entry = position->second;
    entry.ticket = ticket;
    entry.since = now;
    entry.organisation = &organisation;
    ++organisation.size;
    m_latestStarts.insert({ latestStart(ticket), ticket.id });
    if (m_settings.limitsWaits) {
        // The other half is reserved for an execution that takes longer than estimated.
        const auto half = (ticket.deadline - now) / 2;
        const bool isUrgent = ticket.priority == Priority::Urgent;
        const auto limit = std::min(half, isUrgent ? m_settings.normalMaxWait : m_settings.overloadMaxWait);
        organisation.normalLimits.insert({ now + m_settings.normalMaxWait, ticket.id });
        organisation.overloadLimits.insert({ now + limit, ticket.id });
    }
    insertOrdered(now, entry);
    if (m_laneSizes[ticket.lane]++ == 0)
        m_drainRates[ticket.lane].recordBacklog(now);
    removeIdle();
    return refusals;
}

AdmissionQueue::Organisation& AdmissionQueue::organisationOf(const OrganisationName& name)
{
    auto& organisation = m_organisations[name];
    if (!organisation) {
        organisation = std::make_unique<Organisation>();
        organisation->name = name;
        organisation->number = ++m_lastOrganisation;
    }
    return *organisation;
}

void AdmissionQueue::insertOrdered(Instant now, Entry& entry)
{
    const auto& ticket = entry.ticket;
    auto& lane = entry.organisation->lanes[ticket.lane];
    const bool isLate = hasTarget(ticket) && now > targetStart(ticket);
    entry.place = isLate ? Place::Late : Place::OnTime;
    if (isLate) {
        lane.late.insert({ ticket.priority, { latestStart(ticket), ticket.id } });
    } else {
        auto& level = lane.levels[ticket.priority];
        if (level.waiting.empty())
            level.drainRate.recordBacklog(now);
        level.waiting.insert({ targetStart(ticket), ticket.id });
        ++lane.onTime;
        if (hasTarget(ticket))
            m_targetStarts.insert({ targetStart(ticket), ticket.id });
    }
    refreshIndex(*entry.organisation, ticket.lane);
}

void AdmissionQueue::eraseOrdered(const Entry& entry)
{
    const auto& ticket = entry.ticket;
    auto& lane = entry.organisation->lanes[ticket.lane];
    if (entry.place == Place::Late) {
        lane.late.erase({ ticket.priority, { latestStart(ticket), ticket.id } });
    } else {
        auto& level = lane.levels[ticket.priority];
        level.waiting.erase({ targetStart(ticket), ticket.id });
        if (level.waiting.empty())
            level.drainRate.recordEmpty();
        --lane.onTime;
        m_targetStarts.erase({ targetStart(ticket), ticket.id });
    }
    refreshIndex(*entry.organisation, ticket.lane);
}

void AdmissionQueue::takeAside(Entry& entry, Place place, Instant until)
{
    if (entry.place != Place::OnTime && entry.place != Place::Late)
        return;
    eraseOrdered(entry);
    entry.place = place;
    entry.until = until;
    const Key key { until, entry.ticket.id };
    if (place == Place::Held) {
        m_held.push_back(entry.ticket.id);
        return;
    }
    (place == Place::Parked ? m_parked : m_awaiting).insert(key);
    if (--m_laneSizes[entry.ticket.lane] == 0)
        m_drainRates[entry.ticket.lane].recordEmpty();
}

void AdmissionQueue::putBack(Instant now, Entry& entry)
{
    const Key key { entry.until, entry.ticket.id };
    const bool wasHeld = entry.place == Place::Held;
    if (entry.place == Place::Parked)
        m_parked.erase(key);
    else if (entry.place == Place::Awaiting)
        m_awaiting.erase(key);
    insertOrdered(now, entry);
    if (!wasHeld && m_laneSizes[entry.ticket.lane]++ == 0)
        m_drainRates[entry.ticket.lane].recordBacklog(now);
}

void AdmissionQueue::remove(Entries::iterator position)
{
    auto& entry = position->second;
    auto& organisation = *entry.organisation;
    const auto id = entry.ticket.id;
    const auto lane = entry.ticket.lane;
    if (entry.place == Place::OnTime || entry.place == Place::Late)
        eraseOrdered(entry);
    m_parked.erase({ entry.until, id });
    m_awaiting.erase({ entry.until, id });
    m_latestStarts.erase({ latestStart(entry.ticket), id });
    if (m_settings.limitsWaits) {
        const auto half = (entry.ticket.deadline - entry.since) / 2;
        const bool isUrgent = entry.ticket.priority == Priority::Urgent;
        const auto limit = std::min(half, isUrgent ? m_settings.normalMaxWait : m_settings.overloadMaxWait);
        organisation.normalLimits.erase({ entry.since + m_settings.normalMaxWait, id });
        organisation.overloadLimits.erase({ entry.since + limit, id });
    }
    const bool isCounted = entry.place != Place::Parked && entry.place != Place::Awaiting;
    if (isCounted && --m_laneSizes[lane] == 0)
        m_drainRates[lane].recordEmpty();
    --organisation.size;
    m_entries.erase(position);
}

void AdmissionQueue::refreshIndex(Organisation& organisation, Lane number)
{
    auto& lane = organisation.lanes[number];
    const auto urgent = lane.levels.find(Priority::Urgent);
    const std::array<bool, 3> belongs { !lane.isHeld && urgent != lane.levels.end() && !urgent->second.waiting.empty(),
        !lane.isHeld && lane.onTime > 0, !lane.isHeld && !lane.late.empty() };
    const OrganisationKey key { organisation.pass, organisation.number, &organisation };
    for (std::size_t rank = 0; rank < belongs.size(); ++rank) {
        if (belongs[rank] == lane.isIndexed[rank])
            continue;
        if (belongs[rank])
            m_indexes[number][rank].insert(key);
        else
            m_indexes[number][rank].erase(key);
        lane.isIndexed[rank] = belongs[rank];
    }
}

void AdmissionQueue::setPass(Organisation& organisation, Duration pass)
{
    for (Lane number = 0; number < laneCount; ++number) {
        const auto& lane = organisation.lanes[number];
        for (std::size_t rank = 0; rank < lane.isIndexed.size(); ++rank) {
            if (!lane.isIndexed[rank])
                continue;
            m_indexes[number][rank].erase({ organisation.pass, organisation.number, &organisation });
            m_indexes[number][rank].insert({ pass, organisation.number, &organisation });
        }
    }
    organisation.pass = pass;
}

std::optional<RequestId> AdmissionQueue::findVictim(const Organisation& organisation) const
{
    std::optional<LateKey> last;
    for (const auto& lane : organisation.lanes) {
        if (!lane.late.empty() && (!last || *last < *lane.late.rbegin()))
            last = *lane.late.rbegin();
    }
    if (last)
        return last->key.id;
    for (const auto& lane : organisation.lanes) {
        for (const auto& [priority, level] : lane.levels) {
            if (level.waiting.empty())
                continue;
            const LateKey candidate { priority, *level.waiting.rbegin() };
            if (!last || *last < candidate)
                last = candidate;
        }
    }
    return last ? std::optional(last->key.id) : std::nullopt;
}

AdmissionRefusal AdmissionQueue::makeRoom(const Ticket& ticket)
{
    const auto longest = std::max_element(m_organisations.begin(), m_organisations.end(),
        [](const auto& left, const auto& right) { return left.second->size < right.second->size; });
    const bool isOverShare = longest->second->size > size(ticket.organisation) + 1;
    const auto victim = findVictim(*longest->second);
    if (!victim)
        return refuse(ticket.id, RefusalReason::QueueFull);
    const auto position = m_entries.find(*victim);
    const bool isLessUrgent = longest->first == ticket.organisation
        && (position->second.place == Place::Late || position->second.ticket.priority > ticket.priority);
    if (!isOverShare && !isLessUrgent)
        return refuse(ticket.id, RefusalReason::QueueFull);
    remove(position);
    return refuse(*victim, RefusalReason::QueueFull);
}

std::optional<Ticket> AdmissionQueue::next(Instant now)
{
    const auto ticket = peek(now, {});
    if (ticket)
        start(now, ticket->id);
    return ticket;
}

std::optional<Ticket> AdmissionQueue::peek(Instant now, LaneSet blocked)
{
    update(now);
    const auto* const organisation = chooseOrganisation(blocked);
    if (!organisation)
        return {};
    return m_entries.at(firstOf(*organisation, blocked)).ticket;
}

const AdmissionQueue::OrganisationKey* AdmissionQueue::lowest(LaneSet blocked, Rank rank) const
{
    const OrganisationKey* found = nullptr;
    for (Lane number = 0; number < laneCount; ++number) {
        const auto& index = m_indexes[number][rank];
        if (!blocked.test(number) && !index.empty() && (!found || *index.begin() < *found))
            found = &*index.begin();
    }
    return found;
}

AdmissionQueue::Organisation* AdmissionQueue::chooseOrganisation(LaneSet blocked) const
{
    const auto* const first = lowest(blocked, Rank::OnTime);
    if (!first) {
        const auto* const late = lowest(blocked, Rank::Late);
        return late ? late->organisation : nullptr;
    }
    const auto* const urgent = lowest(blocked, Rank::Urgent);
    const bool mayGoFirst = urgent && urgent->pass - first->pass <= m_settings.maxUrgentLead;
    return mayGoFirst ? urgent->organisation : first->organisation;
}

std::map<Priority, AdmissionQueue::Level>::const_iterator AdmissionQueue::nextLevel(const LaneQueue& lane) const
{
    const auto isWaiting = [](const auto& item) { return !item.second.waiting.empty(); };
    const auto highest = std::find_if(lane.levels.begin(), lane.levels.end(), isWaiting);
    if (highest == lane.levels.end() || lane.startedHighest + 1 < m_settings.lowerPriorityEvery)
        return highest;
    auto due = lane.levels.end();
    for (auto level = std::next(highest); level != lane.levels.end(); ++level) {
        if (isWaiting(*level) && (due == lane.levels.end() || level->second.lastStart < due->second.lastStart))
            due = level;
    }
    return due == lane.levels.end() ? highest : due;
}

RequestId AdmissionQueue::firstOf(const Organisation& organisation, LaneSet blocked) const
{
    std::optional<LateKey> first;
    for (Lane number = 0; number < laneCount; ++number) {
        const auto& lane = organisation.lanes[number];
        if (blocked.test(number) || lane.isHeld || !lane.onTime)
            continue;
        const auto level = nextLevel(lane);
        const LateKey candidate { level->first, *level->second.waiting.begin() };
        if (!first || candidate < *first)
            first = candidate;
    }
    if (first)
        return first->key.id;
    for (Lane number = 0; number < laneCount; ++number) {
        const auto& lane = organisation.lanes[number];
        if (!blocked.test(number) && !lane.isHeld && !lane.late.empty() && (!first || *lane.late.begin() < *first))
            first = *lane.late.begin();
    }
    return first->key.id;
}

void AdmissionQueue::start(Instant now, RequestId id)
{
    const auto position = m_entries.find(id);
    if (position == m_entries.end())
        return;
    const auto entry = position->second;
    const auto& ticket = entry.ticket;
    auto& organisation = *entry.organisation;
    auto& lane = organisation.lanes[ticket.lane];
    if (entry.place == Place::OnTime) {
        const auto highest = std::find_if(
            lane.levels.begin(), lane.levels.end(), [](const auto& item) { return !item.second.waiting.empty(); });
        lane.startedHighest = highest->first == ticket.priority ? lane.startedHighest + 1 : 0;
        auto& level = lane.levels[ticket.priority];
        level.lastStart = ++lane.starts;
        level.drainRate.recordStart(now);
    }
    m_drainRates[ticket.lane].recordStart(now);
    remove(position);
    m_virtualTime = std::max(m_virtualTime, organisation.pass);
    setPass(organisation, organisation.pass + ticket.cost);
    m_smoothedWait += (now - entry.since - m_smoothedWait) / smoothingDivisor;
    AUBURNPOST_INVARIANT(now <= latestStart(ticket), "started a request that can't be answered before its deadline");
}

void AdmissionQueue::charge(const OrganisationName& name, Duration cost)
{
    auto& organisation = organisationOf(name);
    if (!organisation.size)
        setPass(organisation, std::max(organisation.pass, m_virtualTime));
    setPass(organisation, organisation.pass + cost);
    removeIdle();
}

void AdmissionQueue::holdOrganisation(const OrganisationName& name, Lane number)
{
    auto& organisation = organisationOf(name);
    organisation.lanes[number].isHeld = true;
    m_heldOrganisations.emplace_back(&organisation, number);
    refreshIndex(organisation, number);
}

void AdmissionQueue::hold(RequestId id)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        takeAside(found->second, Place::Held, {});
}

void AdmissionQueue::releaseHeld(Instant now)
{
    for (const auto& [organisation, number] : std::exchange(m_heldOrganisations, {})) {
        organisation->lanes[number].isHeld = false;
        refreshIndex(*organisation, number);
    }
    for (const auto id : std::exchange(m_held, {})) {
        if (const auto found = m_entries.find(id); found != m_entries.end() && found->second.place == Place::Held)
            putBack(now, found->second);
    }
}

void AdmissionQueue::park(RequestId id, Instant until)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        takeAside(found->second, Place::Parked, until);
}

void AdmissionQueue::parkUntilConfirmed(RequestId id, Instant moment)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        takeAside(found->second, Place::Awaiting, moment);
}

void AdmissionQueue::wakeUpTo(Instant now, Instant moment)
{
    while (!m_awaiting.empty() && m_awaiting.begin()->at <= moment)
        putBack(now, m_entries.at(m_awaiting.begin()->id));
}

std::optional<Instant> AdmissionQueue::latestAwaited(const LaneSet& lanes) const
{
    const auto found = std::find_if(m_awaiting.rbegin(), m_awaiting.rend(),
        [&](const auto& entry) { return lanes.test(m_entries.at(entry.id).ticket.lane); });
    return found == m_awaiting.rend() ? std::nullopt : std::optional(found->at);
}

void AdmissionQueue::update(Instant now)
{
    while (!m_latestStarts.empty() && m_latestStarts.begin()->at < now)
        refuseEntry(m_entries.find(m_latestStarts.begin()->id), RefusalReason::DeadlineUnreachable);
    if (m_settings.limitsWaits)
        refuseWaitedTooLong(now);
    while (!m_parked.empty() && m_parked.begin()->at <= now)
        putBack(now, m_entries.at(m_parked.begin()->id));
    while (!m_targetStarts.empty() && m_targetStarts.begin()->at < now) {
        const auto position = m_entries.find(m_targetStarts.begin()->id);
        auto& entry = position->second;
        eraseOrdered(entry);
        insertOrdered(now, entry);
        if (!m_settings.refusesByExpectedWait)
            continue;
        // It now goes after all requests that can still meet their target.
        const auto lane = entry.ticket.lane;
        const auto rate = m_drainRates[lane].perSecond(now);
        const auto ahead = countAhead(entry.ticket.organisation, lane, entry.organisation->lanes[lane].onTime);
        if (rate && now + waitOf(ahead, *rate) > latestStart(entry.ticket))
            refuseEntry(position, RefusalReason::DeadlineUnreachable);
    }
}

std::size_t AdmissionQueue::size(const OrganisationName& name) const
{
    const auto found = m_organisations.find(name);
    return found == m_organisations.end() ? 0 : found->second->size;
}

void AdmissionQueue::removeIdle()
{
    if (m_organisations.size() <= idleOrganisationLimit || !m_heldOrganisations.empty())
        return;
    std::erase_if(
        m_organisations, [this](const auto& item) { return !item.second->size && item.second->pass <= m_virtualTime; });
}

} // namespace Auburnpost::Limit
