#pragma once

#include "base/Expected.h"
#include "base/Time.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Auburnpost::Standin {

/// The step of the next commit at which the process exits.
enum class CrashPoint : std::uint8_t {
    BeforeCommit,
    AfterCommit,
    AfterShip,
};

/// The faults in force on a stand-in, as `POST /faults` lists them.
struct FaultPlan {
    /// Replication lag of a target, or lag of the platform's host list, in place of the setting.
    std::optional<Duration> lag;
    /// Names of the peers that are cut off; "*" is every one.
    std::set<std::string> cut;
    bool outage { false };
    /// Added to each answer's time.
    Duration slow {};
    /// Share of answers that are lost after their request took effect.
    double loseAnswers { 0 };
    std::optional<CrashPoint> crash;

    [[nodiscard]] bool isCut(const std::string& peer) const { return cut.contains("*") || cut.contains(peer); }

    /// Reads a JSON list of faults.
    /// @return the faults, or ErrorCode::BadRequest with the reason.
    static Expected<FaultPlan> parse(std::string_view json);
};

} // namespace Auburnpost::Standin
