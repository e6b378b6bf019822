#pragma once

#include "base/Random.h"
#include "config/Document.h"
#include "engine/Action.h"
#include "engine/DeadlineSet.h"
#include "engine/GroupLinks.h"
#include "engine/HomeServices.h"
#include "engine/TargetPool.h"
#include "engine/TransactionOperation.h"
#include "group/GroupWatch.h"
#include "message/PeerMessage.h"
#include "message/Work.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Auburnpost {

class HomeOperation;

/// Times and sizes of a home.
struct HomeSettings {
    Group::GroupSettings group;
    TransactionLimits transaction;
    /// Statements in flight of one home on one target, for each slot that it has.
    double inFlightPerSlot { 1.0 };
    std::size_t queueLength { 1024 };
};

/// What a home asks of the host that it is on.
class DatabaseHomeOwner {
public:
    virtual ~DatabaseHomeOwner() = default;
    virtual Actions& actions() = 0;
    virtual ConnectionId nextConnection() = 0;
    virtual CommandId nextCommand() = 0;
    virtual OperationId nextOperation() = 0;
    /// Sends a note to the watcher of the same database on another host.
    virtual void sendWatcherNote(const HostName&, const DatabaseName&, std::string content) = 0;
    /// Hands on the reply to work that submit() took.
    virtual void workReplied(Instant now, OperationId, WorkReply) = 0;
};

/// One database on one of its homes: the watch over its group, the connections to its targets, the operations.
class DatabaseHome : public HomeServices, public TargetPoolOwner, public GroupLinksOwner {
public:
    DatabaseHome(Instant now, DatabaseName, HostName self, DataCentreName, Incarnation,
        const Config::DatabasePlacement&, const HomeSettings&, RandomEngine&, DatabaseHomeOwner&);
    ~DatabaseHome() override;

    /// Takes work; its one reply goes to workReplied() under @p id.
    void submit(Instant now, OperationId id, Work, Instant deadline);
    void tick(Instant now);
    void setWatchers(Instant now, std::vector<HostName>);
    void setMaintenance(Instant now, const std::set<TargetName>& leaving, const std::optional<TargetName>& switchTo);
    /// Another host has taken over: takes no new work, and gives connections up as they fall idle.
    void setRetired(bool retired) { m_retired = retired; }
    void watcherNote(Instant now, const HostName& from, const std::string& content);

    [[nodiscard]] bool holds(ConnectionId) const;
    void opened(Instant now, ConnectionId, const TargetStanding&);
    void answered(Instant now, const TargetAnswer&);
    void lost(Instant now, const TargetConnectionLost&);

    /// @return operations under way, open transactions included.
    [[nodiscard]] std::size_t operations() const { return m_operations.size(); }
    [[nodiscard]] Group::GroupDump groupDump(Instant now) const { return m_watch.dump(now); }
    [[nodiscard]] const std::map<TargetName, TargetPool>& pools() const { return m_pools; }
    [[nodiscard]] bool isHoldingWrites() const { return m_drain.has_value(); }
    [[nodiscard]] std::size_t heldForPrimary() const { return m_held.size(); }
    [[nodiscard]] const Config::DatabasePlacement& placement() const { return m_placement; }
    /// Closes all connections; operations under way fail as their phase says.
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
    void release(Instant now, ConnectionId, ConnectionFate) override;
    void awaitDurable(Instant now, OperationId, const LogPoint&, Instant deadline) override;
    void confirm(Instant now, OperationId, Instant deadline) override;
    void reply(Instant now, OperationId, WorkReply) override;

    // TargetPoolOwner, GroupLinksOwner
    ConnectionId openConnection(const TargetName&) override;
    void closeConnection(ConnectionId) override;
    void rollBackConnection(Instant now, ConnectionId) override;
    void connectionGranted(Instant now, OperationId, ConnectionId) override;
    void connectionRefused(Instant now, OperationId, const Error&, std::optional<Duration> retryAfter) override;
    void sendStatements(ConnectionId, std::vector<Statement>) override;
    void groupCommandAnswered(Instant now, const TargetName&, Group::CorrelationId, const GroupStatus&) override;
    void groupCommandFailed(Instant now, const TargetName&, Group::CorrelationId, const Error&) override;

private:
    struct Drain {
        HostName from;
        Group::SwitchId id;
        Instant ends;
        bool reported { false };
    };
    struct Flight {
        TargetName target;
        Instant sentAt;
    };

    void submitToTransaction(Instant now, OperationId, Work, Instant deadline);
    std::unique_ptr<HomeOperation> makeOperation(OperationId, Work, Instant deadline);
    HomeOperation* find(OperationId);
    void restartHeld(Instant now);
    void moveToPrimary(Instant now);
    void dropFinished(Instant now);
    void checkTransactions(Instant now);
    void checkDrain(Instant now);
    void logTarget(LogEvent, const TargetName&, const std::string& error);
    void beginDrain(Instant now, const HostName& from, Group::SwitchId, Duration limit);
    /// Takes what waits to write out of the queues, of one target or of all, until there is a primary to write to.
    void holdWaiting(const std::optional<TargetName>& only);
    void endDrain(Instant now, const HostName& from, Group::SwitchId);

    void apply(Instant now, const Group::GroupActions&);
    void apply(Instant now, const Group::SendCommand&);
    void apply(Instant now, const Group::SendVote&);
    void apply(Instant now, const Group::DrainWrites&);
    void apply(Instant now, const Group::ResumeWrites&);
    void apply(Instant now, const Group::PrimaryLearned&);
    void apply(Instant now, const Group::TermOpened&);
    void apply(Instant now, const Group::Durable&);
    void apply(Instant now, const Group::NotDurable&);
    void apply(Instant now, const Group::Confirmed&);
    void apply(Instant now, const Group::NotConfirmed&);
    void apply(Instant now, const LogRecord&);

    DatabaseName m_database;
    HostName m_self;
    DataCentreName m_dataCentre;
    Incarnation m_incarnation;
    Config::DatabasePlacement m_placement;
    HomeSettings m_settings;
    RandomEngine& m_random;
    DatabaseHomeOwner& m_owner;
    Group::GroupWatch m_watch;
    GroupLinks m_links;
    std::map<TargetName, TargetPool> m_pools;
    std::map<OperationId, std::unique_ptr<HomeOperation>> m_operations;
    /// Transactions by their number, which is the id of their Begin.
    std::map<OperationId, TransactionOperation*> m_transactions;
    DeadlineSet<OperationId> m_deadlines;
    std::set<OperationId> m_held;
    /// Waits for a majority and confirmations under way, by the number given to the watch.
    std::map<std::uint64_t, OperationId> m_proofs;
    std::uint64_t m_lastProof { 0 };
    /// Operations that wait for a connection, and the target that they wait for.
    std::map<OperationId, TargetName> m_waiting;
    std::map<ConnectionId, Flight> m_flights;
    std::set<ConnectionId> m_rollingBack;
    std::optional<Drain> m_drain;
    bool m_retired { false };
    std::set<TargetName> m_leaving;
    std::optional<TargetName> m_switchTo;
};

} // namespace Auburnpost
