#include "limit/ClientBudget.h"

#include <algorithm>

namespace Auburnpost::Limit {

namespace {

    constexpr std::size_t maxFreeBytes = 16UL * 1024;
    constexpr std::size_t minFreeBytes = 1024;
    constexpr std::size_t maxMediumBytes = 64UL * 1024;
    /// Half of the budget is for the copies of the free part of all messages.
    constexpr std::size_t freeShare = 2;
    /// Time for which a connection waits for a permit before others that make no progress give way.
    constexpr Duration permitPatience = 1s;

    Duration timeFor(std::size_t bytes, std::size_t bytesPerSecond)
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(bytesPerSecond)));
    }

    template <typename Set, typename Entry>
    void replaceEntry(Set& set, std::optional<Entry>& current, const std::optional<Entry>& next)
    {
        if (current == next)
            return;
        if (current)
            set.erase(*current);
        if (next)
            set.insert(*next);
        current = next;
    }

} // namespace

ClientBudget::ClientBudget(const ClientLimits& limits)
    : m_limits(limits)
    , m_freeBytes(
          std::clamp(limits.budgetBytes / freeShare / limits.copies / std::max<std::size_t>(1, limits.connections),
              minFreeBytes, maxFreeBytes))
    , m_mediumBytes(std::min(maxMediumBytes, limits.messageBytes))
{
    const auto reservedBytes = m_limits.copies * m_freeBytes * limits.connections;
    m_sharedBytes = limits.budgetBytes > reservedBytes ? limits.budgetBytes - reservedBytes : 0;
    // Half of it has room for a whole message, so that a message of any size can be read by a host of any size.
    m_sharedBytes = std::max(m_sharedBytes, 2 * chargeOf(Permit::Large));
}

void ClientBudget::opened(Instant now, ClientId id)
{
    auto& client = m_clients[id];
    client.stageSince = now;
    client.progressAt = now;
    reorder(id, client);
}

void ClientBudget::closed(Instant now, ClientId id)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    auto& client = found->second;
    stopWaiting(id, client);
    setPermit(client, Permit::None);
    setMessageCharge(client, 0);
    m_chargedBytes -= client.heldBytes;
    replaceEntry(m_due, client.due, {});
    replaceEntry(m_holders, client.holder, {});
    replaceEntry(m_permitHolders, client.permitHolder, {});
    if (client.replaceable)
        m_replaceable[client.replaceable->first].erase(client.replaceable->second);
    m_clients.erase(found);
    givePermits(now);
}

std::size_t ClientBudget::received(Instant now, ClientId id, std::size_t bytes)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return m_freeBytes;
    auto& client = found->second;
    if (client.messageBytes == 0)
        client.messageSince = now;
    if (bytes > client.messageBytes)
        client.progressAt = now;
    client.messageBytes = bytes;
    if (bytes >= limitOf(client.permit) && client.permit != Permit::Large && client.wanted == Permit::None)
        want(now, id, client, bytes < m_mediumBytes ? Permit::Medium : Permit::Large);
    reorder(id, client);
    return limitOf(client.permit);
}

void ClientBudget::requestStarted(Instant now, ClientId id, std::size_t bytes, std::size_t followingBytes)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    auto& client = found->second;
    stopWaiting(id, client);
    setPermit(client, Permit::None);
    // What follows the message was read with its permit.
    setMessageCharge(client,
        (bytes > m_freeBytes ? m_limits.copies * bytes : 0) + (followingBytes > m_freeBytes ? followingBytes : 0));
    client.messageBytes = 0;
    client.isServing = true;
    client.progressAt = now;
    reorder(id, client);
    givePermits(now);
}

void ClientBudget::requestAnswered(Instant now, ClientId id, ClientStage stage)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    auto& client = found->second;
    client.isServing = false;
    client.sessionStage = stage;
    client.stageSince = now;
    setMessageCharge(client, 0);
    reorder(id, client);
    givePermits(now);
}

