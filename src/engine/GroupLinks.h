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

/// What the links ask of their owner.
class GroupLinksOwner {
public:
    virtual ~GroupLinksOwner() = default;
    virtual ConnectionId openConnection(const TargetName&) = 0;
    virtual void closeConnection(ConnectionId) = 0;
    virtual void sendStatements(ConnectionId, std::vector<Statement>) = 0;
    virtual void groupCommandAnswered(Instant now, const TargetName&, Group::CorrelationId, const GroupStatus&) = 0;
    virtual void groupCommandFailed(Instant now, const TargetName&, Group::CorrelationId, const Error&) = 0;
};

/// The connections over which a watcher sends group commands: for each target one for quick commands and one for
/// waits, whose answers the target holds back.
class GroupLinks {
public:
    explicit GroupLinks(GroupLinksOwner&);

    void send(Instant now, const Group::SendCommand&);
    void opened(Instant now, ConnectionId);
    void answered(Instant now, const TargetAnswer&);
    void lost(Instant now, ConnectionId, const Error&);
    /// Gives up on connections whose command has been unanswered for too long.
    void checkTime(Instant now);
    /// Closes all of them.
    void shutDown();

    [[nodiscard]] bool holds(ConnectionId connection) const { return m_byConnection.contains(connection); }
    [[nodiscard]] std::size_t connections() const { return m_byConnection.size(); }

private:
    enum class Lane : std::uint8_t {
        Quick,
        Wait,
    };
    struct LinkKey {
        TargetName target;
        Lane lane { Lane::Quick };

        auto operator<=>(const LinkKey&) const = default;
    };
    struct Link {
        std::optional<ConnectionId> connection;
        bool open { false };
        std::deque<Group::SendCommand> queue;
        std::optional<Group::SendCommand> inFlight;
        Instant sentAt {};
    };

    void pump(Instant now, Link&);
    void failAll(Instant now, const LinkKey&, Link&, const Error&);
    Link* find(ConnectionId);

    GroupLinksOwner& m_owner;
    std::map<LinkKey, Link> m_links;
    std::map<ConnectionId, LinkKey> m_byConnection;
};

} // namespace Auburnpost
