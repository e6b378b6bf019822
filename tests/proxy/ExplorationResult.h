#pragma once

#include "proxy/ModelChoice.h"
#include "proxy/ProtocolModel.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace Auburnpost::Proxy {

/// What an exploration found.
struct ExplorationResult {
    struct Finding {
        /// Number of states, or of random schedules, in which the check failed.
        std::size_t count { 0 };
        /// A shortest schedule that leads to such a state.
        ModelSchedule schedule;
        /// Whether the check fails in the recovery after this schedule.
        bool isInRecovery { false };
    };

    /// Distinct states that were reached, or random schedules that were played.
    std::size_t states { 0 };
    /// Number of steps to which every schedule was explored.
    std::size_t completeDepth { 0 };
    /// Number of states whose next steps were all known.
    std::size_t closed { 0 };
    /// Number of states whose recovery was played.
    std::size_t recoveries { 0 };
    std::chrono::milliseconds duration {};
    /// Findings by check.
    std::array<Finding, ProtocolModel::checkCount> findings;

    /// Adds the checks that failed at the end of a schedule, or in the recovery after it.
    void add(const ProtocolModel::FailedChecks&, const ModelSchedule&, bool isInRecovery);
    /// @return whether a schedule replaces the shortest one; one without the recovery is preferred.
    [[nodiscard]] static bool isShorter(const Finding&, const ModelSchedule&, bool isInRecovery);
    [[nodiscard]] const Finding& of(ProtocolModel::Check check) const
    {
        return findings[static_cast<std::size_t>(check)];
    }
};

} // namespace Auburnpost::Proxy
