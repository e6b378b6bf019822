#include "proxy/StoreFollower.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Proxy {

namespace {

    Error rejection(StoreTable table, const char* reason)
    {
        return { ErrorCode::BadMessage, "read " + std::string(toString(table)), "store", reason };
    }

} // namespace

StoreFollower::StoreFollower(StoreTable table, TableTimes times, StoreContact& contact, StoreDelegate& delegate)
    : m_table(table)
    , m_times(times)
    , m_contact(contact)
    , m_delegate(delegate)
{
}

void StoreFollower::resumedAfterPause(Instant pausedAt, Instant now)
{
    m_pausedAt = pausedAt;
    m_resumedAt = now;
    m_nextCallAt = now;
}

std::optional<StoreCallSlot> StoreFollower::earliestInProgress() const
{
    std::optional<StoreCallSlot> earliest;
    for (const auto slot : { StoreCallSlot::First, StoreCallSlot::Second }) {
        if (call(slot).isInProgress && (!earliest || call(slot).sentAt < call(*earliest).sentAt))
            earliest = slot;
    }
    return earliest;
}

std::optional<Instant> StoreFollower::earliestCallSentAt() const
{
    const auto earliest = earliestInProgress();
    return earliest ? std::optional(call(*earliest).sentAt) : std::nullopt;
}

bool StoreFollower::isOverdue(const Call& call, Instant now)
{
    return call.isInProgress && !call.feeder && now > call.sentAt + call.wait + TableTimes::minAnswerTimeout;
}

bool StoreFollower::isInDoubt(const Call& call, Instant now) const
{
    return call.feeder ? call.feeder != m_feeder : isOverdue(call, now) || m_contact.isInDoubt(call.sentAt);
}

bool StoreFollower::isBehind(Instant now) const
{
    const auto earliest = earliestInProgress();
    return !m_history.isConnected || (earliest && isInDoubt(call(*earliest), now));
}

void StoreFollower::tick(Instant now)
{
    const auto earliest = earliestInProgress();
    if (earliest && isOverdue(call(*earliest), now))
        m_contact.recordFailure(m_table, now);
    if (now < m_nextCallAt)
        return;
    if (!earliest) {
        send(StoreCallSlot::First, now);
        return;
    }
    const auto free = *earliest == StoreCallSlot::First ? StoreCallSlot::Second : StoreCallSlot::First;
    if (call(free).isInProgress || !isInDoubt(call(*earliest), now))
        return;
    // A feeder that is no longer followed says nothing about the store.
    const bool isSourceChanged = call(*earliest).feeder != m_feeder;
    if (isSourceChanged
        || m_contact.mayTryAgain(m_table, now, m_times.tryInterval(m_history.failures), m_times.tryInterval(0)))
        send(free, now);
}

void StoreFollower::send(StoreCallSlot slot, Instant now)
{
    const auto other = earliestInProgress();
    auto& call = callIn(slot);
    call = {};
    call.isInProgress = true;
    call.sentAt = now;
    call.feeder = m_feeder;
    call.after = m_state.asOf;
    call.isPatient = !other || !this->call(*other).isPatient;
    call.isRead = m_needsRead && !m_feeder;
    if (!other && m_history.isConnected && !m_needsRead) {
        call.wait = m_contact.pollWait(m_table, now, m_times.pollWait());
        call.timeout = call.wait + m_times.callTimeout(0);
    } else {
        call.timeout = call.isPatient ? m_times.callTimeout(m_patientFailures) : m_times.tryTimeout();
    }
    m_contact.recordCall(m_table, now, now + call.wait);
    if (m_feeder)
        m_delegate.followFeeder(*m_feeder, m_table, call.after, call.wait, call.timeout, slot);
    else if (m_needsRead)
        m_delegate.readTable(m_table, {}, call.timeout, slot);
    else
        m_delegate.followTable(m_table, call.after, call.wait, call.timeout, slot);
}

std::optional<Error> StoreFollower::rejectionOfRead(const StorePage& page, StoreCallSlot slot) const
{
    const auto& partial = call(slot).partialRead;
    const bool isFirst = partial.asOf == RowVersion {};
    if (isFirst && page.asOf < m_state.asOf)
        return rejection(m_table, "the answer is older than this host's copy");
    if (!isFirst && page.asOf.era() != partial.asOf.era())
        return rejection(m_table, "the store came back from an older copy during the read");
    return {};
}

std::optional<Error> StoreFollower::rejectionOfPoll(const StorePage& page) const
{
    if (!page.isHistoryUnavailable && page.asOf.era() < m_state.asOf.era())
        return rejection(m_table, "the answer is of an earlier era of the store");
    return {};
}

