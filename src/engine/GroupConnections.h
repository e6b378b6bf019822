#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "group/GroupAction.h"
#include "message/TargetCommand.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Auburnpost {

/// Operations that GroupConnections requires from its environment.
class GroupConnectionsDelegate {
public:
    virtual ~GroupConnectionsDelegate() = default;
    virtual ConnectionId openConnection(const TargetName&) = 0;
    virtual void closeConnection(ConnectionId) = 0;
    virtual void sendStatements(ConnectionId, std::vector<Statement>) = 0;
    virtual void groupCommandAnswered(Instant now, const TargetName&, Group::CorrelationId, const GroupStatus&) = 0;
    virtual void groupCommandFailed(Instant now, const TargetName&, Group::CorrelationId, const Error&) = 0;
};

/// The connections over which a watcher sends group commands: two for each target, one for quick commands and one for
/// waits, because the target delays its answer to a wait.
class GroupConnections {
public:
    explicit GroupConnections(GroupConnectionsDelegate&);

    void send(Instant now, const Group::SendCommand&);
    void handleConnectionOpened(Instant now, ConnectionId);
    void handleAnswer(Instant now, const TargetAnswer&);
    void handleConnectionLoss(Instant now, ConnectionId, const Error&);
    /// Closes connections on which a connect or a command has timed out, and fails their commands.
    void closeUnresponsive(Instant now);
    /// Closes all connections.
    void shutDown();

    [[nodiscard]] bool holds(ConnectionId connection) const { return m_byConnection.contains(connection); }
    [[nodiscard]] std::size_t connections() const { return m_byConnection.size(); }

private:
    /// Selects one of the two connections to a target.
    enum class Lane : std::uint8_t {
        Quick,
        Wait,
    };
    struct ChannelKey {
        TargetName target;
        Lane lane { Lane::Quick };

        auto operator<=>(const ChannelKey&) const = default;
    };
    /// One connection to a target and the commands that wait for it.
    struct Channel {
        std::optional<ConnectionId> connection;
        bool isOpen { false };
        std::deque<Group::SendCommand> queue;
        std::optional<Group::SendCommand> inFlight;
        /// Time at which the command in flight was sent; before the connection is open, the time of the connect.
        Instant sentAt {};
    };

    void sendNext(Instant now, Channel&);
    void failCommands(Instant now, const ChannelKey&, Channel&, const Error&);
    Channel* find(ConnectionId);

    GroupConnectionsDelegate& m_delegate;
    std::map<ChannelKey, Channel> m_channels;
    std::map<ConnectionId, ChannelKey> m_byConnection;
};

} // namespace Auburnpost
