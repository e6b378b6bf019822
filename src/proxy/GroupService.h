#pragma once

#include "limit/AdmissionQueue.h"
#include "limit/RetryBudget.h"
#include "limit/ReturnSchedule.h"
#include "limit/ServiceTimes.h"
#include "proxy/GroupServiceDelegate.h"
#include "proxy/LeaseReads.h"
#include "proxy/PrimaryAbsence.h"
#include "proxy/ReadTargetSelector.h"
#include "proxy/TargetPath.h"

#include <map>
#include <unordered_map>

namespace Auburnpost::Proxy {

/// Serves the statements of one database group: queues them, dispatches each to a fresh enough target, manages the
/// connections, watches the members and replaces the primary when it fails or leaves.
class GroupService final : private PromotionDelegate {
public:
    /// Maximum age of the newest confirmation before a new one is requested; below the smallest useful staleness
    /// allowance.
    static constexpr Duration confirmationInterval = std::chrono::milliseconds(900);
    /// Interval between status queries to a target whose last response is at least this old.
    static constexpr Duration idlePollInterval = std::chrono::milliseconds(1000);
    /// Interval between status queries to a target that responds to statements meanwhile.
    static constexpr Duration statusPollInterval = std::chrono::milliseconds(2500);
    /// Time that a round of status queries for a confirmation has to finish before the next round may start.
    static constexpr Duration confirmationRoundTimeout = std::chrono::milliseconds(250);
    /// Interval between status queries while the target is suspect or has reported no status, or while the primary is
    /// unknown or being replaced.
    static constexpr Duration urgentPollInterval = std::chrono::milliseconds(100);
    /// A connection with a request other than a statement that is unanswered for this long is closed.
    static constexpr Duration replyTimeout = std::chrono::milliseconds(1200);
    /// The same for a statement whose caller no longer waits; longer than statements wait in a target's queue.
    static constexpr Duration orphanTimeout = std::chrono::seconds(3);
    /// Delay before a statement is retried after a refusal, such as one for lack of capacity.
    static constexpr Duration refusalRetryDelay = std::chrono::milliseconds(25);
    /// Time after which fences count as abandoned; longer than the lifetime of a lease, so that the host that set them
    /// can finish.
    static constexpr Duration abandonedFenceTimeout = std::chrono::milliseconds(4000);
    /// A statement waits for a connection that is being opened if the next candidate costs at least this much more.
    static constexpr Duration openingCostMargin = std::chrono::milliseconds(20);
    /// Maximum time for which a leaving primary is sent statements; after that it is about to shut down.
    static constexpr Duration leavingPrimaryTimeout = std::chrono::milliseconds(5500);
    /// Maximum number of statements that one event passes over while targets have room that these can't use. Further
    /// ones are tried again after refusalRetryDelay, so that the cost of an event does not grow with the queue.
    static constexpr std::size_t maxPassedOver = 32;

    GroupService(HostName self, GroupName, GroupServiceDelegate&);

    void setRules(const GroupRules&);
    /// All hosts of the deployment have just started for the first time.
    void setFirstStart() { m_watcher.guard().setFirstStart(); }
    void setMembers(Instant now, const std::vector<TargetRecord>&);
    /// Forgets the members of a group that this host no longer serves.
    void stopWatching(Instant now);
    /// Stores where the list of targets came from, for logs and dumps.
    void setListOrigin(const TableOrigin& origin) { m_watcher.setListOrigin(origin); }
    void tick(Instant now);
    /// Restarts the timeouts of all members after a pause of this process.
    void resumedAfterPause(Instant now) { m_watcher.discountPause(now); }
    /// The store came back from an older copy of itself.
    void storeReturned(Instant now)
    {
        m_promotion.storeReturned(now);
        m_watcher.guard().storeReturned(now);
    }

