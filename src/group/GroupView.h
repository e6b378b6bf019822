#pragma once

#include "base/Time.h"
#include "group/GroupMember.h"
#include "message/TargetCommand.h"

#include <optional>
#include <string>
#include <vector>

namespace Auburnpost::Group {

/// The primary as this watcher knows it.
struct PrimaryView {
    TargetName target;
    Term term;
    /// Whether the term is open, so that answers may be given from it.
    bool open { false };
    /// Whether this watcher currently suspects it.
    bool suspected { false };
};

/// One member as this watcher knows it.
struct MemberView {
    GroupMember member;
    /// The last status received; empty before the first.
    std::optional<TargetStatus> lastStatus;
    /// When the command was sent whose answer brought the status.
    Instant lastStatusSentAt {};
    /// When the member last answered.
    std::optional<Instant> lastResponseAt;
    /// Whether it has answered within GroupSettings::responseTimeout and did not refuse the last connect.
    bool reachable { false };
    bool leaving { false };
};

/// State of one watch, for the state dump.
struct GroupDump {
    DatabaseName database;
    std::optional<PrimaryView> primary;
    std::vector<MemberView> members;
    std::vector<HostName> watchers;
    /// Current state of takeover.scxml.
    std::string failoverState;
    std::string suspicion;
    LogPoint durablePoint;
    std::size_t durabilityWaits { 0 };
    std::size_t confirmationWaits { 0 };
    std::size_t commandsInFlight { 0 };
    std::size_t ageSamples { 0 };
    /// Attempts that this watcher started, and promotions among them that were accepted.
    std::uint64_t attempts { 0 };
    std::uint64_t promotions { 0 };
};

} // namespace Auburnpost::Group
