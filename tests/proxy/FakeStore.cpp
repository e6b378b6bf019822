#include "proxy/FakeStore.h"

#include "proxy/Proxy.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    constexpr Duration step = std::chrono::milliseconds(5);
    constexpr auto rowKey = "row";

} // namespace

Duration FakeStore::run(StoreFollower& follower, Instant until, const TimeBounds& bounds)
{
    Duration maxDelay {};
    Instant nextTick {};
    for (; m_now < until; m_now += step) {
        advance(m_now);
        if (m_call)
            finishCall(follower, m_now);
        if (m_now >= nextTick) {
            nextTick = m_now + Proxy::tickInterval;
            follower.tick(m_now);
        }
        const auto& rows = follower.state().rows;
        const auto applied = rows.empty() ? 0 : rows.begin()->second.version.value();
        while (!m_unapplied.empty() && m_unapplied.front().first <= applied)
            m_unapplied.pop_front();
        if (m_unapplied.empty())
            continue;
        // No bound applies during the outage and for the recovery time after it.
        if (m_now >= m_outage.start && m_now < m_outage.end + bounds.recovery)
            continue;
        maxDelay = std::max(maxDelay, m_now - (m_unapplied.front().second + bounds.configuration));
    }
    return maxDelay;
}

void FakeStore::advance(Instant now)
{
    if (isOut(now)) {
        if (m_call)
            m_call->isLost = true;
        if (m_losesHistory)
            m_lostHistory = RowVersion(m_version + 1);
        return;
    }
    if (now < m_nextEditAt)
        return;
    m_nextEditAt = now + m_editInterval;
    ++m_version;
    m_unapplied.emplace_back(m_version, now);
}

void FakeStore::finishCall(StoreFollower& follower, Instant now)
{
    const auto call = *m_call;
    const bool hasAnswer = call.isRead || call.after < RowVersion(m_version) || now >= call.answerAt;
    if (!call.isLost && hasAnswer && now >= call.sentAt + m_roundTrip) {
        m_call.reset();
        if (call.isRead)
            follower.tableRead(now, m_random, page(call));
        else
            follower.tableFollowed(now, m_random, page(call));
    } else if (now >= call.timeoutAt) {
        m_call.reset();
        const Expected<StorePage> failure = fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");
        if (call.isRead)
            follower.tableRead(now, m_random, failure);
        else
            follower.tableFollowed(now, m_random, failure);
    }
}

StorePage FakeStore::page(const Call& call) const
{
    if (!call.isRead && call.after < m_lostHistory)
        return { {}, RowVersion(m_version), false, true };
    return { { { rowKey, RowVersion(m_version), "", false } }, RowVersion(m_version), false, false };
}

void FakeStore::readTable(StoreTable, const std::string&, Duration timeout)
{
    m_call = { m_now, m_now + timeout, m_now, {}, true, isOut(m_now) };
}

void FakeStore::followTable(StoreTable, RowVersion after, Duration wait, Duration timeout)
{
    m_call = { m_now, m_now + timeout, m_now + wait, after, false, isOut(m_now) };
}

} // namespace Auburnpost::Proxy
