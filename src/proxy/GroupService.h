#pragma once

#include "limit/RetryBudget.h"
#include "proxy/GroupActions.h"
#include "proxy/ReadPlacement.h"
#include "proxy/TargetPath.h"
#include "proxy/WorkQueue.h"

#include <map>
#include <unordered_map>

namespace Auburnpost::Proxy {

/// Serves the statements of one database group: queues them, places each on a fresh enough target, holds the
/// connections, watches the members and replaces the primary when it has to be.
class GroupService final : private PromotionActions {
public:
    /// The newest proof gets no older than this while nothing else renews it; below the smallest useful staleness
    /// allowance.
    static constexpr Duration proofInterval = std::chrono::milliseconds(900);
    /// A target that nothing was heard of for so long is asked.
    static constexpr Duration silentInterval = std::chrono::milliseconds(1000);
    /// A standing is renewed after this, also while the target answers statements.
    static constexpr Duration standingInterval = std::chrono::milliseconds(2500);
    /// A round of questions for a proof is left to finish for so long before the next one.
    static constexpr Duration proofRoundLimit = std::chrono::milliseconds(250);
    /// While the primary is in doubt or being replaced.
    static constexpr Duration urgentPollInterval = std::chrono::milliseconds(100);
    /// A connection on which a question is unanswered for so long is closed.
    static constexpr Duration replyLimit = std::chrono::milliseconds(1200);
    /// The same for a statement that nobody waits for any more; above what a target's queue takes.
    static constexpr Duration orphanLimit = std::chrono::seconds(3);
    /// How long a statement waits after a refusal for lack of capacity.
    static constexpr Duration busyDelay = std::chrono::milliseconds(25);
    /// Fences are left to whoever set them for this long, above the life of a claim.
    static constexpr Duration abandonedFenceLimit = std::chrono::milliseconds(4000);
    /// A better candidate whose connection opens is worth waiting for when others cost this much more.
    static constexpr Duration openingPatience = std::chrono::milliseconds(20);
    /// A leaving primary takes writes for so long at most; then it is about to stop.
    static constexpr Duration leavingPrimaryLimit = std::chrono::milliseconds(5500);

    GroupService(HostName self, GroupName, GroupActions&);

    void setRules(const GroupRules&);
    void setMembers(Instant now, const std::vector<TargetRecord>&);
    void tick(Instant now);
    /// This host itself did not run for a while.
    void resumedAfterPause(Instant now) { m_watcher.forgiveSilence(now); }

    /// Serves a statement that is bound to no connection.
    void submit(Instant now, Work);
    /// Serves a further statement of a transaction.
    /// @return whether its connection is still there; if not nothing was done.
    bool submitPinned(Instant now, Work, ConnectionId);
    /// Ends a transaction whose session needs no answer.
    /// @param commits whether its commit is under way, which is left to finish.
    void release(Instant now, ConnectionId, bool commits);
    /// The caller left before its answer came.
    void abandon(Instant now, WorkId);

    void connectionOpened(Instant now, ConnectionId, const std::optional<LogPoint>& position);
    /// The target refused the connection, by its answer or by the network.
    void connectionRefused(Instant now, ConnectionId, Session::FailureCode);
    void connectionLost(Instant now, ConnectionId);
    void replied(Instant now, ConnectionId, const TargetReply&);

    void claimRead(Instant now, const Expected<ClaimRow>& row) { m_promotion.claimRead(now, m_watcher, row); }
    void claimWritten(Instant now, const Expected<std::optional<RowVersion>>& version)
    {
        m_promotion.claimWritten(now, m_watcher, version);
    }
    void promoteAnswered(Instant now, PromotionOutcome outcome)
    {
        m_promotion.promoteAnswered(now, m_watcher, outcome);
    }

    [[nodiscard]] const GroupWatcher& watcher() const { return m_watcher; }
    [[nodiscard]] const Promotion& promotion() const { return m_promotion; }
    [[nodiscard]] const ReadPlacement::Pools& pools() const { return m_pools; }
    [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }
    /// @return whether this host reaches the target without another one.
    [[nodiscard]] bool reachesDirectly(Instant now, const TargetName&) const;
    [[nodiscard]] bool owns(ConnectionId id) const { return m_targetOf.contains(id); }

private:
    /// What the promotion wants sent to a target.
    struct Order {
        TargetRequest request;
        Instant sendBefore;
    };

