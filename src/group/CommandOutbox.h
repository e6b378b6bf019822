#pragma once

#include "group/GroupAction.h"

#include <map>
#include <optional>

namespace Auburnpost::Group {

/// Why a command was sent; decides who takes its answer.
enum class CommandPurpose {
    Probe,
    Confirm,
    Fence,
    Promote,
    Follow,
    Wait,
};

/// A command whose answer is outstanding.
struct PendingCommand {
    TargetName target;
    GroupCommand command;
    CommandPurpose purpose { CommandPurpose::Probe };
    Instant sentAt {};
    CorrelationId correlation;
};

/// Collects the actions of one input and remembers the commands in flight.
class CommandOutbox {
public:
    /// Sends a command.
    /// @return its correlation, higher than that of every command before it.
    CorrelationId send(Instant now, const TargetName&, const GroupCommand&, CommandPurpose);
    /// Adds an action that is not a command.
    void push(GroupAction action) { m_actions.push_back(std::move(action)); }
    void log(LogEvent event, std::vector<LogField> fields) { push(LogRecord { event, std::move(fields) }); }

    /// Takes the command that an answer belongs to out of those in flight.
    /// @return the command; empty when it was answered or given up before.
    std::optional<PendingCommand> take(const TargetName&, CorrelationId);
    /// @return the commands sent before @p limit, which are in flight no more.
    std::vector<PendingCommand> expire(Instant limit);
    /// @return the collected actions, which are then no longer held.
    GroupActions release() { return std::exchange(m_actions, {}); }

    /// @return the correlation that the next command will have.
    [[nodiscard]] CorrelationId next() const { return CorrelationId(m_lastCorrelation + 1); }
    [[nodiscard]] std::size_t inFlight() const { return m_pending.size(); }
    [[nodiscard]] std::size_t inFlight(const TargetName&, CommandPurpose) const;

private:
    std::uint64_t m_lastCorrelation { 0 };
    std::map<CorrelationId, PendingCommand> m_pending;
    GroupActions m_actions;
};

} // namespace Auburnpost::Group
