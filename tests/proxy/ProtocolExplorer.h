#pragma once

#include "proxy/ExplorationResult.h"
#include "proxy/ModelScenario.h"

#include <string>
#include <unordered_set>
#include <vector>

namespace Auburnpost::Proxy {

/// Plays the schedules of one scenario, each from the start, as the product's objects are not copied.
///
/// All schedules within the scenario's budget are explored breadth first. These reductions apply:
/// - Messages are delivered oldest first, and those sent in one step together, unless one is held back; each message
///   that is held back counts against the budget of delays. It may arrive at any later step, a command or a call only
///   until its connection is reset.
/// - Time passes while nothing is due, until something happens; a single tick counts against the budget of delays.
/// - A fault is played on one of the replicas that nothing distinguishes.
/// - A state that was reached before is not continued. States are compared by a hash in which ages count in ticks and
///   timers that the product keeps to itself are derived from its calls.
class ProtocolExplorer {
public:
    /// @param maxStates number of states after which the exploration ends.
    /// @param maxDuration time after which the exploration ends.
    ProtocolExplorer(ModelScenario, std::size_t maxStates, std::chrono::seconds maxDuration);

    /// Explores to the scenario's depth. The recovery is played as well for a sample of the states whose next steps are
    /// all known, and of those at which the exploration ends.
    [[nodiscard]] ExplorationResult explore() const;
    /// Plays random schedules of @p steps steps each, and the recovery after each.
    [[nodiscard]] ExplorationResult playRandom(std::size_t schedules, std::size_t steps, std::uint64_t seed) const;
    /// @return a schedule in words, one line for each event.
    [[nodiscard]] std::string describe(const ModelSchedule&) const;

private:
    static void replay(ProtocolModel&, const ModelSchedule&);
    /// Plays a schedule with each possible next step. Those that lead to a new state are added to @p next.
    void expand(const ModelSchedule&, std::unordered_set<std::uint64_t>& seen, std::vector<ModelSchedule>& next,
        ExplorationResult&) const;
    /// Plays a schedule and the recovery after it.
    void checkRecovery(const ModelSchedule&, ExplorationResult&) const;

    ModelScenario m_scenario;
    std::size_t m_maxStates;
    std::chrono::seconds m_maxDuration;
};

} // namespace Auburnpost::Proxy
