#pragma once

#include "engine/HomeOperation.h"
#include "engine/OutcomeRecord.h"
#include "message/HomeReply.h"

#include <optional>

namespace Auburnpost {

/// Base of writes, cancellations and lookups. They use one connection to the primary, and a reply waits until a
/// majority holds the log point that it depends on.
class PrimaryOperation : public HomeOperation {
public:
    using HomeOperation::HomeOperation;

    void start(Instant now) override;
    void onConnectionGranted(Instant now, ConnectionId) override;
    void onDurable(Instant now) override;
    void onNotDurable(Instant now, Group::WaitFailureReason) override;
    void onDeadline(Instant now) override;
    [[nodiscard]] bool blocksSwitchover() const override { return !isReplied() && (m_connection || m_pendingReply); }

protected:
    /// Sends the first statements on the connection.
    virtual void sendFirstStatements(Instant now) = 0;
    /// @return whether statements were sent that the target may execute although no answer arrived.
    [[nodiscard]] virtual bool mayHaveRun() const = 0;

    void send(Instant now, std::vector<Statement>);
    void releaseConnection(Instant now, ConnectionDisposition);
    /// Forgets the connection without releasing it, as it has been lost.
    void forgetConnection() { m_connection.reset(); }
    /// Replies with @p success once a majority holds @p point.
    void replyWhenDurable(Instant now, HomeResult success, const LogPoint& point);
    /// Replies "not run" with @p error once a majority holds @p point, which proves it.
    void replyNotRunWhenDurable(Instant now, Error error, const LogPoint& point);
    /// Replies "unknown" if mayHaveRun(), otherwise "not run".
    void replyFailure(Instant now, Error);
    [[nodiscard]] bool isAwaitingMajority() const { return m_pendingReply.has_value(); }
    [[nodiscard]] const TargetName& target() const { return m_target; }

private:
    void awaitMajority(Instant now, HomeReply, const LogPoint&);

    TargetName m_target;
    std::optional<ConnectionId> m_connection;
    /// The reply to send once a majority holds its log point.
    std::optional<HomeReply> m_pendingReply;
};

} // namespace Auburnpost
