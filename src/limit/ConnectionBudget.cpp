#include "limit/ConnectionBudget.h"

#include "base/Invariant.h"

#include <algorithm>

namespace Auburnpost::Limit {

namespace {

    /// Of ten connections that a target admits, the homes together hold nine.
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
    const auto room = share() - std::min(share(), total());
    const auto wanted = waiting + m_settings.warmSpare;
    const auto missing = wanted - std::min(wanted, m_idle + m_opening);
    // After a failure one connect tries whether the target admits any again.
    const auto limit = m_backoff.failures() ? std::size_t(1) : m_settings.openingLimit;
    const auto allowed = limit - std::min(limit, m_opening);
    const auto count = std::min({ room, missing, allowed });
    m_opening += count;
    check(count > 0);
    return count;
}

std::size_t ConnectionBudget::connectionsToClose(Instant now)
{
    const auto excess = total() - std::min(total(), share());
    const auto surplus = m_idle - std::min(m_idle, m_settings.warmSpare);
    const bool isIdleTooLong = m_surplusSince && now - *m_surplusSince >= m_settings.idleTimeout;
    const auto count = std::min(m_idle, std::max(excess, isIdleTooLong ? surplus : 0));
    m_idle -= count;
    noteIdle(now);
    return count;
}

void ConnectionBudget::opened(Instant now)
{
    remove(m_opening);
    ++m_idle;
    m_backoff.succeed();
    m_retryAt.reset();
    noteIdle(now);
}

void ConnectionBudget::openFailed(Instant now, RandomEngine& random)
{
    remove(m_opening);
    // Connects that were under way together fail together and count once.
    if (!m_retryAt || now >= *m_retryAt)
        m_retryAt = now + m_backoff.fail(random);
}

bool ConnectionBudget::take(Instant now)
{
    if (!m_idle)
        return false;
    --m_idle;
    ++m_busy;
    noteIdle(now);
    return true;
}

bool ConnectionBudget::pin(Instant now)
{
    if (!m_idle || m_pinned >= pinnedLimit())
        return false;
    --m_idle;
    ++m_pinned;
    noteIdle(now);
    return true;
}

void ConnectionBudget::giveBack(Instant now)
{
    remove(m_busy);
    ++m_idle;
    noteIdle(now);
}

void ConnectionBudget::unpin(Instant now)
{
    remove(m_pinned);
    ++m_idle;
    noteIdle(now);
}

void ConnectionBudget::idleLost(Instant now)
{
    remove(m_idle);
    noteIdle(now);
}

void ConnectionBudget::busyLost(Instant now)
{
    remove(m_busy);
    noteIdle(now);
}

void ConnectionBudget::pinnedLost(Instant now)
{
    remove(m_pinned);
    noteIdle(now);
}

void ConnectionBudget::remove(std::size_t& count)
{
    AUBURNPOST_INVARIANT(count > 0, "a connection ended that was not counted");
    --count;
}

void ConnectionBudget::check(bool hasOpened) const
{
    AUBURNPOST_INVARIANT(!hasOpened || total() <= share(), "more connections than the share");
}

void ConnectionBudget::noteIdle(Instant now)
{
    if (m_idle <= m_settings.warmSpare)
        m_surplusSince.reset();
    else if (!m_surplusSince)
        m_surplusSince = now;
}

} // namespace Auburnpost::Limit
