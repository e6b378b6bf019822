#include "engine/GroupConnections.h"

namespace Auburnpost {

namespace {

    /// Maximum time for opening a connection or for the answer to a quick command; then the connection is closed.
    constexpr Duration quickTimeout = std::chrono::milliseconds(1500);
    /// Maximum time for the answer to a wait, in addition to the time for which the target may delay it.
    constexpr Duration waitMargin = std::chrono::milliseconds(1500);

    Duration timeoutOf(const Group::SendCommand& command)
    {
        return command.command.operation == GroupOperation::Wait ? command.command.timeout + waitMargin : quickTimeout;
    }

} // namespace

GroupConnections::GroupConnections(GroupConnectionsDelegate& delegate)
    : m_delegate(delegate)
{
}

void GroupConnections::send(Instant now, const Group::SendCommand& command)
{
    const auto lane = command.command.operation == GroupOperation::Wait ? Lane::Wait : Lane::Quick;
    const ChannelKey key { command.target, lane };
    auto& channel = m_channels[key];
    channel.queue.push_back(command);
    if (!channel.connection) {
        channel.connection = m_delegate.openConnection(command.target);
        channel.isOpen = false;
        channel.sentAt = now;
        m_byConnection[*channel.connection] = key;
        return;
    }
    sendNext(now, channel);
}

void GroupConnections::sendNext(Instant now, Channel& channel)
{
    if (!channel.isOpen || channel.inFlight || channel.queue.empty())
        return;
    channel.inFlight = std::move(channel.queue.front());
    channel.queue.pop_front();
    channel.sentAt = now;
    m_delegate.sendStatements(*channel.connection, { channel.inFlight->command.toStatement() });
}

GroupConnections::Channel* GroupConnections::find(ConnectionId connection)
{
    const auto found = m_byConnection.find(connection);
    return found == m_byConnection.end() ? nullptr : &m_channels[found->second];
}

void GroupConnections::handleConnectionOpened(Instant now, ConnectionId connection)
{
    if (auto* channel = find(connection)) {
        channel->isOpen = true;
        sendNext(now, *channel);
    }
}

void GroupConnections::handleAnswer(Instant now, const TargetAnswer& answer)
{
    auto* channel = find(answer.connection);
    if (!channel || !channel->inFlight)
        return;
    const auto command = *std::exchange(channel->inFlight, std::nullopt);
    sendNext(now, *channel);
    if (answer.fault) {
        m_delegate.groupCommandFailed(now, command.target, command.correlation,
            { ErrorCode::BadMessage, "group command", command.target.value(),
                answer.fault->sqlState + " " + answer.fault->message });
        return;
    }
    const auto status = answer.results.empty() ? GroupStatus::parse({}) : GroupStatus::parse(answer.results.front());
    if (status)
        m_delegate.groupCommandAnswered(now, command.target, command.correlation, *status);
    else
        m_delegate.groupCommandFailed(now, command.target, command.correlation, status.error());
}

void GroupConnections::handleConnectionLoss(Instant now, ConnectionId connection, const Error& error)
{
    const auto found = m_byConnection.find(connection);
    if (found == m_byConnection.end())
        return;
    const auto key = found->second;
    m_byConnection.erase(found);
    failCommands(now, key, m_channels[key], error);
}

void GroupConnections::failCommands(Instant now, const ChannelKey& key, Channel& channel, const Error& error)
{
    auto failedCommands = std::exchange(channel.queue, {});
    if (channel.inFlight)
        failedCommands.push_front(*std::exchange(channel.inFlight, std::nullopt));
    channel.connection.reset();
    channel.isOpen = false;
    for (const auto& command : failedCommands)
        m_delegate.groupCommandFailed(now, key.target, command.correlation, error);
}

void GroupConnections::closeUnresponsive(Instant now)
{
    std::vector<ConnectionId> unresponsive;
    for (auto& [key, channel] : m_channels) {
        if (!channel.connection)
            continue;
        const auto limit = channel.inFlight ? timeoutOf(*channel.inFlight) : quickTimeout;
        if ((channel.inFlight || !channel.isOpen) && now - channel.sentAt >= limit)
            unresponsive.push_back(*channel.connection);
    }
    for (const auto connection : unresponsive) {
        m_delegate.closeConnection(connection);
        handleConnectionLoss(now, connection,
            { ErrorCode::DeadlineExceeded, "group command", m_byConnection[connection].target.value(), "no answer" });
    }
}

void GroupConnections::shutDown()
{
    for (const auto& [connection, key] : m_byConnection)
        m_delegate.closeConnection(connection);
    m_byConnection.clear();
    m_channels.clear();
}

} // namespace Auburnpost