void ClientBudget::answerAdded(Instant now, ClientId id, std::size_t bytes)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end() || bytes == 0)
        return;
    auto& client = found->second;
    if (client.undeliveredBytes == 0) {
        client.answerSince = now;
        client.deliveredBytes = 0;
        client.progressAt = now;
    }
    client.heldBytes += bytes;
    client.undeliveredBytes += bytes;
    m_chargedBytes += bytes;
    reorder(id, client);
}

void ClientBudget::answerRead(Instant now, ClientId id, std::size_t heldBytes, std::size_t undeliveredBytes)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    auto& client = found->second;
    m_chargedBytes = m_chargedBytes - client.heldBytes + heldBytes;
    client.heldBytes = heldBytes;
    if (undeliveredBytes < client.undeliveredBytes) {
        client.deliveredBytes += client.undeliveredBytes - undeliveredBytes;
        client.progressAt = now;
    }
    client.undeliveredBytes = undeliveredBytes;
    // Each span of time is measured by itself, so that a connection can't live on what it read long ago.
    if (client.deliveredBytes >= m_limits.readRate) {
        const auto earned = timeFor(client.deliveredBytes, m_limits.readRate);
        client.answerSince = std::min(now, client.answerSince + earned);
        client.deliveredBytes = 0;
    }
    reorder(id, client);
    givePermits(now);
}

std::vector<ClientId> ClientBudget::takePermitted()
{
    return std::exchange(m_permitted, {});
}

std::size_t ClientBudget::readableBytes(ClientId id) const
{
    const auto found = m_clients.find(id);
    return found == m_clients.end() ? m_freeBytes : limitOf(found->second.permit);
}

std::optional<ClientClosing> ClientBudget::worstHolder(Instant now) const
{
    if (m_chargedBytes > m_sharedBytes) {
        const auto& senders = m_permitHolders;
        const bool isSender = !senders.empty() && (m_holders.empty() || *senders.begin() < *m_holders.begin());
        if (isSender || !m_holders.empty())
            return ClientClosing { isSender ? senders.begin()->second : m_holders.begin()->second,
                ClientCloseReason::Memory };
    }
    const auto isOverdue = [now](const std::set<Moment>& waiting) {
        return !waiting.empty() && now - waiting.begin()->first >= permitPatience;
    };
    if (!isOverdue(m_waiting[0]) && !isOverdue(m_waiting[1]))
        return {};
    for (const auto* const holders : { &m_holders, &m_permitHolders }) {
        if (!holders->empty() && now - holders->begin()->first >= stalledAfter)
            return ClientClosing { holders->begin()->second, ClientCloseReason::Memory };
    }
    return {};
}

std::optional<ClientClosing> ClientBudget::overdue(Instant now) const
{
    if (m_due.empty() || m_due.begin()->first > now)
        return {};
    const auto id = m_due.begin()->second;
    const bool isReading = m_clients.at(id).undeliveredBytes > 0;
    return ClientClosing { id, isReading ? ClientCloseReason::SlowReader : ClientCloseReason::SlowSender };
}

std::optional<ClientClosing> ClientBudget::replaceable(Instant now) const
{
    const auto stages = m_limits.replacesSessions ? m_replaceable.size() : static_cast<std::size_t>(ClientStage::Idle);
    for (std::size_t stage = 0; stage < stages; ++stage) {
        const auto& clients = m_replaceable[stage];
        if (!clients.empty() && now - clients.begin()->first >= replaceableAfter[stage])
            return ClientClosing { clients.begin()->second, ClientCloseReason::Replaced };
    }
    return {};
}

std::size_t ClientBudget::chargeOf(Permit permit) const
{
    return permit == Permit::None ? 0 : m_limits.copies * limitOf(permit);
}

std::size_t ClientBudget::limitOf(Permit permit) const
{
    switch (permit) {
    case Permit::None:
        return m_freeBytes;
    case Permit::Medium:
        return m_mediumBytes;
    case Permit::Large:
        return m_limits.messageBytes;
    }
    return m_freeBytes;
}

