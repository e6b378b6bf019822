#pragma once

#include "base/Random.h"
#include "config/Document.h"
#include "engine/Action.h"
#include "engine/DeadlineSet.h"
#include "engine/GroupConnections.h"
#include "engine/HomeServices.h"
#include "engine/TargetPool.h"
#include "engine/TransactionOperation.h"
#include "group/GroupWatch.h"
#include "message/HomeRequest.h"
#include "message/PeerMessage.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Auburnpost {

class HomeOperation;

/// Time limits and sizes of a home.
struct HomeSettings {
    Group::GroupSettings group;
    TransactionLimits transaction;
    /// Maximum number of one home's statements in flight on one target, for each slot of the target.
    double inFlightPerSlot { 1.0 };
    std::size_t queueLength { 1024 };
};

/// Operations that DatabaseHome requires from its host.
class DatabaseHomeDelegate {
public:
    virtual ~DatabaseHomeDelegate() = default;
    virtual Actions& actions() = 0;
    virtual ConnectionId nextConnection() = 0;
    virtual CommandId nextCommand() = 0;
    virtual OperationId nextOperation() = 0;
    /// Sends a message to the watcher of the same database on another host.
    virtual void sendWatcherMessage(const HostName&, const DatabaseName&, std::string content) = 0;
    /// Delivers the reply to a request that was passed to submit().
    virtual void handleHomeReply(Instant now, OperationId, HomeReply) = 0;
};

/// One database on one of its homes: watches the database group, manages the connections to its targets and runs the
/// operations.
class DatabaseHome : public HomeServices, public TargetPoolDelegate, public GroupConnectionsDelegate {
public:
    DatabaseHome(Instant now, DatabaseName, HostName self, DataCentreName, Incarnation,
        const Config::DatabasePlacement&, const HomeSettings&, RandomEngine&, DatabaseHomeDelegate&);
    ~DatabaseHome() override;

    /// Starts a request. Its reply is passed to handleHomeReply() once, under @p id.
    void submit(Instant now, OperationId id, HomeRequest, Instant deadline);
    void tick(Instant now);
    void setWatchers(Instant now, std::vector<HostName>);
    void setMaintenance(
        Instant now, const std::set<TargetName>& leaving, const std::optional<TargetName>& switchoverTarget);
    /// Set when this host is no longer a home of the database: a retired home refuses new requests and closes
    /// connections as they become idle.
    void setRetired(bool retired) { m_retired = retired; }
    void handleWatcherMessage(Instant now, const HostName& from, const std::string& content);

    [[nodiscard]] bool holds(ConnectionId) const;
    void handleConnectionOpened(Instant now, ConnectionId, const TargetStatus&);
    void handleAnswer(Instant now, const TargetAnswer&);
    void handleConnectionLoss(Instant now, const TargetConnectionLost&);

    /// @return number of operations in progress, including open transactions.
    [[nodiscard]] std::size_t operations() const { return m_operations.size(); }
    [[nodiscard]] Group::GroupDump groupDump(Instant now) const { return m_watch.dump(now); }
    [[nodiscard]] const std::map<TargetName, TargetPool>& pools() const { return m_pools; }
    [[nodiscard]] bool isHoldingWrites() const { return m_drain.has_value(); }
    [[nodiscard]] std::size_t heldForPrimary() const { return m_heldForPrimary.size(); }
    [[nodiscard]] const Config::DatabasePlacement& placement() const { return m_placement; }
    /// Closes all connections. Operations in progress fail, as not executed or with unknown outcome depending on their
    /// phase.
    void shutDown(Instant now);

    // HomeServices
    [[nodiscard]] const DatabaseName& database() const override { return m_database; }
    [[nodiscard]] Incarnation incarnation() const override { return m_incarnation; }
    [[nodiscard]] std::optional<Group::PrimaryView> writablePrimary(Instant now) const override;
    [[nodiscard]] std::optional<Group::PrimaryView> readablePrimary(Instant now) const override;
    std::optional<TargetName> chooseReplica(Instant now, const Route::Freshness&) override;
    [[nodiscard]] std::optional<Duration> ageOf(Instant now, const LogPoint& end) const override;
    void holdForPrimary(OperationId) override;
    void requestConnection(Instant now, OperationId, const TargetName&, const ConnectionUse&) override;
    void send(Instant now, ConnectionId, std::vector<Statement>) override;
    void release(Instant now, ConnectionId, ConnectionDisposition) override;
    void awaitDurable(Instant now, OperationId, const LogPoint&, Instant deadline) override;
    void confirm(Instant now, OperationId, Instant deadline) override;
    void reply(Instant now, OperationId, HomeReply) override;

