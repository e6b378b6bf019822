#include "engine/ReadOperation.h"

#include "engine/HomeServices.h"
#include "engine/TargetFaults.h"
#include "message/WorkReply.h"

namespace Auburnpost {

namespace {

    /// Begin, the statement, commit.
    constexpr std::size_t readFlight = 3;

} // namespace

ReadOperation::ReadOperation(OperationId id, Work work, Instant deadline, HomeServices& services)
    : HomeOperation(id, std::move(work), deadline, services)
    , m_freshness { this->work().required, this->work().maxAge }
{
}

void ReadOperation::start(Instant now)
{
    if (!m_freshness.asOfNow() && !m_replicaTried) {
        if (const auto replica = services().chooseReplica(now, m_freshness)) {
            askReplica(now, *replica);
            return;
        }
    }
    askPrimary(now);
}

void ReadOperation::askReplica(Instant now, const TargetName& target)
{
    m_replicaTried = true;
    m_onPrimary = false;
    m_target = target;
    services().requestConnection(now, id(), target, { Limit::Priority::Browsing, false });
}

void ReadOperation::askPrimary(Instant now)
{
    const auto primary = services().readablePrimary(now);
    if (!primary) {
        services().holdForPrimary(id());
        return;
    }
    m_onPrimary = true;
    m_target = primary->target;
    m_provenTerm.reset();
    // A session's own point needs no proof: the answer's lineage shows it. An age does, as a replaced primary
    // does not know that it is one.
    m_proof = m_freshness.maxAge ? Proof::Awaited : Proof::NotWanted;
    m_proofAskedAt = now;
    services().requestConnection(now, id(), m_target, { Limit::Priority::Urgent, false });
    if (m_proof == Proof::Awaited)
        services().confirm(now, id(), deadline());
}

void ReadOperation::granted(Instant now, ConnectionId connection)
{
    m_connection = connection;
    m_holdsConnection = true;
    services().send(now, connection, { { "BEGIN READ ONLY", {} }, work().statement, { "COMMIT", {} } });
}

void ReadOperation::refused(Instant now, const Error& error, std::optional<Duration> retryAfter)
{
    if (isReplied())
        return;
    if (!m_onPrimary && error.code != ErrorCode::DeadlineExceeded && error.code != ErrorCode::Overloaded) {
        askPrimary(now);
        return;
    }
    replyNotRun(now, error, retryAfter);
}

void ReadOperation::answered(Instant now, const TargetAnswer& answer)
{
    services().release(now, m_connection, answer.fault ? ConnectionFate::RollBack : ConnectionFate::Reuse);
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
    if (answer.results.size() != readFlight) {
        replyNotRun(now, error(ErrorCode::Internal, "read", "the target's answer is not whole"));
        return;
    }
    m_answer = answer;
    if (m_onPrimary)
        primaryAnswered(now);
    else
        replicaAnswered(now);
}

void ReadOperation::replicaAnswered(Instant now)
{
    const auto age = services().ageOf(now, m_answer->standing.end);
    if (m_freshness.isMetBy(m_answer->standing.end, age)) {
        replyResult(now, age);
        return;
    }
    m_answer.reset();
    askPrimary(now);
}

void ReadOperation::primaryAnswered(Instant now)
{
    if (m_proof == Proof::Awaited)
        return;
    const auto& standing = m_answer->standing;
    const bool isProven
        = m_proof == Proof::NotWanted || (standing.role == TargetRole::Primary && standing.end.term == m_provenTerm);
    if (!isProven || !standing.end.covers(m_freshness.required)) {
        replyNotRun(now, error(ErrorCode::NoFreshTarget, "read", "the primary was replaced meanwhile"));
        return;
    }
    std::optional<Duration> age = services().ageOf(now, standing.end);
    if (m_proof == Proof::Given)
        age = std::chrono::duration_cast<Duration>(now - m_proofAskedAt);
    replyResult(now, age);
}

void ReadOperation::replyResult(Instant now, std::optional<Duration> age)
{
    WorkDone done;
    done.result = std::move(m_answer->results[1]);
    done.servedBy = m_target.value() + " " + std::string(m_onPrimary ? "primary" : "replica");
    done.age = age;
    replyDone(now, std::move(done));
}

void ReadOperation::connectionLost(Instant now, const Error& error)
{
    m_holdsConnection = false;
    if (isReplied())
        return;
    if (!m_onPrimary) {
        askPrimary(now);
        return;
    }
    replyNotRun(now, error);
}

void ReadOperation::confirmed(Instant now, const Group::Confirmed& proof)
{
    if (isReplied() || m_proof != Proof::Awaited)
        return;
    m_proof = Proof::Given;
    m_provenTerm = proof.term;
    if (m_answer)
        primaryAnswered(now);
}

void ReadOperation::notConfirmed(Instant now, Group::NoProofReason)
{
    if (isReplied() || m_proof != Proof::Awaited)
        return;
    replyNotRun(now, error(ErrorCode::NoPrimary, "confirm", "no majority confirms the primary"));
}

void ReadOperation::expired(Instant now)
{
    if (m_holdsConnection)
        services().release(now, m_connection, ConnectionFate::Discard);
    m_holdsConnection = false;
    if (!isReplied())
        replyNotRun(now, error(ErrorCode::DeadlineExceeded, "read", "no answer within the time limit"));
}

} // namespace Auburnpost