    /// Queues and dispatches a statement that is not bound to a connection.
    void submit(Instant now, PendingStatement);
    /// Sends a further statement of a transaction on the connection that the transaction is bound to.
    /// @return false, with nothing done, if the connection no longer exists or is not bound to the session.
    bool submitPinned(Instant now, PendingStatement, ConnectionId);
    /// Frees the connection of a transaction whose session needs no answer, and rolls the transaction back.
    /// @param commits whether a commit was sent, which is left to finish instead of a rollback.
    void releaseTransaction(Instant now, ConnectionId, bool commits);
    /// Forgets a statement whose caller disconnected before the answer.
    void abandon(Instant now, PendingStatementId);

    void connectionOpened(Instant now, ConnectionId, const std::optional<LogPoint>& position);
    /// The connection could not be opened: the target refused it or is unreachable.
    void connectionRefused(Instant now, ConnectionId, Session::FailureCode);
    void connectionLost(Instant now, ConnectionId);
    void replied(Instant now, ConnectionId, const TargetReply&);

    /// Sets the position of this host in the order of the hosts that record the members; empty for none.
    void setRecorderRank(std::optional<std::size_t> rank) { m_promotion.setRecorderRank(rank); }
    void leaseRead(Instant now, const Expected<PromotionLeaseRow>& row);
    void leaseWritten(Instant now, const Expected<std::optional<RowVersion>>& version)
    {
        m_promotion.leaseWritten(now, m_watcher, version);
    }
    /// @param isKnown whether setMembers() was given what the store lists; false if the store could not be read.
    void membersRead(Instant now, bool isKnown) { m_promotion.membersRead(now, m_watcher, isKnown); }
    void promoteAnswered(Instant now, PromotionOutcome outcome)
    {
        m_promotion.promoteAnswered(now, m_watcher, outcome);
    }

    [[nodiscard]] const GroupWatcher& watcher() const { return m_watcher; }
    [[nodiscard]] const Promotion& promotion() const { return m_promotion; }
    [[nodiscard]] const PrimaryAbsence& primaryAbsence() const { return m_primaryAbsence; }
    [[nodiscard]] const ReadTargetSelector::Pools& pools() const { return m_pools; }
    [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }
    /// @return whether statements have been waiting for connectionShortageDelay because connections are short.
    [[nodiscard]] bool isShortOfConnections(Instant now) const;
    [[nodiscard]] const Limit::AdmissionQueue& queue() const { return m_queue; }
    /// @return how often a statement was tried, with or without success.
    [[nodiscard]] std::uint64_t dispatchAttempts() const { return m_dispatchAttempts; }
    [[nodiscard]] const Limit::ServiceTimes<Limit::laneCount>& serviceTimes() const { return m_serviceTimes; }
    /// @return whether this host reaches the target without a relay.
    [[nodiscard]] bool reachesDirectly(Instant now, const TargetName&) const;
    [[nodiscard]] bool owns(ConnectionId id) const { return m_targetOf.contains(id); }

private:
    /// Connection attempts that a target refused since it accepted one.
    struct Refusals {
        Session::FailureCode code {};
        std::size_t count { 0 };
    };
    /// Whose statements find no idle connection on a target and may open none.
    enum class ShortageScope : std::uint8_t { Nobody, Organisation, Everyone };
    struct Shortage {
        ShortageScope scope { ShortageScope::Nobody };
        Limit::LaneSet lanes;
    };
    /// An acknowledgement that is not passed on while its primary may have been replaced, or while the commit may not
    /// be on enough members that every promotion counts.
    struct HeldAcknowledgement {
        TargetName target;
        Session::Answer answer;
        Instant at;
    };
    /// A command of the promotion that waits for a connection to its target.
    struct Command {
        TargetRequest request;
        Instant sendBefore;
    };

