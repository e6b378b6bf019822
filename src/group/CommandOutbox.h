#pragma once

#include "group/GroupAction.h"

#include <map>
#include <optional>

namespace Auburnpost::Group {

/// Why a command was sent; decides which component handles its answer.
enum class CommandPurpose {
    Probe,
    Confirm,
    Fence,
    Promote,
    Follow,
    Wait,
};

/// A command that has not been answered yet.
struct PendingCommand {
    TargetName target;
    GroupCommand command;
    CommandPurpose purpose { CommandPurpose::Probe };
    Instant sentAt {};
    CorrelationId correlation;
};

/// Collects the actions that one input leads to and keeps track of the commands in flight.
class CommandOutbox {
public:
    /// Sends a command.
    /// @return its correlation, higher than that of every earlier command.
    CorrelationId send(Instant now, const TargetName&, const GroupCommand&, CommandPurpose);
    /// Adds an action that is not a command.
    void push(GroupAction action) { m_actions.push_back(std::move(action)); }
    void log(LogEvent event, std::vector<LogField> fields) { push(LogRecord { event, std::move(fields) }); }

    /// Removes the command that an answer belongs to from those in flight.
    /// @return the command; empty when it was already answered or has expired.
    std::optional<PendingCommand> complete(const TargetName&, CorrelationId);
    /// Removes the commands sent before @p limit from those in flight.
    /// @return the removed commands.
    std::vector<PendingCommand> expireSentBefore(Instant limit);
    /// @return the collected actions; the outbox keeps none of them.
    GroupActions takeActions() { return std::exchange(m_actions, {}); }

    /// @return the correlation that the next command will have.
    [[nodiscard]] CorrelationId nextCorrelation() const { return CorrelationId(m_lastCorrelation + 1); }
    [[nodiscard]] std::size_t inFlight() const { return m_pending.size(); }
    [[nodiscard]] std::size_t inFlight(const TargetName&, CommandPurpose) const;

private:
    std::uint64_t m_lastCorrelation { 0 };
    std::map<CorrelationId, PendingCommand> m_pending;
    GroupActions m_actions;
};

} // namespace Auburnpost::Group
