#pragma once

#include "group/CommandOutbox.h"
#include "group/MemberTable.h"

#include <map>

namespace Auburnpost::Group {

/// Confirms for reads that the primary's term was not replaced at a moment after the read arrived: a majority of the
/// members, the primary among them, answered a command sent after that and was not fenced to a higher term.
class ReadConfirmations {
public:
    /// Adds a read and sends commands to the members.
    void add(Instant now, CommandOutbox&, const MemberTable&, ConfirmationId, Instant deadline);
    /// Handles the answer to a command.
    /// @param open whether the primary's term is open.
    void handleAnswer(
        Instant now, CommandOutbox&, const MemberTable&, const PendingCommand&, const GroupStatus&, bool open);
    /// Ends the reads whose deadline has passed and sends commands to the members whose answer is still missing.
    void tick(Instant now, CommandOutbox&, const MemberTable&, bool open);

    [[nodiscard]] std::size_t waiting() const { return m_waits.size(); }

private:
    struct Wait {
        ConfirmationId id;
        Instant deadline;
        /// Commands from this one on were sent after the read arrived.
        CorrelationId firstCorrelation;
    };
    /// The answer to the latest answered command of a member.
    struct MemberAnswer {
        CorrelationId correlation;
        Term fencedTerm;
        TargetRole role { TargetRole::Replica };
        LogPoint end;
    };

    /// Sends a command to each member whose latest answer is older than the newest read.
    void sendCommands(Instant now, CommandOutbox&, const MemberTable&);
    /// Ends the reads that are confirmed.
    void endConfirmed(CommandOutbox&, const MemberTable&, bool open);
    /// @return the primary's answer; null when the read is not confirmed yet.
    [[nodiscard]] const MemberAnswer* confirmingAnswer(const Wait&, const MemberTable&) const;

    std::vector<Wait> m_waits;
    std::map<TargetName, MemberAnswer> m_answers;
};

} // namespace Auburnpost::Group
