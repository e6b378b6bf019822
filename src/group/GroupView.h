#pragma once

#include "base/Time.h"
#include "group/GroupMember.h"
#include "message/TargetCommand.h"

#include <optional>
#include <string>
#include <vector>

namespace Auburnpost::Group {

/// The primary as far as this watcher knows.
struct PrimaryView {
    TargetName target;
    Term term;
    /// Whether answers may be given from the term.
    bool open { false };
    /// Whether this watcher suspects it at present.
    bool suspected { false };
};

/// One member as far as this watcher knows.
struct MemberView {
    GroupMember member;
    /// The last standing seen; empty before the first.
    std::optional<TargetStanding> standing;
    /// When the command was sent that brought the standing.
    Instant standingSentAt {};
    /// When the member last answered.
    std::optional<Instant> heardAt;
    /// Whether it answered within the silence limit and did not refuse the last connect.
    bool reachable { false };
    bool leaving { false };
};

/// State of one watch, for the state page.
struct GroupDump {
    DatabaseName database;
    std::optional<PrimaryView> primary;
    std::vector<MemberView> members;
    std::vector<HostName> watchers;
    /// State of the takeover chart.
    std::string takeoverState;
    std::string suspicion;
    LogPoint durablePoint;
    std::size_t durabilityWaits { 0 };
    std::size_t confirmationWaits { 0 };
    std::size_t commandsInFlight { 0 };
    std::size_t ageSamples { 0 };
    /// Attempts that this watcher started and promotions that it saw accepted.
    std::uint64_t attempts { 0 };
    std::uint64_t promotions { 0 };
};

} // namespace Auburnpost::Group