    // TargetPoolDelegate, GroupConnectionsDelegate
    ConnectionId openConnection(const TargetName&) override;
    void closeConnection(ConnectionId) override;
    void rollBackConnection(Instant now, ConnectionId) override;
    void connectionGranted(Instant now, OperationId, ConnectionId) override;
    void connectionRefused(Instant now, OperationId, const Error&, std::optional<Duration> retryAfter) override;
    void sendStatements(ConnectionId, std::vector<Statement>) override;
    void groupCommandAnswered(Instant now, const TargetName&, Group::CorrelationId, const GroupStatus&) override;
    void groupCommandFailed(Instant now, const TargetName&, Group::CorrelationId, const Error&) override;

private:
    /// A switchover in preparation, during which this home starts no new writes.
    struct Drain {
        /// The watcher that requested it.
        HostName from;
        Group::SwitchoverId id;
        Instant expiresAt;
        /// Whether the requester was informed that no write is in flight any more.
        bool reported { false };
    };
    /// A command that waits for its answer on a connection of a pool.
    struct PendingCommand {
        TargetName target;
        Instant sentAt;
    };

    void submitToTransaction(Instant now, OperationId, HomeRequest, Instant deadline);
    std::unique_ptr<HomeOperation> makeOperation(OperationId, HomeRequest, Instant deadline);
    HomeOperation* find(OperationId);
    void restartHeldOperations(Instant now);
    void moveToNewPrimary(Instant now);
    void removeFinished(Instant now);
    void checkTransactionLimits(Instant now);
    void checkDrain(Instant now);
    void logTargetEvent(LogEvent, const TargetName&, const std::string& error);
    void beginDrain(Instant now, const HostName& from, Group::SwitchoverId, Duration limit);
    /// Removes the operations other than reads from the queues of one target, or of all targets when @p only is empty,
    /// and holds them until there is a primary to write to.
    void holdWaitingWrites(const std::optional<TargetName>& only);
    void endDrain(Instant now, const HostName& from, Group::SwitchoverId);

    void perform(Instant now, const Group::GroupActions&);
    void perform(Instant now, const Group::SendCommand&);
    void perform(Instant now, const Group::SendVote&);
    void perform(Instant now, const Group::DrainWrites&);
    void perform(Instant now, const Group::ResumeWrites&);
    void perform(Instant now, const Group::PrimaryLearned&);
    void perform(Instant now, const Group::TermOpened&);
    void perform(Instant now, const Group::Durable&);
    void perform(Instant now, const Group::NotDurable&);
    void perform(Instant now, const Group::Confirmed&);
    void perform(Instant now, const Group::NotConfirmed&);
    void perform(Instant now, const LogRecord&);

    DatabaseName m_database;
    HostName m_self;
    DataCentreName m_dataCentre;
    Incarnation m_incarnation;
    Config::DatabasePlacement m_placement;
    HomeSettings m_settings;
    RandomEngine& m_random;
    DatabaseHomeDelegate& m_delegate;
    Group::GroupWatch m_watch;
    GroupConnections m_groupConnections;
    std::map<TargetName, TargetPool> m_pools;
    std::map<OperationId, std::unique_ptr<HomeOperation>> m_operations;
    /// Transactions by their number, which is the operation id of their Begin.
    std::map<OperationId, TransactionOperation*> m_transactions;
    DeadlineSet<OperationId> m_deadlines;
    std::set<OperationId> m_heldForPrimary;
    /// Pending durability waits and primary confirmations, by the id that the group watch knows them by.
    std::map<std::uint64_t, OperationId> m_pendingWaits;
    std::uint64_t m_lastWaitId { 0 };
    /// Operations that wait for a connection, with the target that they wait for.
    std::map<OperationId, TargetName> m_waitingOperations;
    std::map<ConnectionId, PendingCommand> m_pendingCommands;
    std::set<ConnectionId> m_rollingBack;
    std::optional<Drain> m_drain;
    bool m_retired { false };
    std::set<TargetName> m_leaving;
    std::optional<TargetName> m_switchoverTarget;
};

} // namespace Auburnpost
