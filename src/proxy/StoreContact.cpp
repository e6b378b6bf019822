#include "proxy/StoreContact.h"

#include <algorithm>

namespace Auburnpost::Proxy {

void StoreContact::recordCall(StoreTable called, Instant now, Instant answerBy)
{
    table(called).sentAt = now;
    table(called).answerBy = answerBy;
}

void StoreContact::recordAnswer(StoreTable called, Instant now)
{
    table(called).failingSince.reset();
    m_answeredAt = now;
}

void StoreContact::recordFailure(StoreTable called, Instant now)
{
    auto& failingSince = table(called).failingSince;
    failingSince = failingSince.value_or(now);
}

bool StoreContact::isInDoubt(Instant sentAt) const
{
    return std::any_of(m_tables.begin(), m_tables.end(),
        [sentAt](const Table& each) { return each.failingSince && *each.failingSince > sentAt; });
}

bool StoreContact::mayTryAgain(StoreTable called, Instant now, Duration interval, Duration answeredInterval) const
{
    const auto sentAt = table(called).sentAt;
    if (m_answeredAt > sentAt)
        return now - sentAt >= answeredInterval;
    const auto lastSentAt
        = std::max_element(m_tables.begin(), m_tables.end(), [](const Table& left, const Table& right) {
              return left.sentAt < right.sentAt;
          })->sentAt;
    return now - lastSentAt >= interval && now - sentAt >= followedTables.size() * interval;
}

Duration StoreContact::pollWait(StoreTable called, Instant now, Duration longest) const
{
    const auto half = longest / 2;
    // Small differences are left as they are, as a shorter wait costs calls.
    const auto tolerance = longest / 8;
    auto wait = longest;
    for (const auto other : followedTables) {
        const auto answerBy = table(other).answerBy;
        if (other == called || answerBy <= now)
            continue;
        const auto untilAnswer = answerBy - now;
        if (untilAnswer < half - tolerance / 2)
            wait = std::min(wait, untilAnswer + half);
        else if (untilAnswer > half + tolerance)
            wait = std::min(wait, half);
    }
    return wait;
}

} // namespace Auburnpost::Proxy
