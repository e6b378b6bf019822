#pragma once

#include "proxy/ModelChoice.h"
#include "proxy/ModelMessage.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace Auburnpost::Proxy {

/// The state in which the schedules of ProtocolModel begin, and the budget of each schedule.
struct ModelScenario {
    enum class Start : std::uint8_t {
        /// All members work.
        Established,
        /// The primary has just crashed.
        PrimaryCrashed,
        /// A replica has just started and received a commit, and the primary has crashed.
        PrimaryCrashedAfterJoin,
        /// The primary has just announced its shutdown.
        PrimaryLeaving,
        /// The primary has just been cut off from the replicas that stay.
        PrimaryCut,
        /// The record of the last replica has just expired, the primary has been cut off from the replicas that stay,
        /// and a host has started again.
        PrimaryCutAfterLapse,
        /// One host has just been cut off from the primary.
        HostCut,
        /// The record of the last replica has just expired, and the primary has announced its shutdown.
        PrimaryLeavingAfterLapse,
        /// The primary crashed and returned after a promotion was called for, which has not taken effect when the wait
        /// for it ends.
        PromotionLate,
    };

    std::string name;
    Start start { Start::Established };
    std::size_t members { 3 };
    /// How many of the replicas announced their shutdown long ago.
    std::size_t leaving { 0 };
    std::size_t faults { 1 };
    std::size_t commits { 1 };
    /// Number of accepted calls whose effect is held back.
    std::size_t lateOrders { 0 };
    /// Number of messages of any kind that are held back, or of single ticks.
    std::size_t delays { 0 };
    /// The faults that are played; all when empty.
    std::set<ModelChoice::Kind> faultKinds {};
    /// Maximum number of steps.
    std::size_t depth { 20 };
    /// Number of ticks by which a promotion takes effect late at most.
    std::size_t maxLateTicks { 100 };
    /// Whether the recovery after schedules is played.
    bool playsRecovery { true };
    /// Whether a target that crashed may start again before the recovery.
    bool hasReturns { true };
    /// The messages that are held back, apart from late orders; all when empty.
    std::set<ModelMessage::Kind> delayKinds {};
    /// Whether one host records the members in the store, and has done so before the schedules begin.
    bool recordsMembers { true };
    /// Whether commits are sent, and their acknowledgements passed on to callers, only by hosts that use the primary.
    /// Otherwise every commit that a replica received counts, whatever the hosts know.
    bool hostsPassAnswers { false };
};

} // namespace Auburnpost::Proxy
