#pragma once

#include "base/Time.h"

#include <cstddef>
#include <optional>

namespace Auburnpost::Proxy {

/// Failure detector for one target, fed with the requests and connection attempts sent to it and their responses. Slow
/// responses and refusals for lack of capacity count as responses.
class TargetHealth {
public:
    /// A target with a request unanswered for this long on top of the round trip is suspect: new statements are sent to
    /// other targets.
    static constexpr Duration suspectTimeout = std::chrono::milliseconds(200);
    /// A target is unresponsive once a request has been unanswered for this long, and a connection attempt for
    /// connectTimeout.
    static constexpr Duration unresponsiveTimeout = std::chrono::milliseconds(700);
    static constexpr Duration connectTimeout = std::chrono::milliseconds(350);
    /// Number of consecutive refused connection attempts after which the target counts as down.
    static constexpr std::size_t refusalsUntilDown = 2;

    /// Records that a request was sent.
    void recordRequest(Instant now);
    /// Records that a connection attempt was started.
    void recordConnectAttempt(Instant now);
    /// Records a response of any kind, which clears all suspicion.
    /// @param roundTrip time from the request to the response; empty when it does not measure the network path.
    void recordResponse(Instant now, std::optional<Duration> roundTrip);
    /// Records that a connection attempt was refused.
    void recordRefusal(Instant now);
    /// Restarts the timeouts of unanswered requests after a pause of this process.
    void discountPause(Instant now);

    [[nodiscard]] bool isRefusing() const { return m_refusals >= refusalsUntilDown; }
    /// @return whether the last connection attempt that ended was refused.
    [[nodiscard]] bool hasRefused() const { return m_refusals > 0; }
    /// @return whether new statements should be sent to other targets.
    [[nodiscard]] bool isSuspect(Instant now) const;
    /// @return whether neither the established connections nor a new connection attempt brought a response.
    [[nodiscard]] bool isUnresponsive(Instant now) const;
    /// @return whether a connection attempt is needed to distinguish a dead connection from an unresponsive target.
    [[nodiscard]] bool needsConnectProbe(Instant now) const;
    [[nodiscard]] bool isDown(Instant now) const { return isRefusing() || isUnresponsive(now); }
    [[nodiscard]] Duration roundTrip() const { return m_roundTrip; }
    [[nodiscard]] std::optional<Instant> lastResponseAt() const { return m_lastResponseAt; }

private:
    std::optional<Instant> m_unansweredSince;
    std::optional<Instant> m_connectingSince;
    std::optional<Instant> m_lastResponseAt;
    std::size_t m_refusals { 0 };
    Duration m_roundTrip {};
};

} // namespace Auburnpost::Proxy
