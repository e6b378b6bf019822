#pragma once

#include "engine/HomeOperation.h"
#include "engine/OutcomeRecord.h"
#include "message/WorkReply.h"

#include <optional>

namespace Auburnpost {

/// What writes, cancellations and lookups share: one connection to the primary, and a reply that waits until a
/// majority holds what it rests on.
class PrimaryOperation : public HomeOperation {
public:
    using HomeOperation::HomeOperation;

    void start(Instant now) override;
    void granted(Instant now, ConnectionId) override;
    void durable(Instant now) override;
    void notDurable(Instant now, Group::NoProofReason) override;
    void expired(Instant now) override;
    [[nodiscard]] bool holdsPrimary() const override { return !isReplied() && (m_connection || m_pending); }

protected:
    /// Sends the first flight on the connection.
    virtual void begin(Instant now) = 0;
    /// @return whether something was sent that the target may carry out although the answer is missing.
    [[nodiscard]] virtual bool mayHaveRun() const = 0;

    void send(Instant now, std::vector<Statement>);
    void giveBack(Instant now, ConnectionFate);
    /// The connection is gone already.
    void forgetConnection() { m_connection.reset(); }
    /// Replies with @p done once a majority holds @p point.
    void replyWhenDurable(Instant now, WorkDone done, const LogPoint& point);
    /// Replies "not run" with @p error once a majority holds @p point, which proves it.
    void refuseWhenDurable(Instant now, Error error, const LogPoint& point);
    /// Replies unknown or not run, as mayHaveRun() says.
    void replyFailed(Instant now, Error);
    [[nodiscard]] bool awaitsProof() const { return m_pending.has_value(); }
    [[nodiscard]] const TargetName& target() const { return m_target; }

private:
    void awaitProof(Instant now, WorkReply, const LogPoint&);

    TargetName m_target;
    std::optional<ConnectionId> m_connection;
    /// The reply that waits for its proof.
    std::optional<WorkReply> m_pending;
};

} // namespace Auburnpost