    /// Counts the members on record in the store that this host does not list.
    void countRecorded(Instant now, const MemberRecord&);
    // Dispatch.
    void dispatchWaiting(Instant now);
    /// Dispatches what can be dispatched. @return the statements that can't be served now.
    std::vector<PendingStatementId> dispatchInOrder(Instant now);
    bool dispatch(Instant now, PendingStatement&);
    /// Makes the statements available whose confirmation exists, or that have to be refused.
    void wakeAwaiting(Instant now);
    /// @return who else can't be dispatched now, after a failed dispatch of the statement.
    [[nodiscard]] Shortage shortageFor(Instant now, const PendingStatement&);
    [[nodiscard]] ShortageScope shortageOnMembers(Instant now, const PendingStatement&);
    [[nodiscard]] ShortageScope shortageOn(Instant now, const TargetName&, const PendingStatement&);
    /// Passes over the lanes in the rest of the event, for one organisation or all.
    void passOverLanes(const Shortage&, const PendingStatement&);
    /// Passes over a statement that can't be dispatched while others of its lane may be.
    /// @param count the number of statements that this event passed over.
    void passOver(Instant now, const PendingStatement&, std::size_t count);
    /// @return whether the primary is down, with too few other members left to replace it.
    [[nodiscard]] bool isPrimaryLost(Instant now) const;
    [[nodiscard]] Limit::Ticket ticketOf(Instant now, const PendingStatement&) const;
    /// Queues a statement again after an attempt that did not run. @return false if it can't be served in time.
    bool requeue(Instant now, const PendingStatement&);
    /// Answers the statements that the queue refused.
    void finishRefused(Instant now, const std::vector<Limit::AdmissionRefusal>&);
    /// @return whether the statement waits for a primary that is down, with too few other members left to replace it.
    [[nodiscard]] bool isUnservable(Instant now, const PendingStatement&) const;
    /// @return why the statement can't be sent to the primary now.
    [[nodiscard]] WaitReason primaryWaitReason(Instant now, const PendingStatement&) const;
    bool dispatchToPrimary(Instant now, PendingStatement&);
    bool dispatchToAnyMember(Instant now, PendingStatement&);
    /// A write or a transaction is no read, and yet must not run on the log of a primary that was replaced: whatever
    /// the route's consistency, the primary has to be confirmed as of PendingStatement::freshAsOf.
    /// @return false if the required confirmation does not exist yet; it is then requested.
    bool isPrimaryConfirmed(Instant now, PendingStatement&);
    /// Determines the log point that a read which any member may serve has to see, and stores it in the statement.
    /// @return false if the required confirmation does not exist yet; it is then requested.
    bool findRequiredLogPoint(Instant now, PendingStatement&);
    /// Starts a confirmation round unless one that began at or after @p moment is in progress.
    void requestConfirmation(Instant now, Instant moment);
    void startConfirmationRound(Instant now);
    /// Queries as many members besides the primary as show that it was not replaced, unless a round that began at or
    /// after @p moment is in progress.
    void requestOthersStatus(Instant now, Instant moment);
    void queryOthers(Instant now);
    void assignToConnection(Instant now, TargetConnection&, PendingStatement&);
    void sendStatement(Instant now, TargetConnection&, const PendingStatement&);
    void recordPrimaryEvidence(PendingStatement&) const;
    /// @param organisation empty for a connection that serves the proxy's own requests or a deployment without
    /// organisations.
    /// @return the connection; nothing if the target is no member.
    std::optional<ConnectionId> open(Instant now, const TargetName&, const OrganisationName& organisation = {});
    ConnectionId open(
        Instant now, const TargetName&, const OrganisationName&, const std::optional<SocketAddress>& relay);
    /// Opens a connection for a statement of an organisation, if necessary in place of an idle one of another.
    void openForOrganisation(Instant now, const TargetName&, PendingStatement&);
    /// Tries to reach targets that don't respond through other hosts, and relayed targets directly again.
    void probePaths(Instant now);
    /// Closes idle connections that may have gone dead, or whose path is no longer used.
    void discardIdleConnections(const TargetName&, ConnectionId except);
    /// Closes the connections on which no reply is expected.
    void discardUnusedConnections(const TargetName&);
    TargetConnection* findIdleOrOpen(Instant now, const TargetName&, PendingStatement&);

