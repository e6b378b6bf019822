#include "limit/ConnectionBudget.h"

#include "base/Invariant.h"

#include <algorithm>

namespace Auburnpost::Limit {

namespace {

    /// The homes together hold at most nine tenths of the connections that a target admits.
    constexpr std::size_t usedTenths = 9;
    constexpr std::size_t tenths = 10;

} // namespace

ConnectionBudget::ConnectionBudget(ConnectionBudgetSettings settings)
    : m_settings(settings)
    , m_backoff(settings.backoff)
{
    setShare(settings.cap, settings.homes);
}

std::size_t ConnectionBudget::share() const
{
    return std::max<std::size_t>(1, m_settings.cap * usedTenths / (tenths * m_settings.homes));
}

std::size_t ConnectionBudget::pinnedLimit() const
{
    return std::max<std::size_t>(1, share() / 2);
}

void ConnectionBudget::setShare(std::size_t cap, std::size_t homes)
{
    m_settings.cap = cap;
    m_settings.homes = std::max<std::size_t>(1, homes);
}

std::size_t ConnectionBudget::connectionsToOpen(Instant now, std::size_t waiting)
{
    if (m_retryAt && now < *m_retryAt)
        return 0;
    const auto available = share() - std::min(share(), total());
    const auto wanted = waiting + m_settings.warmSpare;
    const auto missing = wanted - std::min(wanted, m_idle + m_opening);
    // After a failure a single connect probes whether the target admits connections again.
    const auto limit = m_backoff.failures() ? std::size_t(1) : m_settings.openingLimit;
    const auto allowed = limit - std::min(limit, m_opening);
    const auto count = std::min({ available, missing, allowed });
    m_opening += count;
    checkShare(count > 0);
    return count;
}

std::size_t ConnectionBudget::connectionsToClose(Instant now)
{
    const auto excess = total() - std::min(total(), share());
    const auto surplus = m_idle - std::min(m_idle, m_settings.warmSpare);
    const bool isIdleTooLong = m_surplusSince && now - *m_surplusSince >= m_settings.idleTimeout;
    const auto count = std::min(m_idle, std::max(excess, isIdleTooLong ? surplus : 0));
    m_idle -= count;
    updateSurplus(now);
    return count;
}

void ConnectionBudget::recordOpened(Instant now)
{
    decrement(m_opening);
    ++m_idle;
    m_backoff.recordSuccess();
    m_retryAt.reset();
    updateSurplus(now);
}

void ConnectionBudget::recordOpenFailure(Instant now, RandomEngine& random)
{
    decrement(m_opening);
    // Concurrent connects fail together; they count as one failure.
    if (!m_retryAt || now >= *m_retryAt)
        m_retryAt = now + m_backoff.recordFailure(random);
}

bool ConnectionBudget::acquire(Instant now)
{
    if (!m_idle)
        return false;
    --m_idle;
    ++m_busy;
    updateSurplus(now);
    return true;
}

bool ConnectionBudget::pin(Instant now)
{
    if (!m_idle || m_pinned >= pinnedLimit())
        return false;
    --m_idle;
    ++m_pinned;
    updateSurplus(now);
    return true;
}

void ConnectionBudget::returnConnection(Instant now)
{
    decrement(m_busy);
    ++m_idle;
    updateSurplus(now);
}

void ConnectionBudget::unpin(Instant now)
{
    decrement(m_pinned);
    ++m_idle;
    updateSurplus(now);
}

void ConnectionBudget::recordIdleLoss(Instant now)
{
    decrement(m_idle);
    updateSurplus(now);
}

void ConnectionBudget::recordBusyLoss(Instant now)
{
    decrement(m_busy);
    updateSurplus(now);
}

void ConnectionBudget::recordPinnedLoss(Instant now)
{
    decrement(m_pinned);
    updateSurplus(now);
}

void ConnectionBudget::decrement(std::size_t& count)
{
    AUBURNPOST_INVARIANT(count > 0, "a connection ended that was not counted");
    --count;
}

void ConnectionBudget::checkShare(bool hasOpened) const
{
    AUBURNPOST_INVARIANT(!hasOpened || total() <= share(), "a home opens more connections than its share");
}

void ConnectionBudget::updateSurplus(Instant now)
{
    if (m_idle <= m_settings.warmSpare)
        m_surplusSince.reset();
    else if (!m_surplusSince)
        m_surplusSince = now;
}

} // namespace Auburnpost::Limit
