#include "target/WriteLock.h"

#include <algorithm>

namespace Auburnpost::Standin {

WriteLock::WriteLock(EventLoop& loop, Duration timeout)
    : m_loop(loop)
    , m_timeout(timeout)
{
}

void WriteLock::request(Owner owner, std::function<void(bool)> onDecision)
{
    const auto ticket = ++m_lastTicket;
    m_waiting.push_back({ ticket, owner, std::move(onDecision) });
    grantNext();
    if (!m_waiting.empty())
        m_loop.runAfter(m_timeout, [this, ticket] { expire(ticket); });
}

void WriteLock::release(Owner owner)
{
    std::erase_if(m_waiting, [owner](const Waiter& waiter) { return waiter.owner == owner; });
    if (m_owner == owner)
        m_owner = 0;
    grantNext();
}

void WriteLock::grantNext()
{
    if (m_owner || m_waiting.empty())
        return;
    const Waiter next = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_owner = next.owner;
    next.onDecision(true);
}

void WriteLock::expire(std::uint64_t ticket)
{
    const auto found = std::find_if(
        m_waiting.begin(), m_waiting.end(), [ticket](const Waiter& waiter) { return waiter.ticket == ticket; });
    if (found == m_waiting.end())
        return;
    const auto onDecision = std::move(found->onDecision);
    m_waiting.erase(found);
    onDecision(false);
}

} // namespace Auburnpost::Standin
