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

void PrimaryOperation::granted(Instant now, ConnectionId connection)
{
    m_connection = connection;
    begin(now);
}

void PrimaryOperation::send(Instant now, std::vector<Statement> statements)
{
    services().send(now, *m_connection, std::move(statements));
}

void PrimaryOperation::giveBack(Instant now, ConnectionFate fate)
{
    if (m_connection)
        services().release(now, *m_connection, fate);
    m_connection.reset();
}

void PrimaryOperation::replyWhenDurable(Instant now, WorkDone done, const LogPoint& point)
{
    done.durable = point;
    done.servedBy = m_target.value() + " primary";
    awaitProof(now, std::move(done), point);
}

void PrimaryOperation::refuseWhenDurable(Instant now, Error error, const LogPoint& point)
{
    awaitProof(now, WorkFailed { FailedOutcome::NotRun, std::move(error), std::nullopt }, point);
}

void PrimaryOperation::awaitProof(Instant now, WorkReply reply, const LogPoint& point)
{
    m_pending = std::move(reply);
    services().awaitDurable(now, id(), point, deadline());
}

void PrimaryOperation::durable(Instant now)
{
    if (isReplied() || !m_pending)
        return;
    if (auto* done = std::get_if<WorkDone>(&*m_pending)) {
        replyDone(now, std::move(*done));
        return;
    }
    auto& failed = std::get<WorkFailed>(*m_pending);
    replyNotRun(now, std::move(failed.error), failed.retryAfter);
}

void PrimaryOperation::notDurable(Instant now, Group::NoProofReason reason)
{
    if (isReplied() || !m_pending)
        return;
    replyUnknown(now, error(ErrorCode::NoPrimary, "await majority", std::string(Group::toString(reason))));
}

void PrimaryOperation::replyFailed(Instant now, Error error)
{
    if (mayHaveRun())
        replyUnknown(now, std::move(error));
    else
        replyNotRun(now, std::move(error));
}

void PrimaryOperation::expired(Instant now)
{
    giveBack(now, ConnectionFate::Discard);
    if (!isReplied())
        replyFailed(now, error(ErrorCode::DeadlineExceeded, "write", "no answer within the time limit"));
}

} // namespace Auburnpost
