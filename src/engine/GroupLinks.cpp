#include "engine/GroupLinks.h"

namespace Auburnpost {

namespace {

    /// Silence after which a connection is given up.
    constexpr Duration quickLimit = std::chrono::milliseconds(1500);
    /// The same for a wait, beyond the time for which the target may hold it back.
    constexpr Duration waitMargin = std::chrono::milliseconds(1500);

    Duration limitOf(const Group::SendCommand& command)
    {
        return command.command.operation == GroupOperation::Wait ? command.command.timeout + waitMargin : quickLimit;
    }

} // namespace

GroupLinks::GroupLinks(GroupLinksOwner& owner)
    : m_owner(owner)
{
}

void GroupLinks::send(Instant now, const Group::SendCommand& command)
{
    const auto lane = command.command.operation == GroupOperation::Wait ? Lane::Wait : Lane::Quick;
    const LinkKey key { command.target, lane };
    auto& link = m_links[key];
    link.queue.push_back(command);
    if (!link.connection) {
        link.connection = m_owner.openConnection(command.target);
        link.open = false;
        link.sentAt = now;
        m_byConnection[*link.connection] = key;
        return;
    }
    pump(now, link);
}

void GroupLinks::pump(Instant now, Link& link)
{
    if (!link.open || link.inFlight || link.queue.empty())
        return;
    link.inFlight = std::move(link.queue.front());
    link.queue.pop_front();
    link.sentAt = now;
    m_owner.sendStatements(*link.connection, { link.inFlight->command.toStatement() });
}

GroupLinks::Link* GroupLinks::find(ConnectionId connection)
{
    const auto found = m_byConnection.find(connection);
    return found == m_byConnection.end() ? nullptr : &m_links[found->second];
}

void GroupLinks::opened(Instant now, ConnectionId connection)
{
    if (auto* link = find(connection)) {
        link->open = true;
        pump(now, *link);
    }
}

void GroupLinks::answered(Instant now, const TargetAnswer& answer)
{
    auto* link = find(answer.connection);
    if (!link || !link->inFlight)
        return;
    const auto command = *std::exchange(link->inFlight, std::nullopt);
    pump(now, *link);
    if (answer.fault) {
        m_owner.groupCommandFailed(now, command.target, command.correlation,
            { ErrorCode::BadMessage, "group command", command.target.value(),
                answer.fault->sqlState + " " + answer.fault->message });
        return;
    }
    const auto status = answer.results.empty() ? GroupStatus::parse({}) : GroupStatus::parse(answer.results.front());
    if (status)
        m_owner.groupCommandAnswered(now, command.target, command.correlation, *status);
    else
        m_owner.groupCommandFailed(now, command.target, command.correlation, status.error());
}

void GroupLinks::lost(Instant now, ConnectionId connection, const Error& error)
{
    const auto found = m_byConnection.find(connection);
    if (found == m_byConnection.end())
        return;
    const auto key = found->second;
    m_byConnection.erase(found);
    failAll(now, key, m_links[key], error);
}

void GroupLinks::failAll(Instant now, const LinkKey& key, Link& link, const Error& error)
{
    auto failed = std::exchange(link.queue, {});
    if (link.inFlight)
        failed.push_front(*std::exchange(link.inFlight, std::nullopt));
    link.connection.reset();
    link.open = false;
    for (const auto& command : failed)
        m_owner.groupCommandFailed(now, key.target, command.correlation, error);
}

void GroupLinks::checkTime(Instant now)
{
    std::vector<ConnectionId> silent;
    for (auto& [key, link] : m_links) {
        if (!link.connection)
            continue;
        const auto limit = link.inFlight ? limitOf(*link.inFlight) : quickLimit;
        if ((link.inFlight || !link.open) && now - link.sentAt >= limit)
            silent.push_back(*link.connection);
    }
    for (const auto connection : silent) {
        m_owner.closeConnection(connection);
        lost(now, connection,
            { ErrorCode::DeadlineExceeded, "group command", m_byConnection[connection].target.value(), "no answer" });
    }
}

void GroupLinks::shutDown()
{
    for (const auto& [connection, key] : m_byConnection)
        m_owner.closeConnection(connection);
    m_byConnection.clear();
    m_links.clear();
}

} // namespace Auburnpost
