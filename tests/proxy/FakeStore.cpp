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
        finishCalls(follower, m_now);
        if (m_now >= nextTick) {
            nextTick = m_now + Proxy::tickInterval;
            follower.tick(m_now);
            if (m_other)
                m_other->tick(m_now);
        }
        const auto& rows = follower.state().rows;
        const auto applied = rows.empty() ? 0 : std::stoull(rows.begin()->second.value);
        while (!m_unapplied.empty() && m_unapplied.front().first <= applied)
            m_unapplied.pop_front();
        if (m_unapplied.empty())
            continue;
        if (m_now >= m_outage.end)
            m_largestAge = std::max(m_largestAge, m_now - std::max(m_unapplied.front().second, m_outage.end));
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
        for (auto& [key, call] : m_calls)
            call.isLost = true;
        if (m_losesHistory)
            m_lostHistory = m_contents.back().version + 1;
        return;
    }
    if (m_copyAge && now >= m_outage.end)
        restoreCopy(now);
    if (m_rewriteAt && now >= *m_rewriteAt) {
        m_rewriteAt.reset();
        write(now, m_newestEdit);
    }
    if (m_otherWriteInterval > Duration {} && now >= m_nextOtherWriteAt) {
        m_nextOtherWriteAt = now + m_otherWriteInterval;
        write(now, m_contents.back().edit);
    }
    if (now < m_nextEditAt)
        return;
    m_nextEditAt = now + m_editInterval;
    write(now, ++m_newestEdit);
    m_unapplied.emplace_back(m_newestEdit, now);
}

void FakeStore::write(Instant now, std::uint64_t edit)
{
    auto content = m_contents.back();
    content.writtenAt = now;
    ++content.version;
    if (content.edit != edit)
        content.rowVersion = content.version;
    content.edit = edit;
    m_contents.push_back(content);
}

void FakeStore::restoreCopy(Instant now)
{
    const auto copiedAt = m_outage.start - *m_copyAge;
    while (m_contents.size() > 1 && m_contents.back().writtenAt > copiedAt)
        m_contents.pop_back();
    m_era = StoreEra(m_era.value() + 1);
    m_copyAge.reset();
    m_rewriteAt = now + m_rewriteDelay;
    m_nextEditAt = std::max(m_nextEditAt, *m_rewriteAt + step);
}

bool FakeStore::hasAnswer(const CallKey& key, const Call& call, Instant now) const
{
    if (call.isLost || now < call.sentAt + m_roundTrip)
        return false;
    const auto& content = m_contents.back();
    const bool isGone = call.after.value() < m_lostHistory || call.after.value() > content.version;
    const bool isChanged = key.first == m_table && call.after.value() < content.rowVersion;
    return call.failure || call.isRead || isGone || isChanged || now >= call.answerAt;
}

void FakeStore::finishCalls(StoreFollower& follower, Instant now)
{
    for (const auto table : followedTables) {
        for (const auto slot : { StoreCallSlot::First, StoreCallSlot::Second }) {
            const auto found = m_calls.find({ table, slot });
            if (found == m_calls.end())
                continue;
            const auto call = found->second;
            const bool isAnswered = hasAnswer(found->first, call, now);
            if (!isAnswered && now < call.timeoutAt)
                continue;
            m_calls.erase(found);
            const auto answer = isAnswered ? answerTo(table, call)
                                           : fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");
            auto& called = table == m_table ? follower : *m_other;
            if (call.isRead)
                called.tableRead(now, m_random, answer, slot);
            else
                called.tableFollowed(now, m_random, answer, slot);
        }
    }
}

Expected<StorePage> FakeStore::answerTo(StoreTable table, const Call& call) const
{
    if (call.failure == SeriesFailure::Refused)
        return fail(ErrorCode::PlatformRefused, "call", "store", "status 503");
    if (call.failure != SeriesFailure::RejectedRead)
        return page(table, call);
    if (!call.isRead)
        return StorePage { {}, RowVersion(0, m_era), false, true };
    return StorePage { {}, RowVersion(1, m_era), false, false };
}

StorePage FakeStore::page(StoreTable table, const Call& call) const
{
    const auto& content = m_contents.back();
    const RowVersion asOf(content.version, m_era);
    if (!call.isRead && (call.after.value() < m_lostHistory || call.after.value() > content.version))
        return { {}, RowVersion(0, m_era), false, true };
    StorePage page { {}, asOf, false, false };
    if (table == m_table && (call.isRead || call.after.value() < content.rowVersion))
        page.rows.push_back({ rowKey, RowVersion(content.rowVersion, m_era), std::to_string(content.edit), false });
    return page;
}

void FakeStore::start(const CallKey& key, Call call)
{
    ++m_callCount;
    m_table = m_table.value_or(key.first);
    call.isLost = isOut(m_now);
    if (m_now >= m_outage.end && m_failedInSeries < m_series.size()) {
        call.failure = m_series[m_failedInSeries];
        call.isLost = call.failure == SeriesFailure::NoAnswer;
        // The poll that is told that the history is gone leads to the read that is rejected.
        if (call.failure != SeriesFailure::RejectedRead || call.isRead)
            ++m_failedInSeries;
    }
    m_calls[key] = call;
}

void FakeStore::readTable(StoreTable table, const std::string&, Duration timeout, StoreCallSlot slot)
{
    start({ table, slot }, { m_now, m_now + timeout, m_now, {}, true, false });
}

void FakeStore::followTable(StoreTable table, RowVersion after, Duration wait, Duration timeout, StoreCallSlot slot)
{
    start({ table, slot }, { m_now, m_now + timeout, m_now + wait, after, false, false });
}

} // namespace Auburnpost::Proxy
