#pragma once

#include "process/GroupHistory.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Auburnpost::Test {

/// Code of the error that a statement ends with; empty for a success.
using StatementError = std::string;

/// State of a member as its status row has it.
struct MemberStatus {
    bool isPrimary { false };
    std::uint64_t term { 0 };
    LogPosition received;
    std::uint64_t fencedTerm { 0 };
    std::chrono::milliseconds lag { 0 };
};

/// The logs, roles and links of the members of a group with one synchronous replica. A thread replicates logs, brings
/// promotions into effect, and makes replaced primaries replicas.
class DatabaseGroup {
public:
    /// Stands for an end of the connection without an answer.
    inline static const StatementError noAnswer { "-" };

    /// @param seed seed of the delays.
    explicit DatabaseGroup(std::uint64_t seed);
    ~DatabaseGroup();
    DatabaseGroup(const DatabaseGroup&) = delete;
    DatabaseGroup& operator=(const DatabaseGroup&) = delete;

    /// Adds a running member with the first entry only.
    void add(const std::string& member, bool isPrimary);
    /// Ends a member. It keeps its log.
    void crash(const std::string& member);
    /// Starts a member that crashed, with its log; as a replica if another was promoted.
    void restart(const std::string& member);
    /// Cuts or heals one direction between two parties: members, or a host and a member.
    void setCut(const std::string& from, const std::string& to, bool isCut);
    [[nodiscard]] bool isCut(const std::string& from, const std::string& to) const;
    void healAll();
    /// Orders a promotion. @return the HTTP status.
    int promote(const std::string& member, const std::string& holder, const std::string& token);

    [[nodiscard]] std::vector<std::string> runningMembers() const;
    /// @return the primary of the highest term.
    [[nodiscard]] std::string primary() const;
    /// @return the number of fences and of orders to promote.
    [[nodiscard]] std::size_t attemptedReplacements() const;
    [[nodiscard]] bool isRunning(const std::string& member) const;
    [[nodiscard]] bool isBusy(const std::string& member) const;
    [[nodiscard]] MemberStatus status(const std::string& member) const;
    /// @return the position that the member has applied.
    [[nodiscard]] LogPosition applied(const std::string& member) const;
    void fence(const std::string& member, std::uint64_t term);
    void resume(const std::string& member);
    void demote(const std::string& member, std::uint64_t term);
    /// @param requiredPosition position that the log has to contain; zero: none.
    /// @param leaderOf term that the member has to lead; zero: none.
    StatementError read(
        const std::string& member, const std::string& id, LogPosition requiredPosition, std::uint64_t leaderOf);
    /// Appends an entry for the writes and waits until a replica has received it.
    /// @param leaderOf term that the member has to lead; zero: the present one.
    StatementError commit(
        const std::string& member, const std::string& id, std::vector<std::string> writes, std::uint64_t leaderOf);

    /// Hands over what has been recorded. Called once, at the end.
    void handOver(GroupHistory&);

private:
    struct Member {
        bool isPrimary { false };
        bool isRunning { true };
        std::uint64_t term { 1 };
        std::uint64_t fencedTerm { 0 };
        std::uint64_t newestTermWhenFenced { 0 };
        LogEntryIndex received { 0 };
        LogEntryIndex applied { 0 };
        /// Of a primary: the newest position that a replica has reported.
        LogPosition replicated;
        Moment nextReceive;
        Moment nextApply;
        Moment busyUntil;
        /// When the member last had all that its primary had.
        Moment upToDateAt;
        /// Of a replaced primary: since when it reaches the new one.
        Moment reachesNewSince {};
    };
    struct PendingPromotion {
        std::string member;
        Moment effectAt;
    };

    void run();
    void step(Moment now);
    void takeEffect(const std::string& name, Moment now);
    void follow(const std::string& name, Member&, Moment now);
    static void becomeReplica(Member&);
    void stepDown(const std::string& name, Member&, Moment now);
    /// @return the running primary of the highest term that reaches the member, or nullptr.
    Member* sourceOf(const std::string& name, const Member&, std::string& sourceName);
    /// @return whether the member is the primary that was promoted last.
    [[nodiscard]] bool leads(const Member& member) const { return member.isPrimary && member.term == m_lastTerm; }
    [[nodiscard]] bool isCutLocked(const std::string& from, const std::string& to) const;
    [[nodiscard]] std::chrono::milliseconds pick(int leastMs, int mostMs);
    void record(const std::string& member, const std::string& id, LogEntryIndex log, bool isPrimary);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping { false };
    std::mt19937_64 m_random;
    std::map<std::string, Member> m_members;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<PendingPromotion> m_pending;
    GroupLog m_log;
    std::uint64_t m_lastTerm { 1 };
    std::string m_lastPrimary;
    std::vector<MemberRun> m_runs;
    std::vector<PromotionEffect> m_promotions;
    std::vector<PromotionOrder> m_orders;
    std::size_t m_fences { 0 };
    std::thread m_thread;
};

} // namespace Auburnpost::Test
