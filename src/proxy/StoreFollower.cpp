#include "proxy/StoreFollower.h"

#include <algorithm>

namespace Auburnpost::Proxy {

StoreFollower::StoreFollower(StoreTable table, StoreActions& actions)
    : m_table(table)
    , m_actions(actions)
{
}

void StoreFollower::tick(Instant now)
{
    if (m_isCalling || now < m_nextAt)
        return;
    m_isCalling = true;
    if (m_needsRead) {
        m_reading = {};
        m_actions.readTable(m_table, {});
    } else {
        m_actions.followTable(m_table, m_state.asOf, followWait);
    }
}

bool StoreFollower::tableRead(Instant now, RandomEngine& random, const Expected<StorePage>& page)
{
    m_isCalling = false;
    if (!page) {
        failed(now, random);
        return false;
    }
    answered(now);
    for (const auto& row : page->rows)
        m_reading.rows[row.key] = row;
    // Pages of one read may be of different moments; following from the first one misses nothing.
    if (m_reading.asOf == RowVersion {})
        m_reading.asOf = page->asOf;
    if (page->hasMore && !page->rows.empty()) {
        m_isCalling = true;
        m_actions.readTable(m_table, page->rows.back().key + '\0');
        return false;
    }
    m_needsRead = false;
    if (m_reading.asOf < m_state.asOf)
        return false;
    m_state = std::move(m_reading);
    return true;
}

bool StoreFollower::tableFollowed(Instant now, RandomEngine& random, const Expected<StorePage>& page)
{
    m_isCalling = false;
    if (!page) {
        failed(now, random);
        return false;
    }
    answered(now);
    if (page->isHistoryGone) {
        m_needsRead = true;
        return false;
    }
    return apply(*page);
}

bool StoreFollower::apply(const StorePage& page)
{
    bool hasChanged = false;
    for (const auto& row : page.rows) {
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

bool StoreFollower::takeOver(const TableState& peers)
{
    if (peers.asOf <= m_state.asOf)
        return false;
    m_state = peers;
    return true;
}

void StoreFollower::answered(Instant now)
{
    m_isConnected = true;
    m_answeredAt = now;
    m_lostSince.reset();
    m_nextAt = now;
}

void StoreFollower::failed(Instant now, RandomEngine& random)
{
    m_isConnected = false;
    if (!m_lostSince)
        m_lostSince = now;
    std::uniform_int_distribution<Duration::rep> wait(retryMinimum.count(), retryMaximum.count());
    m_nextAt = now + Duration(wait(random));
}

} // namespace Auburnpost::Proxy