bool ClientBudget::fits(const Client& client, Permit permit) const
{
    const auto charge = chargeOf(permit);
    if (m_chargedBytes - client.messageCharge + charge > m_sharedBytes)
        return false;
    return permit == Permit::Large || m_mediumCharge + charge <= m_sharedBytes / 2;
}

void ClientBudget::setMessageCharge(Client& client, std::size_t bytes)
{
    m_chargedBytes = m_chargedBytes - client.messageCharge + bytes;
    client.messageCharge = bytes;
}

void ClientBudget::setPermit(Client& client, Permit permit)
{
    if (client.permit == Permit::Medium)
        m_mediumCharge -= chargeOf(Permit::Medium);
    if (permit == Permit::Medium)
        m_mediumCharge += chargeOf(Permit::Medium);
    client.permit = permit;
}

void ClientBudget::want(Instant now, ClientId id, Client& client, Permit permit)
{
    client.wanted = permit;
    client.waitingSince = now;
    m_waiting[permit == Permit::Large ? 1 : 0].insert({ now, id });
    givePermits(now);
}

void ClientBudget::stopWaiting(ClientId id, Client& client)
{
    if (client.wanted == Permit::None)
        return;
    m_waiting[client.wanted == Permit::Large ? 1 : 0].erase({ client.waitingSince, id });
    client.wanted = Permit::None;
}

void ClientBudget::givePermits(Instant now)
{
    // Large messages come first: their memory must not be taken by medium ones that come later.
    for (auto queue = m_waiting.rbegin(); queue != m_waiting.rend(); ++queue) {
        while (!queue->empty()) {
            const auto id = queue->begin()->second;
            auto& client = m_clients.at(id);
            const auto permit = client.wanted;
            if (!fits(client, permit))
                break;
            stopWaiting(id, client);
            setPermit(client, permit);
            setMessageCharge(client, chargeOf(permit));
            client.messageSince += now - client.waitingSince;
            client.progressAt = now;
            reorder(id, client);
            m_permitted.push_back(id);
        }
    }
}

std::optional<Instant> ClientBudget::dueTime(const Client& client) const
{
    if (client.undeliveredBytes > 0)
        return client.answerSince + m_limits.answerTime + timeFor(client.deliveredBytes, m_limits.readRate);
    if (client.messageBytes > 0 && client.wanted == Permit::None && !client.isServing)
        return client.messageSince + m_limits.messageTime + timeFor(client.messageBytes, m_limits.sendRate);
    return {};
}

void ClientBudget::reorder(ClientId id, Client& client)
{
    const auto momentAt = [id](Instant time) { return Moment { time, id }; };
    const auto due = dueTime(client);
    replaceEntry(m_due, client.due, due ? std::optional(momentAt(*due)) : std::nullopt);
    replaceEntry(
        m_holders, client.holder, client.heldBytes > 0 ? std::optional(momentAt(client.progressAt)) : std::nullopt);
    const bool holdsPermit = client.permit != Permit::None && client.wanted == Permit::None;
    replaceEntry(
        m_permitHolders, client.permitHolder, holdsPermit ? std::optional(momentAt(client.progressAt)) : std::nullopt);

    std::optional<std::pair<std::size_t, Moment>> replaceable;
    const bool isTransferring = client.messageBytes > 0 || client.undeliveredBytes > 0;
    if (!client.isServing) {
        const bool isOpening = client.sessionStage == ClientStage::Opening;
        const auto stage = isTransferring && !isOpening ? ClientStage::Transferring : client.sessionStage;
        const auto since = stage == ClientStage::Transferring ? client.progressAt : client.stageSince;
        replaceable = { static_cast<std::size_t>(stage), momentAt(since) };
    }
    if (replaceable == client.replaceable)
        return;
    if (client.replaceable)
        m_replaceable[client.replaceable->first].erase(client.replaceable->second);
    if (replaceable)
        m_replaceable[replaceable->first].insert(replaceable->second);
    client.replaceable = replaceable;
}

} // namespace Auburnpost::Limit
