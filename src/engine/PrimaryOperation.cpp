#include "engine/PrimaryOperation.h"

#include "engine/HomeServices.h"

namespace Auburnpost {

void PrimaryOperation::start(Instant now)
{
    const auto primary = services().writablePrimary(now);
    if (!primary) {
        services().holdForPrimary(id());
        return;
    }
    m_target = primary->target;
    services().requestConnection(now, id(), m_target, { Limit::Priority::Urgent, false });
}

void PrimaryOperation::onConnectionGranted(Instant now, ConnectionId connection)
{
    m_connection = connection;
    sendFirstStatements(now);
}

void PrimaryOperation::send(Instant now, std::vector<Statement> statements)
{
    services().send(now, *m_connection, std::move(statements));
}

void PrimaryOperation::releaseConnection(Instant now, ConnectionDisposition disposition)
{
    if (m_connection)
        services().release(now, *m_connection, disposition);
    m_connection.reset();
}

void PrimaryOperation::replyWhenDurable(Instant now, HomeResult success, const LogPoint& point)
{
    success.durable = point;
    success.servedBy = m_target.value() + " primary";
    awaitMajority(now, std::move(success), point);
}

void PrimaryOperation::replyNotRunWhenDurable(Instant now, Error error, const LogPoint& point)
{
    awaitMajority(now, HomeFailure { FailedOutcome::NotRun, std::move(error), std::nullopt }, point);
}

void PrimaryOperation::awaitMajority(Instant now, HomeReply reply, const LogPoint& point)
{
    m_pendingReply = std::move(reply);
    services().awaitDurable(now, id(), point, deadline());
}

void PrimaryOperation::onDurable(Instant now)
{
    if (isReplied() || !m_pendingReply)
        return;
    if (auto* success = std::get_if<HomeResult>(&*m_pendingReply)) {
        replySuccess(now, std::move(*success));
        return;
    }
    auto& failure = std::get<HomeFailure>(*m_pendingReply);
    replyNotRun(now, std::move(failure.error), failure.retryAfter);
}

void PrimaryOperation::onNotDurable(Instant now, Group::WaitFailureReason reason)
{
    if (isReplied() || !m_pendingReply)
        return;
    replyUnknown(now, error(ErrorCode::NoPrimary, "await majority", std::string(Group::toString(reason))));
}

void PrimaryOperation::replyFailure(Instant now, Error error)
{
    if (mayHaveRun())
        replyUnknown(now, std::move(error));
    else
        replyNotRun(now, std::move(error));
}

void PrimaryOperation::onDeadline(Instant now)
{
    releaseConnection(now, ConnectionDisposition::Discard);
    if (!isReplied())
        replyFailure(now, error(ErrorCode::DeadlineExceeded, "write", "no answer within the time limit"));
}

} // namespace Auburnpost
