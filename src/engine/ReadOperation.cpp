#include "engine/ReadOperation.h"

#include "engine/HomeServices.h"
#include "engine/TargetFaults.h"
#include "message/HomeReply.h"

namespace Auburnpost {

namespace {

    /// Results of BEGIN, the statement and COMMIT.
    constexpr std::size_t readResultCount = 3;

} // namespace

ReadOperation::ReadOperation(OperationId id, HomeRequest homeRequest, Instant deadline, HomeServices& services)
    : HomeOperation(id, std::move(homeRequest), deadline, services)
    , m_freshness { this->homeRequest().required, this->homeRequest().maxAge }
{
}

void ReadOperation::start(Instant now)
{
    if (!m_freshness.needsConfirmedPrimary() && !m_hasTriedReplica) {
        if (const auto replica = services().chooseReplica(now, m_freshness)) {
            requestReplica(now, *replica);
            return;
        }
    }
    requestPrimary(now);
}

void ReadOperation::requestReplica(Instant now, const TargetName& target)
{
    m_hasTriedReplica = true;
    m_isOnPrimary = false;
    m_target = target;
    services().requestConnection(now, id(), target, { Limit::Priority::Browsing, false });
}

void ReadOperation::requestPrimary(Instant now)
{
    const auto primary = services().readablePrimary(now);
    if (!primary) {
        services().holdForPrimary(id());
        return;
    }
    m_isOnPrimary = true;
    m_target = primary->target;
    m_confirmedTerm.reset();
    // A session's own log point needs no confirmation: the term and position in the answer show whether it is covered.
    // A maximum age needs one, as a replaced primary does not know that it has been replaced.
    m_confirmation = m_freshness.maxAge ? Confirmation::Pending : Confirmation::NotNeeded;
    m_confirmationRequestedAt = now;
    services().requestConnection(now, id(), m_target, { Limit::Priority::Urgent, false });
    if (m_confirmation == Confirmation::Pending)
        services().confirm(now, id(), deadline());
}

void ReadOperation::onConnectionGranted(Instant now, ConnectionId connection)
{
    m_connection = connection;
    m_holdsConnection = true;
    services().send(now, connection, { { "BEGIN READ ONLY", {} }, homeRequest().statement, { "COMMIT", {} } });
}

void ReadOperation::onConnectionRefused(Instant now, const Error& error, std::optional<Duration> retryAfter)
{
    if (isReplied())
        return;
    if (!m_isOnPrimary && error.code != ErrorCode::DeadlineExceeded && error.code != ErrorCode::Overloaded) {
        requestPrimary(now);
        return;
    }
    replyNotRun(now, error, retryAfter);
}

void ReadOperation::onAnswer(Instant now, const TargetAnswer& answer)
{
    services().release(
        now, m_connection, answer.fault ? ConnectionDisposition::RollBack : ConnectionDisposition::Reuse);
    m_holdsConnection = false;
    if (isReplied())
        return;
    if (answer.fault) {
        auto error = statementError(*answer.fault, "read", m_target.value());
        if (answer.fault->sqlState == SqlState::readOnly)
            error.code = ErrorCode::ReadOnly;
        replyNotRun(now, std::move(error));
        return;
    }
    if (answer.results.size() != readResultCount) {
        replyNotRun(now, error(ErrorCode::Internal, "read", "the target's answer is not whole"));
        return;
    }
    m_answer = answer;
    if (m_isOnPrimary)
        handlePrimaryAnswer(now);
    else
        handleReplicaAnswer(now);
}

void ReadOperation::handleReplicaAnswer(Instant now)
{
    const auto age = services().ageOf(now, m_answer->targetStatus.end);
    if (m_freshness.isSatisfiedBy(m_answer->targetStatus.end, age)) {
        replyResult(now, age);
        return;
    }
    m_answer.reset();
    requestPrimary(now);
}

void ReadOperation::handlePrimaryAnswer(Instant now)
{
    if (m_confirmation == Confirmation::Pending)
        return;
    const auto& targetStatus = m_answer->targetStatus;
    const bool isConfirmed = m_confirmation == Confirmation::NotNeeded
        || (targetStatus.role == TargetRole::Primary && targetStatus.end.term == m_confirmedTerm);
    if (!isConfirmed || !targetStatus.end.covers(m_freshness.required)) {
        replyNotRun(now, error(ErrorCode::NoFreshTarget, "read", "the primary was replaced meanwhile"));
        return;
    }
    std::optional<Duration> age = services().ageOf(now, targetStatus.end);
    if (m_confirmation == Confirmation::Received)
        age = std::chrono::duration_cast<Duration>(now - m_confirmationRequestedAt);
    replyResult(now, age);
}

void ReadOperation::replyResult(Instant now, std::optional<Duration> age)
{
    HomeResult success;
    success.result = std::move(m_answer->results[1]);
    success.servedBy = m_target.value() + " " + std::string(m_isOnPrimary ? "primary" : "replica");
    success.age = age;
    replySuccess(now, std::move(success));
}

void ReadOperation::onConnectionLost(Instant now, const Error& error)
{
    m_holdsConnection = false;
    if (isReplied())
        return;
    if (!m_isOnPrimary) {
        requestPrimary(now);
        return;
    }
    replyNotRun(now, error);
}

void ReadOperation::onConfirmed(Instant now, const Group::Confirmed& confirmation)
{
    if (isReplied() || m_confirmation != Confirmation::Pending)
        return;
    m_confirmation = Confirmation::Received;
    m_confirmedTerm = confirmation.term;
    if (m_answer)
        handlePrimaryAnswer(now);
}

void ReadOperation::onNotConfirmed(Instant now, Group::WaitFailureReason)
{
    if (isReplied() || m_confirmation != Confirmation::Pending)
        return;
    replyNotRun(now, error(ErrorCode::NoPrimary, "confirm", "no majority confirms the primary"));
}

void ReadOperation::onDeadline(Instant now)
{
    if (m_holdsConnection)
        services().release(now, m_connection, ConnectionDisposition::Discard);
    m_holdsConnection = false;
    if (!isReplied())
        replyNotRun(now, error(ErrorCode::DeadlineExceeded, "read", "no answer within the time limit"));
}

} // namespace Auburnpost
