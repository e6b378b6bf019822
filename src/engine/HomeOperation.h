#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "engine/OperationId.h"
#include "group/GroupAction.h"
#include "message/HomeRequest.h"
#include "message/TargetCommand.h"

namespace Auburnpost {

class HomeServices;
enum class ConnectionDisposition : std::uint8_t;

/// One request in execution on a home, from its start to its reply. Each kind of request has a subclass.
class HomeOperation {
public:
    HomeOperation(OperationId, HomeRequest, Instant deadline, HomeServices&);
    virtual ~HomeOperation() = default;
    HomeOperation(const HomeOperation&) = delete;
    HomeOperation& operator=(const HomeOperation&) = delete;

    [[nodiscard]] OperationId id() const { return m_id; }
    [[nodiscard]] const HomeRequest& homeRequest() const { return m_homeRequest; }
    [[nodiscard]] Instant deadline() const { return m_deadline; }
    [[nodiscard]] bool isReplied() const { return m_replied; }
    /// @return whether a planned switchover has to wait for this operation.
    [[nodiscard]] virtual bool blocksSwitchover() const { return false; }
    /// @return whether the operation is complete and can be removed.
    [[nodiscard]] virtual bool isFinished() const { return m_replied; }

    /// Starts the operation, or restarts it after it was held for a primary.
    virtual void start(Instant now) = 0;
    /// The requested connection was granted.
    virtual void onConnectionGranted(Instant now, ConnectionId) = 0;
    /// The requested connection was refused; nothing was sent.
    virtual void onConnectionRefused(Instant now, const Error&, std::optional<Duration> retryAfter);
    virtual void onAnswer(Instant now, const TargetAnswer&) = 0;
    /// The connection was lost; the target may have executed the last statements sent.
    virtual void onConnectionLost(Instant now, const Error&) = 0;
    /// A majority holds the log point that was passed to awaitDurable().
    virtual void onDurable(Instant) { }
    virtual void onNotDurable(Instant, Group::WaitFailureReason) { }
    virtual void onConfirmed(Instant, const Group::Confirmed&) { }
    virtual void onNotConfirmed(Instant, Group::WaitFailureReason) { }
    /// A primary of a higher term was promoted during the operation.
    virtual void onPrimaryReplaced(Instant) { }
    /// The deadline passed.
    virtual void onDeadline(Instant now) = 0;

protected:
    HomeServices& services() { return m_services; }
    void replySuccess(Instant now, struct HomeResult);
    void replyNotRun(Instant now, Error, std::optional<Duration> retryAfter = std::nullopt);
    void replyUnknown(Instant now, Error);
    [[nodiscard]] Error error(ErrorCode, std::string step, std::string message) const;

private:
    OperationId m_id;
    HomeRequest m_homeRequest;
    Instant m_deadline;
    HomeServices& m_services;
    bool m_replied { false };
};

} // namespace Auburnpost
