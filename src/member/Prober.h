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

/// Schedules the probes: one member per protocol period, every member once per round. Detects failed probes and keeps
/// the probes that this host relays for other hosts.
class Prober {
public:
    explicit Prober(MembershipSettings);

    enum class Step : std::uint8_t {
        /// No step is due.
        Wait,
        /// Repeat the ping to target().
        Ping,
        /// Ask other members to probe target().
        ProbeIndirectly,
        /// The period ended without an Ack from target().
        Failed,
        /// The period ended; start the next one with beginPeriod().
        BeginPeriod,
    };

    /// Starts the first period at a random phase, so that hosts started together do not probe simultaneously.
    void start(Instant now, RandomEngine&);
    /// @return the next step that is due. To be called repeatedly until it returns Wait.
    Step next(Instant now);
    /// Begins a period with the next member of the round.
    /// @param live sorted names of the members to probe.
    /// @return the chosen member; empty if @p live is empty.
    std::optional<HostName> beginPeriod(Instant now, const std::vector<HostName>& live, RandomEngine&);
    /// Handles an Ack.
    /// @return whether it belongs to the current probe.
    bool acceptAck(std::uint32_t sequence, const HostName& subject);
    /// Extends the deadlines of the current period after a pause of this process.
    void extendDeadlines(Duration);

    [[nodiscard]] const HostName& target() const { return m_target; }
    [[nodiscard]] std::uint32_t sequence() const { return m_sequence; }

    /// A probe relayed for another host.
    struct Relay {
        SocketAddress requester;
        std::uint32_t requesterSequence { 0 };
        HostName target;
        /// Set by addRelay().
        Instant expires;
    };
    /// Registers a relayed probe.
    /// @return the sequence number for its ping; empty if too many relayed probes are registered.
    std::optional<std::uint32_t> addRelay(Instant now, Relay);
    /// Removes the relayed probe that an Ack belongs to.
    /// @return the relayed probe; empty if there is none.
    std::optional<Relay> takeRelay(std::uint32_t sequence, const HostName& subject);

private:
    void shuffleRound(const std::vector<HostName>& live, RandomEngine&);

    MembershipSettings m_settings;
    std::vector<HostName> m_roundRemaining;
    HostName m_target;
    std::uint32_t m_sequence { 0 };
    std::uint32_t m_lastSequence { 0 };
    bool m_isAwaitingAck { false };
    bool m_hasRepeatedPing { false };
    bool m_hasProbedIndirectly { false };
    Instant m_periodStart;
    std::map<std::uint32_t, Relay> m_relays;
};

} // namespace Auburnpost::Member
