#pragma once

#include "engine/HomeOperation.h"
#include "route/Freshness.h"

#include <optional>

namespace Auburnpost {

/// A read, on a replica that is fresh enough, otherwise on the primary. Earlier knowledge of a target's log only
/// selects the target; the log position that comes with the answer decides whether the answer is fresh enough.
class ReadOperation : public HomeOperation {
public:
    ReadOperation(OperationId, HomeRequest, Instant deadline, HomeServices&);

    void start(Instant now) override;
    void onConnectionGranted(Instant now, ConnectionId) override;
    void onConnectionRefused(Instant now, const Error&, std::optional<Duration> retryAfter) override;
    void onAnswer(Instant now, const TargetAnswer&) override;
    void onConnectionLost(Instant now, const Error&) override;
    void onConfirmed(Instant now, const Group::Confirmed&) override;
    void onNotConfirmed(Instant now, Group::WaitFailureReason) override;
    void onDeadline(Instant now) override;

private:
    enum class Confirmation : std::uint8_t {
        /// The target's state in the answer is sufficient.
        NotNeeded,
        Pending,
        Received,
    };

    void requestReplica(Instant now, const TargetName&);
    void requestPrimary(Instant now);
    void handleReplicaAnswer(Instant now);
    void handlePrimaryAnswer(Instant now);
    void replyResult(Instant now, std::optional<Duration> age);

    Route::Freshness m_freshness;
    TargetName m_target;
    bool m_isOnPrimary { false };
    bool m_hasTriedReplica { false };
    Confirmation m_confirmation { Confirmation::NotNeeded };
    Instant m_confirmationRequestedAt {};
    std::optional<Term> m_confirmedTerm;
    ConnectionId m_connection;
    bool m_holdsConnection { false };
    std::optional<TargetAnswer> m_answer;
};

} // namespace Auburnpost
