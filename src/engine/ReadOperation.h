#pragma once

#include "engine/HomeOperation.h"
#include "route/Freshness.h"

#include <optional>

namespace Auburnpost {

/// A read: on a replica that is fresh enough, else on the primary. What the target says of its log with the answer
/// decides whether the answer is fresh enough; what was known before only decides where to ask.
class ReadOperation : public HomeOperation {
public:
    ReadOperation(OperationId, Work, Instant deadline, HomeServices&);

    void start(Instant now) override;
    void granted(Instant now, ConnectionId) override;
    void refused(Instant now, const Error&, std::optional<Duration> retryAfter) override;
    void answered(Instant now, const TargetAnswer&) override;
    void connectionLost(Instant now, const Error&) override;
    void confirmed(Instant now, const Group::Confirmed&) override;
    void notConfirmed(Instant now, Group::NoProofReason) override;
    void expired(Instant now) override;

private:
    enum class Proof : std::uint8_t {
        /// The standing of the answer is enough.
        NotWanted,
        Awaited,
        Given,
    };

    void askReplica(Instant now, const TargetName&);
    void askPrimary(Instant now);
    void replicaAnswered(Instant now);
    void primaryAnswered(Instant now);
    void replyResult(Instant now, std::optional<Duration> age);

    Route::Freshness m_freshness;
    TargetName m_target;
    bool m_onPrimary { false };
    bool m_replicaTried { false };
    Proof m_proof { Proof::NotWanted };
    Instant m_proofAskedAt {};
    std::optional<Term> m_provenTerm;
    ConnectionId m_connection;
    bool m_holdsConnection { false };
    std::optional<TargetAnswer> m_answer;
};

} // namespace Auburnpost