    // Replies.
    void handleStatusReply(Instant now, TargetConnection&, const ExpectedReply&, const TargetReply&);
    void handleBeginReply(Instant now, TargetConnection&, const ExpectedReply&, const TargetReply&);
    void handleStatementReply(Instant now, TargetConnection&, const ExpectedReply&, const TargetReply&);
    void recordWriteReply(
        Instant now, TargetConnection&, const PendingStatement&, const ExpectedReply&, const TargetReply&);
    void handleFailureReply(Instant now, TargetConnection&, PendingStatement&, const TargetReply&);
    /// Queues a refused statement again if its deadline and the retry budget allow.
    /// @param hasPosition whether the refusal reported how far the target's reads see.
    /// @return whether the statement was queued.
    bool requeueRefused(Instant now, PendingStatement&, const TargetName&, Session::FailureCode, bool hasPosition);
    void finish(const PendingStatement&, Session::Answer, const TargetConnection*);
    /// @return the delay after which the caller of a refused statement is told to try again.
    [[nodiscard]] Duration retryDelay(Instant now, const PendingStatement&);
    void finishUnsent(Instant now, const PendingStatement&, Session::FailureCode, const std::string& text);
    void recordPath(Instant now, const TargetConnection&);
    /// Counts a refused connection attempt, and logs it if the target did not refuse the last one for the same reason.
    void logRefusal(const TargetName&, Session::FailureCode);
    /// Returns a connection to the pool unless an answer is due or a transaction is open.
    void markIdle(Instant now, TargetConnection&);
    /// Ends what the connection is bound to after the target's answer: a transaction that is still open is rolled back.
    void unbind(Instant now, TargetConnection&);
    /// Closes a connection whose answer shows a transaction that no session has and nothing is about to end.
    void closeInTransaction(Instant now, TargetConnection&, const ExpectedReply& answered);
    void handleStatementLoss(Instant now, const PendingStatement&, ReplyPurpose);

    // Doubts about the primary.
    /// Reads the lease's row if that can resolve a doubt about the primary, and answers what waited for its resolution.
    void resolveDoubt(Instant now);
    /// Sends the read of the lease's row that the promotion or a doubt requires, one at a time.
    void sendLeaseReads(Instant now);
    /// @return the moment as of which the members or the row of the lease have shown that the primary was not replaced;
    /// empty if neither has. It serves for statements that a target refuses which is no primary itself.
    [[nodiscard]] std::optional<Instant> primaryKeptAsOf() const;
    /// @return whether statements wait for a confirmation of the primary that the members can't give, but the row of
    /// the lease may.
    [[nodiscard]] bool isRowConfirmationDue(Instant now) const;
    /// @return whether a target reports to be the primary and is not used.
    [[nodiscard]] bool isPrimaryDoubted() const;
    /// @return whether a successful answer to the statement tells the caller that writes are kept.
    [[nodiscard]] static bool acknowledgesWrites(const TargetConnection&, const PendingStatement&);
    /// Keeps the answer of a primary that may have been replaced.
    void holdAcknowledgement(Instant now, PendingStatement&, const TargetName&, const TargetReply&);
    /// Queries the nearest members on which a commit has to be before its acknowledgement is passed on.
    void queryHolders(Instant now);
    void finishInDoubt(const PendingStatement&);

    // Load estimates.
    /// Records what the answer to a read that any member may serve says of the target's load.
    void recordReadAnswer(
        Instant now, const TargetConnection&, const PendingStatement&, const ExpectedReply&, const TargetReply&);
    /// Records that an attempt of a read that any member may serve was sent and not answered.
    void recordReadLoss(Instant now, const TargetName&, const PendingStatement&, Instant sentAt);
    /// Records the load that a status answer reports.
    void recordReportedLoad(Instant now, const TargetName&, const ExpectedReply&, const TargetStatus&);
    void recordCapacityRefusal(Instant now, const TargetName&);
    /// Records the return of a target that was down, before its response clears the suspicion.
    void recordReturnIfDown(Instant now, const TargetName&);
    void discardConnection(ConnectionId);
    [[nodiscard]] PendingStatement* findStatement(PendingStatementId);
    [[nodiscard]] TargetConnection* findConnection(ConnectionId);

