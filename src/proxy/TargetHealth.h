#pragma once

#include "base/Time.h"

#include <cstddef>
#include <optional>

namespace Auburnpost::Proxy {

/// Whether a target answers, from the questions and connects that it was sent. Slowness and refusals for lack of
/// capacity count as answers.
class TargetHealth {
public:
    /// A question went unanswered for this long on top of the round trip: new work goes elsewhere.
    static constexpr Duration doubtLimit = std::chrono::milliseconds(200);
    /// Unanswered for so long, and a fresh connect for connectLimit: the target counts as silent.
    static constexpr Duration silenceLimit = std::chrono::milliseconds(700);
    static constexpr Duration connectLimit = std::chrono::milliseconds(350);
    /// Refused connects in a row from which the target counts as down.
    static constexpr std::size_t refusalLimit = 2;

    void asked(Instant now);
    void connecting(Instant now);
    /// Any answer came.
    /// @param roundTrip how long it took; empty when that says nothing about the path.
    void heard(Instant now, std::optional<Duration> roundTrip);
    void refused(Instant now);
    /// This host itself did not run: unanswered questions start anew.
    void forgiveSilence(Instant now);

    [[nodiscard]] bool isRefusing() const { return m_refusals >= refusalLimit; }
    /// @return whether new work should go elsewhere.
    [[nodiscard]] bool isDoubtful(Instant now) const;
    /// @return whether neither the held connections nor a fresh one brought an answer.
    [[nodiscard]] bool isSilent(Instant now) const;
    /// @return whether a fresh connect should tell a silent connection from a silent target.
    [[nodiscard]] bool needsFreshConnect(Instant now) const;
    [[nodiscard]] bool isDown(Instant now) const { return isRefusing() || isSilent(now); }
    [[nodiscard]] Duration roundTrip() const { return m_roundTrip; }
    [[nodiscard]] std::optional<Instant> lastHeard() const { return m_heardAt; }

private:
    std::optional<Instant> m_askedAt;
    std::optional<Instant> m_connectingAt;
    std::optional<Instant> m_heardAt;
    std::size_t m_refusals { 0 };
    Duration m_roundTrip {};
};

} // namespace Auburnpost::Proxy