bool StoreFollower::tableRead(Instant now, RandomEngine& random, const Expected<StorePage>& page, StoreCallSlot slot)
{
    if (!page || rejectionOfRead(*page, slot)) {
        recordFailure(now, random, slot);
        return false;
    }
    recordAnswer(now, slot);
    auto& call = callIn(slot);
    auto& partial = call.partialRead;
    for (const auto& row : page->rows)
        partial.rows[row.key] = row;
    // The pages of one read may have different versions; following from the version of the first page misses no change.
    if (partial.asOf == RowVersion {})
        partial.asOf = page->asOf;
    if (page->hasMore && !page->rows.empty()) {
        call.isInProgress = true;
        call.sentAt = now;
        call.timeout = m_times.callTimeout(m_patientFailures);
        m_contact.recordCall(m_table, now, now);
        m_delegate.readTable(m_table, keyAfter(page->rows.back().key), call.timeout, slot);
        return false;
    }
    m_needsRead = false;
    // A peer's copy may have been adopted since the first page.
    if (partial.asOf < m_state.asOf)
        return false;
    m_state = std::move(partial);
    recordConfirmation(answeredAt(call, now));
    return true;
}

bool StoreFollower::tableFollowed(
    Instant now, RandomEngine& random, const Expected<StorePage>& page, StoreCallSlot slot)
{
    if (!page || rejectionOfPoll(*page)) {
        recordFailure(now, random, slot);
        return false;
    }
    recordAnswer(now, slot);
    if (page->isHistoryUnavailable || page->asOf.era() != call(slot).after.era()) {
        m_needsRead = true;
        return false;
    }
    if (page->asOf >= m_state.asOf)
        recordConfirmation(answeredAt(call(slot), now));
    return mergeChanges(*page);
}

bool StoreFollower::feederAnswered(
    Instant now, RandomEngine& random, const Expected<FeedPage>& page, StoreCallSlot slot)
{
    // A feeder that is still behind at the end of the wait does not follow the table.
    if (!page || page->asOf < m_state.asOf) {
        recordFailure(now, random, slot);
        return false;
    }
    recordAnswer(now, slot);
    m_needsRead = false;
    const auto confirmedAt = answeredAt(call(slot), now) - page->age;
    recordConfirmation(std::max(confirmedAt, m_confirmedAt.value_or(confirmedAt)));
    if (!page->table || page->table->asOf <= m_state.asOf)
        return false;
    m_state = *page->table;
    return true;
}

void StoreFollower::recordConfirmation(Instant now)
{
    m_confirmedAt = now;
    m_peer.reset();
}

bool StoreFollower::mergeChanges(const StorePage& page)
{
    bool hasChanged = false;
    for (const auto& row : page.rows) {
        // A table that was adopted while the poll waited may already reflect the change, or a later one.
        if (row.version <= m_state.asOf)
            continue;
        const auto known = m_state.rows.find(row.key);
        if (known != m_state.rows.end() && known->second.version >= row.version)
            continue;
        hasChanged = true;
        if (!row.isDeleted)
            m_state.rows[row.key] = row;
        else if (known != m_state.rows.end())
            m_state.rows.erase(known);
    }
    m_state.asOf = std::max(m_state.asOf, page.asOf);
    return hasChanged;
}

bool StoreFollower::adopt(const TableState& peers, const SocketAddress& peer)
{
    if (peers.asOf <= m_state.asOf)
        return false;
    m_state = peers;
    m_peer = peer;
    return true;
}

bool StoreFollower::adoptRead(Instant now, const TableState& read)
{
    if (read.asOf < m_state.asOf)
        return false;
    recordConfirmation(now);
    if (read.asOf == m_state.asOf)
        return false;
    m_state = read;
    return true;
}

void StoreFollower::recordAnswer(Instant now, StoreCallSlot slot)
{
    callIn(slot).isInProgress = false;
    for (const auto other : { StoreCallSlot::First, StoreCallSlot::Second }) {
        if (std::exchange(callIn(other).isInProgress, false))
            m_delegate.cancelCall(m_table, other);
    }
    m_history = { true, {}, 0 };
    m_patientFailures = 0;
    m_nextCallAt = now;
    if (!call(slot).feeder)
        m_contact.recordAnswer(m_table, now);
}

void StoreFollower::recordFailure(Instant now, RandomEngine& random, StoreCallSlot slot)
{
    auto& failed = callIn(slot);
    failed.isInProgress = false;
    m_history.isConnected = false;
    m_history.failingSince = m_history.failingSince.value_or(now);
    ++m_history.failures;
    if (failed.isPatient)
        ++m_patientFailures;
    if (!failed.feeder)
        m_contact.recordFailure(m_table, now);
    // The call may have failed only because of the pause, and the store is not what failed if a feeder was called.
    if (failed.sentAt < m_resumedAt || failed.feeder) {
        m_nextCallAt = now;
        return;
    }
    std::uniform_int_distribution<Duration::rep> delay(
        m_times.minRetryDelay().count(), m_times.maxRetryDelay().count());
    m_nextCallAt = std::max(now, failed.sentAt + Duration(delay(random)));
}

} // namespace Auburnpost::Proxy
