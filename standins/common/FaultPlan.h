#pragma once

#include "base/Expected.h"
#include "base/Time.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Auburnpost::Standin {

/// The step of the next commit at which the target process exits.
enum class CrashPoint : std::uint8_t {
    BeforeCommit,
    /// After the commit is in the log and before the client is answered.
    AfterCommit,
    /// After a replica has applied the commit and before the client is answered.
    AfterShip,
};

/// The active faults of a stand-in, as set by `POST /faults`.
struct FaultPlan {
    /// Replaces the configured replication lag of a target or the configured lag of the platform's host list.
    std::optional<Duration> lag;
    /// Names of the peers whose traffic is blocked; "*" blocks all peers.
    std::set<std::string> cut;
    /// The platform answers no request.
    bool outage { false };
    /// Time added to the processing of each request or statement.
    Duration slow {};
    /// Share of answers, from 0 to 1, that are dropped after their request took effect.
    double loseAnswers { 0 };
    std::optional<CrashPoint> crash;

    [[nodiscard]] bool isCut(const std::string& peer) const { return cut.contains("*") || cut.contains(peer); }

    /// Parses a JSON array of faults.
    /// @return the faults, or ErrorCode::BadRequest with the reason.
    static Expected<FaultPlan> parse(std::string_view json);
};

} // namespace Auburnpost::Standin
