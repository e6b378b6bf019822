#pragma once

#include "group/CommandOutbox.h"
#include "group/MemberTable.h"

#include <map>

namespace Auburnpost::Group {

/// Proves for reads that the primary's term was not replaced at a moment after the read arrived: a majority of the
/// members, the primary among them, answered a command sent after it and was not fenced to a higher term.
class ReadConfirmations {
public:
    /// Adds a read and asks the members.
    void await(Instant now, CommandOutbox&, const MemberTable&, ConfirmId, Instant deadline);
    /// Takes the answer to a command.
    /// @param open whether the primary's term is open.
    void answered(
        Instant now, CommandOutbox&, const MemberTable&, const PendingCommand&, const GroupStatus&, bool open);
    /// Ends what its deadline passed and asks those again that did not answer.
    void tick(Instant now, CommandOutbox&, const MemberTable&, bool open);

    [[nodiscard]] std::size_t waiting() const { return m_waits.size(); }

private:
    struct Wait {
        ConfirmId id;
        Instant deadline;
        /// Commands from this one on were sent after the read arrived.
        CorrelationId firstAfter;
    };
    /// What the latest answered command of a member showed.
    struct Evidence {
        CorrelationId correlation;
        Term fencedTerm;
        TargetRole role { TargetRole::Replica };
        LogPoint end;
    };

    void ask(Instant now, CommandOutbox&, const MemberTable&);
    void settle(CommandOutbox&, const MemberTable&, bool open);
    /// @return the primary's evidence; empty when the proof is not complete.
    [[nodiscard]] const Evidence* proofFor(const Wait&, const MemberTable&) const;

    std::vector<Wait> m_waits;
    std::map<TargetName, Evidence> m_evidence;
};

} // namespace Auburnpost::Group
