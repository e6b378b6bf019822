#pragma once

#include "base/Ids.h"
#include "base/Random.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "member/MembershipSettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Member {

/// Decides whom to probe and when a probe has failed: one member per protocol period, each once per round.
class Prober {
public:
    explicit Prober(MembershipSettings);

    enum class Step : std::uint8_t {
        /// Nothing to do yet.
        Wait,
        /// Send the ping (again) to target().
        Ping,
        /// Ask others to probe target().
        AskOthers,
        /// The period ended without an answer from target().
        Failed,
        /// The period ended; choose another target with begin().
        Choose,
    };

    /// Sets the first period at a random phase, so that hosts started together don't probe in step.
    void start(Instant now, RandomEngine&);
    /// @return the next step that is due; to be asked until it is Wait.
    Step next(Instant now);
    /// Begins a period with the next member of the round.
    /// @param live members that can be probed. @return the chosen one; empty when there is none.
    std::optional<HostName> begin(Instant now, const std::vector<HostName>& live, RandomEngine&);
    /// An answer came. @return whether it was to the probe under way.
    bool answered(std::uint32_t sequence, const HostName& about);
    /// Puts every deadline off, after a pause of this process.
    void postpone(Duration);

    [[nodiscard]] const HostName& target() const { return m_target; }
    [[nodiscard]] std::uint32_t sequence() const { return m_sequence; }

    /// A probe on behalf of another host.
    struct Relay {
        SocketAddress asker;
        std::uint32_t askerSequence { 0 };
        HostName target;
        Instant expires;
    };
    /// Keeps a relay. @return the sequence number for its ping; empty when there are too many.
    std::optional<std::uint32_t> addRelay(Instant now, Relay);
    /// @return the relay that an answer is for.
    std::optional<Relay> takeRelay(std::uint32_t sequence, const HostName& about);

private:
    void chooseRound(const std::vector<HostName>& live, RandomEngine&);

    MembershipSettings m_settings;
    std::vector<HostName> m_round;
    HostName m_target;
    std::uint32_t m_sequence { 0 };
    std::uint32_t m_lastSequence { 0 };
    bool m_waiting { false };
    bool m_repeated { false };
    bool m_asked { false };
    Instant m_periodStart;
    std::map<std::uint32_t, Relay> m_relays;
};

} // namespace Auburnpost::Member
