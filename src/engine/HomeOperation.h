#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "engine/OperationId.h"
#include "group/GroupAction.h"
#include "message/TargetCommand.h"
#include "message/Work.h"

namespace Auburnpost {

class HomeServices;
enum class ConnectionFate : std::uint8_t;

/// One piece of work on its way through a home: from its start to its one reply. Each kind of work is a subclass.
class HomeOperation {
public:
    HomeOperation(OperationId, Work, Instant deadline, HomeServices&);
    virtual ~HomeOperation() = default;
    HomeOperation(const HomeOperation&) = delete;
    HomeOperation& operator=(const HomeOperation&) = delete;

    [[nodiscard]] OperationId id() const { return m_id; }
    [[nodiscard]] const Work& work() const { return m_work; }
    [[nodiscard]] Instant deadline() const { return m_deadline; }
    [[nodiscard]] bool isReplied() const { return m_replied; }
    /// @return whether a planned switch has to wait for it.
    [[nodiscard]] virtual bool holdsPrimary() const { return false; }
    /// @return whether nothing is left to be done, so that it can be dropped.
    [[nodiscard]] virtual bool isFinished() const { return m_replied; }

    /// Begins, or begins again after holding back for a primary.
    virtual void start(Instant now) = 0;
    /// The connection that was asked for is there.
    virtual void granted(Instant now, ConnectionId) = 0;
    /// There will be no connection; nothing was sent.
    virtual void refused(Instant now, const Error&, std::optional<Duration> retryAfter);
    virtual void answered(Instant now, const TargetAnswer&) = 0;
    /// The connection was lost; the target may have executed what was sent last.
    virtual void connectionLost(Instant now, const Error&) = 0;
    /// A majority holds the point that was waited for.
    virtual void durable(Instant) { }
    virtual void notDurable(Instant, Group::NoProofReason) { }
    virtual void confirmed(Instant, const Group::Confirmed&) { }
    virtual void notConfirmed(Instant, Group::NoProofReason) { }
    /// A primary of a higher term took over while the operation was under way.
    virtual void primaryReplaced(Instant) { }
    /// The deadline passed.
    virtual void expired(Instant now) = 0;

protected:
    HomeServices& services() { return m_services; }
    void replyDone(Instant now, struct WorkDone);
    void replyNotRun(Instant now, Error, std::optional<Duration> retryAfter = std::nullopt);
    void replyUnknown(Instant now, Error);
    [[nodiscard]] Error error(ErrorCode, std::string step, std::string message) const;

private:
    OperationId m_id;
    Work m_work;
    Instant m_deadline;
    HomeServices& m_services;
    bool m_replied { false };
};

} // namespace Auburnpost
