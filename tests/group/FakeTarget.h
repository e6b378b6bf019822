#pragma once

#include "group/GroupIds.h"
#include "message/GroupCommand.h"
#include "message/TargetCommand.h"

#include <functional>
#include <list>
#include <vector>

namespace Auburnpost::Group {

enum class EntryKind : std::uint8_t { TermStart, Write, NotRun };

/// One entry of a fake target's log. NotRun is the mark that a lookup leaves for a key it did not find.
struct FakeEntry {
    Term term;
    std::uint64_t key { 0 };
    EntryKind kind { EntryKind::Write };

    bool operator==(const FakeEntry&) const = default;
};

/// What a fake target answers to a write or a lookup.
struct KeyAnswer {
    bool accepted { false };
    /// For a lookup: whether the key was there as a write.
    bool found { false };
    LogPoint point;
    TargetStanding standing;
};

/// A target as docs/TARGETS.md describes it, without SQL: a log, fencing, promotion, following.
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
    /// Runs a write of a key; refused where the key has an entry already or the target is not primary.
    KeyAnswer write(std::uint64_t key);
    /// Looks a key up and marks an absent one as not run.
    KeyAnswer lookUp(std::uint64_t key);
    /// Takes the primary's log as it was sent in @p term.
    void replicate(const TargetName& from, Term term, const std::vector<FakeEntry>& log);
    void restart();

    [[nodiscard]] const TargetName& name() const { return m_name; }
    [[nodiscard]] const std::vector<FakeEntry>& log() const { return m_log; }
    [[nodiscard]] LogPoint end() const;
    [[nodiscard]] TargetStanding standing() const { return { m_fenced, end(), m_role }; }
    [[nodiscard]] const TargetName& following() const { return m_following; }
    /// @return position of the write of @p key; 0 when there is none.
    [[nodiscard]] std::size_t find(std::uint64_t key, EntryKind) const;

private:
    GroupStatus answer(bool accepted) const;

    TargetName m_name;
    std::vector<FakeEntry> m_log;
    Term m_fenced;
    TargetRole m_role { TargetRole::Fenced };
    TargetName m_following;
    std::string m_candidate;
    std::string m_promotedFor;
};

} // namespace Auburnpost::Group
