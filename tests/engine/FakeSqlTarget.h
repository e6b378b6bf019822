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

/// One change to the data of a fake target.
struct FakeChange {
    enum class Kind : std::uint8_t { Fact, Claim, Complete };
    Kind kind { Kind::Fact };
    /// Fact: its number. Claim, Complete: the outcome key.
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

/// A target as docs/TARGETS.md describes it, with a log, one write lock, and just the statements that the engine's
/// tests use: facts in, facts out, the outcome table, the group operations.
class FakeSqlTarget {
public:
    using Reply = std::function<void(TargetAnswer)>;

    explicit FakeSqlTarget(TargetName);

    void connect(ConnectionId);
    /// The connection ended: its transaction is rolled back and its flights are dropped.
    void disconnect(ConnectionId);
    void execute(Instant now, const TargetCommand&, Reply);
    /// Answers waits and lock waits whose time is over.
    void checkTime(Instant now);
    /// Takes the entries of the primary's log behind the first @p prefix ones, as they were in @p term.
    void replicate(
        Instant now, const TargetName& from, Term term, std::size_t prefix, const std::vector<FakeLogEntry>&);
    /// Restarts with its log and fence; connections are gone.
    void restart();
    /// Makes it the primary of term 1 with a first entry.
    void bootstrap();

    [[nodiscard]] const TargetName& name() const { return m_name; }
    [[nodiscard]] TargetStanding standing() const { return { m_fenced, end(), m_role }; }
    [[nodiscard]] const TargetName& following() const { return m_following; }
    [[nodiscard]] const std::vector<FakeLogEntry>& log() const { return m_log; }
    [[nodiscard]] std::size_t connections() const { return m_sessions.size(); }
    /// @return how often each fact is in the log.
    [[nodiscard]] std::map<std::string, int> factCounts() const;

private:
    struct Session {
        bool inTransaction { false };
        bool readOnly { false };
        bool failed { false };
        std::vector<FakeChange> changes;
    };
    struct Flight {
        TargetCommand command;
        Reply reply;
        Instant arrived;
        std::size_t next { 0 };
        TargetAnswer answer;
    };
    struct HeldWait {
        Flight flight;
        LogPoint point;
        Instant deadline;
    };
    enum class Step : std::uint8_t { Done, Fault, LockWait, Held };

    [[nodiscard]] LogPoint end() const;
    void run(Instant now, Flight);
    void finish(Flight&);
    Step executeStatement(Instant now, Flight&, Session&);
    Step write(Flight&, Session&, FakeChange);
    Step commit(Flight&, Session&);
    Step groupCall(Instant now, Flight&, const Statement&);
    Step fault(Flight&, std::string_view sqlState);
    GroupStatus status(bool accepted) const;
    void addStatus(Flight&, bool accepted);
    bool fence(Term, const std::string& candidate);
    bool promote(Term, const std::string& candidate);
    bool follow(Term, const TargetName& primary);
    void releaseLock(ConnectionId);
    void runLockWaits(Instant now);
    void settleWaits(Instant now);
    void rebuild();
    void apply(const FakeLogEntry&);
    [[nodiscard]] bool keyTaken(const Session&, const std::string& key) const;

    TargetName m_name;
    std::vector<FakeLogEntry> m_log;
    std::vector<std::string> m_facts;
    struct Outcome {
        std::string requestHash;
        SqlValue result;
    };
    std::map<std::string, Outcome> m_outcomes;
    Term m_fenced;
    TargetRole m_role { TargetRole::Fenced };
    TargetName m_following;
    std::string m_candidate;
    std::string m_promotedFor;
    std::map<ConnectionId, Session> m_sessions;
    std::optional<ConnectionId> m_lock;
    std::list<Flight> m_lockWaits;
    std::list<HeldWait> m_waits;
};

} // namespace Auburnpost
