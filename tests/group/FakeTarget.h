#pragma once

#include "group/GroupIds.h"
#include "message/GroupCommand.h"
#include "message/TargetCommand.h"

#include <functional>
#include <list>
#include <vector>

namespace Auburnpost::Group {

enum class EntryKind : std::uint8_t { TermStart, Write, NotRun };

/// One entry of a fake target's log. A lookup that does not find its key appends a NotRun entry for it.
struct FakeEntry {
    Term term;
    std::uint64_t key { 0 };
    EntryKind kind { EntryKind::Write };

    bool operator==(const FakeEntry&) const = default;
};

/// Answer of a fake target to a write or a lookup.
struct KeyAnswer {
    bool accepted { false };
    /// For a lookup: whether the log holds a write of the key.
    bool found { false };
    LogPoint point;
    TargetStatus targetStatus;
};

/// Simulated target as docs/TARGETS.md describes it, without SQL: a log, fencing, promotion and replication.
class FakeTarget {
public:
    using StatusReply = std::function<void(const GroupStatus&)>;

    explicit FakeTarget(TargetName name)
        : m_name(std::move(name))
    {
    }

    GroupStatus status() const;
    GroupStatus fence(Term, const std::string& candidate);
    GroupStatus promote(Term, const std::string& candidate);
    GroupStatus follow(Term, const TargetName& primary);
    bool covers(const LogPoint&) const;
    /// Runs a write of a key; refused when the log already has an entry of the key or the target is not primary.
    KeyAnswer write(std::uint64_t key);
    /// Looks up a key and marks an absent key as not run.
    KeyAnswer lookUp(std::uint64_t key);
    /// Replaces the log by the primary's log, as it was sent in @p term.
    void replicate(const TargetName& from, Term term, const std::vector<FakeEntry>& log);
    void restart();

    [[nodiscard]] const TargetName& name() const { return m_name; }
    [[nodiscard]] const std::vector<FakeEntry>& log() const { return m_log; }
    [[nodiscard]] LogPoint end() const;
    [[nodiscard]] TargetStatus targetStatus() const { return { m_fencedTerm, end(), m_role }; }
    [[nodiscard]] const TargetName& following() const { return m_following; }
    /// @return position of the last entry of that kind for @p key; 0 when there is none.
    [[nodiscard]] std::size_t find(std::uint64_t key, EntryKind) const;

private:
    GroupStatus makeAnswer(bool accepted) const;

    TargetName m_name;
    std::vector<FakeEntry> m_log;
    Term m_fencedTerm;
    TargetRole m_role { TargetRole::Fenced };
    TargetName m_following;
    std::string m_candidate;
    std::string m_promotedFor;
};

} // namespace Auburnpost::Group