    // Watching.
    void pollMembers(Instant now);
    [[nodiscard]] Duration pollIntervalOf(Instant now, const GroupWatcher::Member&) const;
    void queryStatus(Instant now, const TargetName&);
    void expireStatements(Instant now);
    void expireStatement(Instant now, PendingStatement&);
    void hedge(Instant now, PendingStatement&);
    void checkConnections(Instant now);
    [[nodiscard]] bool isOverdue(Instant now, const ExpectedReply&) const;
    void watchPrimary(Instant now);
    /// Releases the members without a record that no longer count, and drops what is kept for targets that are no
    /// members.
    void forgetReleasedMembers(Instant now);
    void logSuspicionChanges(Instant now);
    void logAbsence(Instant now);

    // PromotionDelegate.
    void readLease(const GroupName&) override;
    void writeLease(const GroupName&, const PromotionLease&, RowVersion expected) override;
    void readMembers(const GroupName&) override;
    void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) override;
    void sendCommand(const TargetName&, const TargetRequest&, Instant sendBefore) override;
    void log(const LogRecord&) override;
    void measure(std::string_view series, double sample) override;
    void sendQueuedCommands(Instant now);

    HostName m_self;
    GroupName m_name;
    GroupServiceDelegate& m_delegate;
    GroupRules m_rules;
    GroupWatcher m_watcher;
    Promotion m_promotion;
    ReadTargetSelector::Pools m_pools;
    std::map<TargetName, TargetPath> m_paths;
    /// Targets that refused the last connection attempts.
    std::map<TargetName, Refusals> m_refusals;
    std::unordered_map<ConnectionId, TargetName> m_targetOf;
    std::map<PendingStatementId, PendingStatement> m_statements;
    std::map<PendingStatementId, HeldAcknowledgement> m_heldAcknowledgements;
    LeaseReads m_leaseReads;
    /// When the last read of the lease's row was sent.
    Instant m_rowReadAt {};
    Limit::AdmissionQueue m_queue;
    /// By lane.
    Limit::ServiceTimes<Limit::laneCount> m_serviceTimes;
    Limit::ReturnSchedule m_queueReturns;
    Limit::ReturnSchedule m_failoverReturns;
    Limit::RetryBudget m_retries;
    std::map<TargetName, Instant> m_polledAt;
    /// When the last round of status queries for a confirmation began.
    Instant m_confirmationStartedAt {};
    /// When the members besides the primary were last queried for one.
    Instant m_othersQueriedAt {};
    std::map<TargetName, Command> m_commands;
    /// The last read of the promotion lease's row, for logs.
    std::optional<LeaseReading> m_leaseReading;
    PrimaryDoubt m_loggedDoubt { PrimaryDoubt::None };
    std::set<TargetName> m_suspects;
    PrimaryAbsence m_primaryAbsence;
    bool m_isDispatching { false };
    std::uint64_t m_dispatchAttempts { 0 };
    /// Whether the last dispatch left statements for lack of connections, and since when each tick has found that.
    bool m_foundShortage { false };
    std::optional<Instant> m_shortSince;
    /// The newest confirmation and the primary for which statements were last made available.
    std::optional<Instant> m_wokenUpTo;
    /// The moment of primaryKeptAsOf() for which they were.
    std::optional<Instant> m_othersWokenUpTo;
    std::optional<TargetName> m_wokenForPrimary;
    /// Why the statements of each lane last had to wait.
    std::array<WaitReason, Limit::laneCount> m_laneWaitReasons {};
};

} // namespace Auburnpost::Proxy
