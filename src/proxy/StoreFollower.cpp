#include "proxy/StoreFollower.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    Error rejection(StoreTable table, const char* reason)
    {
        return { ErrorCode::BadMessage, "read " + std::string(toString(table)), "store", reason };
    }

} // namespace

StoreFollower::StoreFollower(StoreTable table, TableTimes times, StoreDelegate& delegate)
    : m_table(table)
    , m_times(times)
    , m_delegate(delegate)
{
}

void StoreFollower::resumedAfterPause(Instant pausedAt, Instant now)
{
    m_pausedAt = pausedAt;
    m_resumedAt = now;
    m_nextCallAt = now;
}

void StoreFollower::tick(Instant now)
{
    if (m_isCalling || now < m_nextCallAt)
        return;
    m_isCalling = true;
    m_calls.sentAt = now;
    m_polledAfter = m_state.asOf;
    const bool mayWait = m_calls.isConnected && !m_needsRead;
    m_calls.wait = mayWait ? m_times.pollWait() : Duration {};
    m_calls.timeout = mayWait ? m_times.pollTimeout() : m_times.callTimeout(m_calls.failures);
    if (m_feeder) {
        m_delegate.followFeeder(*m_feeder, m_table, m_state.asOf, m_calls.wait, m_calls.timeout);
    } else if (m_needsRead) {
        m_partialRead = {};
        m_delegate.readTable(m_table, {}, m_calls.timeout);
    } else {
        m_delegate.followTable(m_table, m_state.asOf, m_calls.wait, m_calls.timeout);
    }
}

bool StoreFollower::isBehind(Instant now) const
{
    return !m_calls.isConnected || (m_isCalling && now > m_calls.sentAt + m_calls.wait + TableTimes::minAnswerTimeout);
}

std::optional<Error> StoreFollower::rejectionOfRead(const StorePage& page) const
{
    const bool isFirst = m_partialRead.asOf == RowVersion {};
    if (isFirst && page.asOf < m_state.asOf)
        return rejection(m_table, "the answer is older than this host's copy");
    if (!isFirst && page.asOf.era() != m_partialRead.asOf.era())
        return rejection(m_table, "the store came back from an older copy during the read");
    return {};
}

std::optional<Error> StoreFollower::rejectionOfPoll(const StorePage& page) const
{
    if (!page.isHistoryUnavailable && page.asOf.era() < m_state.asOf.era())
        return rejection(m_table, "the answer is of an earlier era of the store");
    return {};
}

bool StoreFollower::tableRead(Instant now, RandomEngine& random, const Expected<StorePage>& page)
{
    m_isCalling = false;
    if (!page || rejectionOfRead(*page)) {
        recordFailure(now, random);
        return false;
    }
    recordAnswer(now);
    for (const auto& row : page->rows)
        m_partialRead.rows[row.key] = row;
    // The pages of one read may have different versions; following from the version of the first page misses no change.
    if (m_partialRead.asOf == RowVersion {})
        m_partialRead.asOf = page->asOf;
    if (page->hasMore && !page->rows.empty()) {
        m_isCalling = true;
        m_calls.sentAt = now;
        m_calls.timeout = m_times.callTimeout(m_calls.failures);
        m_delegate.readTable(m_table, keyAfter(page->rows.back().key), m_calls.timeout);
        return false;
    }
    m_needsRead = false;
    // A peer's copy may have been adopted since the first page.
    if (m_partialRead.asOf < m_state.asOf)
        return false;
    m_state = std::move(m_partialRead);
    recordConfirmation(answeredAt(now));
    return true;
}

bool StoreFollower::tableFollowed(Instant now, RandomEngine& random, const Expected<StorePage>& page)
{
    m_isCalling = false;
    if (!page || rejectionOfPoll(*page)) {
        recordFailure(now, random);
        return false;
    }
    recordAnswer(now);
    if (page->isHistoryUnavailable || page->asOf.era() != m_polledAfter.era()) {
        m_needsRead = true;
        return false;
    }
    if (page->asOf >= m_state.asOf)
        recordConfirmation(answeredAt(now));
    return mergeChanges(*page);
}

bool StoreFollower::feederAnswered(Instant now, RandomEngine& random, const Expected<FeedPage>& page)
{
    m_isCalling = false;
    // A feeder that is still behind at the end of the wait does not follow the table.
    if (!page || page->asOf < m_state.asOf) {
        recordFailure(now, random);
        return false;
    }
    recordAnswer(now);
    m_needsRead = false;
    const auto confirmedAt = answeredAt(now) - page->age;
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

void StoreFollower::recordAnswer(Instant now)
{
    m_calls.isConnected = true;
    m_calls.failingSince.reset();
    m_calls.failures = 0;
    m_nextCallAt = now;
}

void StoreFollower::recordFailure(Instant now, RandomEngine& random)
{
    m_calls.isConnected = false;
    if (!m_calls.failingSince)
        m_calls.failingSince = now;
    ++m_calls.failures;
    // The call may have failed only because of the pause.
    if (m_calls.sentAt < m_resumedAt) {
        m_nextCallAt = now;
        return;
    }
    std::uniform_int_distribution<Duration::rep> delay(
        m_times.minRetryDelay().count(), m_times.maxRetryDelay().count());
    m_nextCallAt = now + Duration(delay(random));
}

} // namespace Auburnpost::Proxy
