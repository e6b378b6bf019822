#pragma once

#include "base/Ids.h"
#include "message/GroupCommand.h"
#include "message/TargetCommand.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Auburnpost {

/// One change to the data of a simulated target.
struct FakeChange {
    enum class Kind : std::uint8_t { Fact, InsertOutcome, CompleteOutcome };
    Kind kind { Kind::Fact };
    /// Fact: its number. InsertOutcome, CompleteOutcome: the outcome key.
    std::string name;
    std::string requestHash;
    SqlValue result;

    bool operator==(const FakeChange&) const = default;
};

struct FakeLogEntry {
    Term term;
    std::vector<FakeChange> changes;

    bool operator==(const FakeLogEntry&) const = default;
};

/// A simulated target as docs/TARGETS.md describes it, with a log, one write lock, and only the statements that the
/// engine's tests use: insert and select facts, the outcome table, the group operations.
class FakeSqlTarget {
public:
    using Reply = std::function<void(TargetAnswer)>;

    explicit FakeSqlTarget(TargetName);

    void connect(ConnectionId);
    /// Ends a connection: its transaction is rolled back and its commands are discarded.
    void disconnect(ConnectionId);
    void execute(Instant now, const TargetCommand&, Reply);
    /// Answers the group waits and lock waits that have timed out.
    void expireWaits(Instant now);
    /// Receives the primary's log entries after the first @p prefix ones; @p term is the primary's term when it sent
    /// them.
    void replicate(
        Instant now, const TargetName& from, Term term, std::size_t prefix, const std::vector<FakeLogEntry>&);
    /// Restarts the target, which keeps its log and fence and loses its connections.
    void restart();
    /// Makes the target the primary of term 1, with a first entry in its log.
    void bootstrap();

    [[nodiscard]] const TargetName& name() const { return m_name; }
    [[nodiscard]] TargetStatus targetStatus() const { return { m_fencedTerm, end(), m_role }; }
    [[nodiscard]] const TargetName& following() const { return m_following; }
    [[nodiscard]] const std::vector<FakeLogEntry>& log() const { return m_log; }
    [[nodiscard]] std::size_t connections() const { return m_sessions.size(); }
    /// @return how many times each fact is in the log.
    [[nodiscard]] std::map<std::string, int> factCounts() const;

private:
    struct Session {
        bool inTransaction { false };
        bool readOnly { false };
        bool failed { false };
        std::vector<FakeChange> changes;
    };
    struct PendingCommand {
        TargetCommand command;
        Reply reply;
        Instant arrivedAt;
        std::size_t next { 0 };
        TargetAnswer answer;
    };
    struct GroupWait {
        PendingCommand pending;
        LogPoint point;
        Instant deadline;
    };
    enum class StepResult : std::uint8_t { Done, Fault, LockWait, Held };

    [[nodiscard]] LogPoint end() const;
    void run(Instant now, PendingCommand);
    void finish(PendingCommand&);
    StepResult executeStatement(Instant now, PendingCommand&, Session&);
    StepResult write(PendingCommand&, Session&, FakeChange);
    StepResult commit(PendingCommand&, Session&);
    StepResult executeGroupOperation(Instant now, PendingCommand&, const Statement&);
    StepResult fault(PendingCommand&, std::string_view sqlState);
    GroupStatus groupStatus(bool accepted) const;
    void addStatus(PendingCommand&, bool accepted);
    bool fence(Term, const std::string& candidate);
    bool promote(Term, const std::string& candidate);
    bool follow(Term, const TargetName& primary);
    void releaseLock(ConnectionId);
    void resumeLockWaits(Instant now);
    void answerWaits(Instant now);
    void rebuild();
    void apply(const FakeLogEntry&);
    [[nodiscard]] bool isKeyTaken(const Session&, const std::string& key) const;

    TargetName m_name;
    std::vector<FakeLogEntry> m_log;
    std::vector<std::string> m_facts;
    struct Outcome {
        std::string requestHash;
        SqlValue result;
    };
    std::map<std::string, Outcome> m_outcomes;
    Term m_fencedTerm;
    TargetRole m_role { TargetRole::Fenced };
    TargetName m_following;
    std::string m_candidate;
    std::string m_promotedFor;
    std::map<ConnectionId, Session> m_sessions;
    std::optional<ConnectionId> m_lock;
    std::list<PendingCommand> m_lockWaits;
    std::list<GroupWait> m_groupWaits;
};

} // namespace Auburnpost