    // Placing.
    void placeWaiting(Instant now);
    bool place(Instant now, Work&);
    /// @return whether the work waits for a primary that is down, with too few other members left to replace it.
    [[nodiscard]] bool isHopeless(Instant now, const Work&) const;
    /// @return why the primary can't take the work now.
    [[nodiscard]] Obstacle primaryObstacle(Instant now, const Work&) const;
    bool placeOnPrimary(Instant now, Work&);
    bool placeOnAny(Instant now, Work&);
    /// @return whether the position that the work has to see is known; it is set then.
    bool findPosition(Instant now, Work&);
    void wantProof(Instant now, Instant arrival);
    void askForProof(Instant now);
    void sendWork(Instant now, TargetConnection&, Work&);
    void sendStatement(Instant now, TargetConnection&, const Work&);
    void open(Instant now, const TargetName&);
    void open(Instant now, const TargetName&, const std::optional<SocketAddress>& relay);
    /// Looks for a way through other hosts to targets that don't answer, and back to the direct one.
    void findPaths(Instant now);
    /// Drops idle connections that may have gone silent, or whose way is not used any more.
    void dropIdle(const TargetName&, ConnectionId except);
    TargetConnection* idleOrOpen(Instant now, const TargetName&, const Work&);

    // Replies.
    void takeStanding(Instant now, TargetConnection&, const ExpectedReply&, const TargetReply&);
    void takeBegin(Instant now, TargetConnection&, const ExpectedReply&, const TargetReply&);
    void takeStatement(Instant now, TargetConnection&, const ExpectedReply&, const TargetReply&);
    void noteCommit(TargetConnection&, const Work&, const ExpectedReply&, const TargetReply&);
    void takeFailure(Instant now, TargetConnection&, Work&, const TargetReply&);
    /// @param hasPosition whether the refusal told how far the target's reads see.
    bool retryElsewhere(Instant now, Work&, const TargetName&, Session::FailureCode, bool hasPosition);
    void finish(const Work&, Session::Answer, const TargetConnection*);
    void finishUnsent(const Work&, Session::FailureCode, const std::string& text);
    void notePath(Instant now, const TargetConnection&);
    void becomeIdle(Instant now, TargetConnection&);
    void lose(Instant now, const Work&, ReplyPurpose);
    void drop(ConnectionId);
    [[nodiscard]] Work* findWork(WorkId);
    [[nodiscard]] TargetConnection* findConnection(ConnectionId);

    // Watching.
    void poll(Instant now);
    [[nodiscard]] Duration pollIntervalOf(Instant now, const GroupWatcher::Member&) const;
    void ask(Instant now, const TargetName&);
    void expire(Instant now);
    void expireSent(Instant now, Work&);
    void hedge(Instant now, Work&);
    void checkConnections(Instant now);
    [[nodiscard]] bool isOverdue(Instant now, const ExpectedReply&) const;
    void watchPrimary(Instant now);
    void logHealth(Instant now);

    // Orders of the promotion.
    void readClaim(const GroupName&) override;
    void writeClaim(const GroupName&, const Claim&, RowVersion expected) override;
    void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) override;
    void order(const TargetName&, const TargetRequest&, Instant sendBefore) override;
    void log(const LogRecord&) override;
    void sendOrders(Instant now);

    HostName m_self;
    GroupName m_name;
    GroupActions& m_actions;
    GroupRules m_rules;
    GroupWatcher m_watcher;
    Promotion m_promotion;
    ReadPlacement::Pools m_pools;
    std::map<TargetName, TargetPath> m_paths;
    std::unordered_map<ConnectionId, TargetName> m_targetOf;
    std::map<WorkId, Work> m_works;
    WorkQueue m_queue;
    Limit::RetryBudget m_retries;
    std::map<TargetName, Instant> m_polledAt;
    /// When the last round of questions for a proof began.
    Instant m_proofAskedAt {};
    std::map<TargetName, Order> m_orders;
    std::set<TargetName> m_doubtful;
    bool m_isPlacing { false };
};

} // namespace Auburnpost::Proxy
