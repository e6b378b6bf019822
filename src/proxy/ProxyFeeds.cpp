#include "proxy/Proxy.h"

namespace Auburnpost::Proxy {

void Proxy::updateTableTimes()
{
    follower(StoreTable::Configuration).setTimes(TableTimes::forConfiguration(m_settings.bounds, m_usesFeeders));
    m_versionExchange.setLimit(follower(StoreTable::Configuration).limit());
    follower(StoreTable::Targets).setTimes(TableTimes::forTargets(m_settings.bounds, m_usesFeeders));
}

void Proxy::updateFeeders(Instant now)
{
    const bool usesFeeders = m_feeders.areUsed() && TableTimes::hopLimit(m_settings.bounds);
    if (usesFeeders != m_usesFeeders) {
        m_usesFeeders = usesFeeders;
        updateTableTimes();
    }
    const auto feeder = m_usesFeeders ? m_feeders.feeder(now) : std::nullopt;
    for (auto& follower : m_followers)
        follower.setFeeder(feeder);
    if (feeder == m_feeder)
        return;
    m_feeder = feeder;
    log({ LogEvent::TableSourceChanged, { { "source", feeder ? feeder->toString() : "store" } } });
}

void Proxy::feederAnswered(
    Instant now, const SocketAddress& feeder, StoreTable table, const Expected<FeedPage>& answered, StoreCallSlot slot)
{
    beginEvent(now);
    auto page = answered;
    if (page && page->age > follower(table).feedAgeLimit())
        page = fail(ErrorCode::BadMessage, "follow table", feeder.toString(), "the feeder's copy is too old");
    if (page && page->asOf < follower(table).state().asOf)
        page = fail(ErrorCode::BadMessage, "follow table", feeder.toString(), "the feeder is behind this host");
    if (page)
        recordEra(table, page->asOf);
    const auto before = callsBefore(table, slot);
    const bool hasChanged = follower(table).feederAnswered(now, m_random, page, slot);
    if (!follower(table).calls().isConnected) {
        m_feeders.recordFailure(now, feeder);
        updateFeeders(now);
    }
    updateListOrigin();
    if (!page)
        logFailedCall(now, table, before.ended, before.history, page.error());
    if (hasChanged)
        tableChanged(now, table);
    follower(table).tick(now);
}

void Proxy::feedRequested(Instant now, RequestId id, StoreTable table, RowVersion after, Duration wait)
{
    beginEvent(now);
    const auto page = m_isFeedingStopped ? std::nullopt : feedPage(now, table, after);
    const bool mayWait = page && !page->table && wait > Duration {};
    if (!mayWait || !m_feed.add({ id, table, after, now + std::min(wait, TableFeed::maxWait) }))
        m_delegate.answerFeed(id, page);
}

void Proxy::stopFeeding()
{
    m_isFeedingStopped = true;
    for (const auto& request : m_feed.takeAll())
        m_delegate.answerFeed(request.id, {});
}

void Proxy::answerFeeds(Instant now)
{
    for (const auto table : followedTables) {
        // Followers of too old a copy are refused, so that they call the store.
        const auto confirmedAt = follower(table).origin().confirmedAt;
        if (confirmedAt && now - *confirmedAt > follower(table).feedAgeLimit()) {
            for (const auto& request : m_feed.takeAll(table))
                m_delegate.answerFeed(request.id, {});
        }
        for (const auto& request : m_feed.takeDue(now, table, follower(table).state().asOf))
            m_delegate.answerFeed(request.id, feedPage(now, table, request.after));
    }
}

std::optional<FeedPage> Proxy::feedPage(Instant now, StoreTable table, RowVersion after) const
{
    const auto& follower = m_followers[static_cast<std::size_t>(table)];
    const auto confirmedAt = follower.origin().confirmedAt;
    const bool hasTimeForHops = TableTimes::hopLimit(m_settings.bounds).has_value();
    if (!confirmedAt || !hasTimeForHops || now - *confirmedAt > follower.feedAgeLimit())
        return {};
    // A follower of an earlier version of the program names no era, and would ignore a table of a lower number.
    const bool hasNoEra = after != RowVersion {} && after.era() == StoreEra {};
    if (hasNoEra && follower.state().asOf.era() != StoreEra {})
        return {};
    FeedPage page { follower.state().asOf, now - *confirmedAt, {} };
    if (follower.state().asOf > after)
        page.table = tableForPeers(table);
    return page;
}

} // namespace Auburnpost::Proxy
