#include "engine/DatabaseHome.h"

#include "engine/ReadOperation.h"
#include "engine/ResolveOutcomeOperation.h"
#include "engine/WatcherMessages.h"
#include "engine/WriteOperation.h"
#include "route/TargetChoice.h"

#include <algorithm>
#include <cmath>

namespace Auburnpost {

namespace {

    /// Estimated service time of a statement on a target. The admission queue uses it to share the target between
    /// organisations and to refuse requests that cannot finish before their deadline.
    constexpr Duration estimatedStatementTime = std::chrono::milliseconds(1);
    /// Connections that one home uses for group commands on each target.
    constexpr unsigned controlConnections = 2;

    std::vector<Group::GroupMember> makeMembers(const Config::DatabasePlacement& placement)
    {
        std::vector<Group::GroupMember> members;
        for (const auto& target : placement.targets)
            members.push_back({ target.name, target.dataCentre });
        return members;
    }

    Limit::ConnectionBudgetSettings makeBudgetSettings(const Config::DatabasePlacement& placement)
    {
        Limit::ConnectionBudgetSettings settings;
        const auto reserved = controlConnections * placement.homes;
        settings.cap = placement.connectionCap > reserved ? placement.connectionCap - reserved : 1;
        settings.homes = placement.homes;
        return settings;
    }

    std::size_t inFlightLimit(const Config::DatabasePlacement& placement, const HomeSettings& settings)
    {
        return std::max<std::size_t>(
            1, static_cast<std::size_t>(std::ceil(placement.slots * settings.inFlightPerSlot)));
    }

} // namespace

DatabaseHome::DatabaseHome(Instant now, DatabaseName database, HostName self, DataCentreName dataCentre,
    Incarnation incarnation, const Config::DatabasePlacement& placement, const HomeSettings& settings,
    RandomEngine& random, DatabaseHomeDelegate& delegate)
    : m_database(std::move(database))
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_incarnation(incarnation)
    , m_placement(placement)
    , m_settings(settings)
    , m_random(random)
    , m_delegate(delegate)
    , m_watch(now, m_database, m_self, incarnation, makeMembers(placement), settings.group)
    , m_groupConnections(*this)
{
    for (const auto& target : placement.targets)
        m_pools.try_emplace(target.name, target.name, makeBudgetSettings(placement), inFlightLimit(placement, settings),
            settings.queueLength, *this);
}

DatabaseHome::~DatabaseHome() = default;

void DatabaseHome::submit(Instant now, OperationId id, HomeRequest homeRequest, Instant deadline)
{
    const bool belongsToTransaction = homeRequest.kind == HomeRequestKind::ExecuteInTransaction
        || homeRequest.kind == HomeRequestKind::Commit || homeRequest.kind == HomeRequestKind::Rollback;
    if (belongsToTransaction) {
        submitToTransaction(now, id, std::move(homeRequest), deadline);
        removeFinished(now);
        return;
    }
    if (m_retired) {
        reply(now, id,
            HomeFailure { FailedOutcome::NotRun,
                { ErrorCode::NoHome, "forward", m_self.value(), "another host has taken the database over" },
                std::nullopt });
        return;
    }
    auto operation = makeOperation(id, std::move(homeRequest), deadline);
    auto& started = *operation;
    m_operations.emplace(id, std::move(operation));
    m_deadlines.add(deadline, id);
    started.start(now);
    removeFinished(now);
}

std::unique_ptr<HomeOperation> DatabaseHome::makeOperation(OperationId id, HomeRequest homeRequest, Instant deadline)
{
    switch (homeRequest.kind) {
    case HomeRequestKind::Read:
        return std::make_unique<ReadOperation>(id, std::move(homeRequest), deadline, *this);
    case HomeRequestKind::Write:
        return std::make_unique<WriteOperation>(id, std::move(homeRequest), deadline, *this);
    case HomeRequestKind::Begin: {
        auto transaction = std::make_unique<TransactionOperation>(
            id, std::move(homeRequest), deadline, m_settings.transaction, *this);
        m_transactions.emplace(id, transaction.get());
        return transaction;
    }
    default:
        return std::make_unique<ResolveOutcomeOperation>(id, std::move(homeRequest), deadline, *this);
    }
}

void DatabaseHome::submitToTransaction(Instant now, OperationId id, HomeRequest homeRequest, Instant deadline)
{
    const auto found = m_transactions.find(OperationId(homeRequest.transaction));
    if (homeRequest.homeIncarnation != m_incarnation || found == m_transactions.end()) {
        reply(now, id,
            HomeFailure { FailedOutcome::NotRun,
                { ErrorCode::UnknownTransaction, "transaction", m_self.value(), "this home holds no such transaction" },
                std::nullopt });
        return;
    }
    found->second->handleRequest(now, id, std::move(homeRequest), deadline);
}

HomeOperation* DatabaseHome::find(OperationId id)
{
    const auto found = m_operations.find(id);
    return found == m_operations.end() ? nullptr : found->second.get();
}

void DatabaseHome::tick(Instant now)
{
    perform(now, m_watch.tick(now, m_random));
    m_groupConnections.closeUnresponsive(now);
    const auto primary = m_watch.primary(now);
    for (auto& [name, pool] : m_pools) {
        // A leaving primary keeps serving until the planned switchover has replaced it.
        pool.setLeaving(now, m_retired || (m_leaving.contains(name) && !(primary && primary->target == name)));
        pool.pump(now);
    }
    for (const auto id : m_deadlines.takeExpired(now)) {
        if (auto* operation = find(id))
            operation->onDeadline(now);
    }
    checkTransactionLimits(now);
    checkDrain(now);
    restartHeldOperations(now);
    removeFinished(now);
}

void DatabaseHome::checkTransactionLimits(Instant now)
{
    for (const auto& [id, transaction] : m_transactions)
        transaction->checkTimeLimits(now);
}

void DatabaseHome::restartHeldOperations(Instant now)
{
    if (m_heldForPrimary.empty() || !readablePrimary(now))
        return;
    for (const auto id : std::exchange(m_heldForPrimary, {})) {
        auto* operation = find(id);
        if (operation && !operation->isFinished())
            operation->start(now);
    }
}

void DatabaseHome::moveToNewPrimary(Instant now)
{
    std::vector<OperationId> ids;
    for (const auto& [id, operation] : m_operations)
        ids.push_back(id);
    for (const auto id : ids) {
        auto* operation = find(id);
        if (!operation || operation->isFinished())
            continue;
        const auto waiting = m_waitingOperations.find(id);
        if (waiting == m_waitingOperations.end()) {
            operation->onPrimaryReplaced(now);
            continue;
        }
        m_pools.at(waiting->second).cancel(id);
        m_waitingOperations.erase(waiting);
        operation->start(now);
    }
}

void DatabaseHome::removeFinished(Instant)
{
    for (auto entry = m_operations.begin(); entry != m_operations.end();) {
        auto& operation = *entry->second;
        if (!operation.isFinished()) {
            ++entry;
            continue;
        }
        const auto id = operation.id();
        const auto waiting = m_waitingOperations.find(id);
        if (waiting != m_waitingOperations.end()) {
            m_pools.at(waiting->second).cancel(id);
            m_waitingOperations.erase(waiting);
        }
        m_deadlines.remove(operation.deadline(), id);
        m_heldForPrimary.erase(id);
        m_transactions.erase(id);
        entry = m_operations.erase(entry);
    }
}

void DatabaseHome::setWatchers(Instant now, std::vector<HostName> watchers)
{
    perform(now, m_watch.setWatchers(now, std::move(watchers)));
}

void DatabaseHome::setMaintenance(
    Instant now, const std::set<TargetName>& leaving, const std::optional<TargetName>& switchoverTarget)
{
    for (const auto& [name, pool] : m_pools) {
        if (leaving.contains(name) && !m_leaving.contains(name))
            logTargetEvent(LogEvent::TargetLeaving, name, "");
    }
    m_leaving = leaving;
    perform(now, m_watch.setLeaving(now, leaving));
    const bool isNewRequest = switchoverTarget && switchoverTarget != m_switchoverTarget;
    m_switchoverTarget = switchoverTarget;
    if (isNewRequest)
        perform(now, m_watch.requestSwitchover(now, *switchoverTarget));
}

void DatabaseHome::handleWatcherMessage(Instant now, const HostName& from, const std::string& content)
{
    const auto message = readWatcherMessage(content);
    if (!message) {
        m_delegate.actions().emplace_back(LogRecord {
            LogEvent::PeerMessageRejected, { { "peer", from.value() }, { "reason", message.error().describe() } } });
        return;
    }
    if (const auto* vote = std::get_if<Group::WatcherVote>(&*message))
        perform(now, m_watch.handleVote(now, from, *vote));
    else if (const auto* drain = std::get_if<DrainRequest>(&*message))
        beginDrain(now, from, drain->id, drain->limit);
    else if (const auto* drained = std::get_if<DrainCompleted>(&*message))
        perform(now, m_watch.recordDrained(now, from, drained->id));
    else
        endDrain(now, from, std::get<ResumeRequest>(*message).id);
    removeFinished(now);
}

void DatabaseHome::beginDrain(Instant now, const HostName& from, Group::SwitchoverId id, Duration limit)
{
    perform(now, m_watch.handleDrainRequest(now, from));
    m_drain = Drain { from, id, now + limit, false };
    // Writes that have not been sent yet wait until the switchover is over.
    holdWaitingWrites(std::nullopt);
    checkDrain(now);
}

void DatabaseHome::holdWaitingWrites(const std::optional<TargetName>& only)
{
    for (const auto& [operation, target] : std::exchange(m_waitingOperations, {})) {
        auto* waiting = find(operation);
        if (!waiting || waiting->homeRequest().kind == HomeRequestKind::Read || (only && target != *only)) {
            m_waitingOperations.emplace(operation, target);
            continue;
        }
        m_pools.at(target).cancel(operation);
        m_heldForPrimary.insert(operation);
    }
}

void DatabaseHome::endDrain(Instant now, const HostName& from, Group::SwitchoverId id)
{
    if (!m_drain || m_drain->from != from || m_drain->id != id)
        return;
    m_drain.reset();
    restartHeldOperations(now);
}

void DatabaseHome::checkDrain(Instant now)
{
    if (!m_drain)
        return;
    if (now >= m_drain->expiresAt) {
        m_drain.reset();
        return;
    }
    const bool isBusy = std::any_of(
        m_operations.begin(), m_operations.end(), [](const auto& entry) { return entry.second->blocksSwitchover(); });
    if (isBusy || m_drain->reported)
        return;
    m_drain->reported = true;
    if (m_drain->from == m_self)
        perform(now, m_watch.recordDrained(now, m_self, m_drain->id));
    else
        m_delegate.sendWatcherMessage(m_drain->from, m_database, writeWatcherMessage(DrainCompleted { m_drain->id }));
}

void DatabaseHome::logTargetEvent(LogEvent event, const TargetName& target, const std::string& error)
{
    LogRecord record { event, { { "database", m_database.value() }, { "target", target.value() } } };
    if (!error.empty())
        record.fields.push_back({ "error", error });
    m_delegate.actions().emplace_back(std::move(record));
}

void DatabaseHome::shutDown(Instant now)
{
    const Error stopping { ErrorCode::Leaving, "stop", m_self.value(), "this host stops" };
    m_groupConnections.shutDown();
    for (auto& [name, pool] : m_pools) {
        for (const auto id : pool.shutDown()) {
            if (auto* operation = find(id))
                operation->onConnectionLost(now, stopping);
        }
    }
    for (auto& [id, operation] : m_operations) {
        if (!operation->isFinished())
            operation->onDeadline(now);
    }
    removeFinished(now);
}

std::optional<Group::PrimaryView> DatabaseHome::writablePrimary(Instant now) const
{
    if (m_drain)
        return std::nullopt;
    return readablePrimary(now);
}

std::optional<Group::PrimaryView> DatabaseHome::readablePrimary(Instant now) const
{
    auto primary = m_watch.primary(now);
    if (!primary || primary->suspected || !m_pools.contains(primary->target))
        return std::nullopt;
    // Operations that wait for an unreachable target would count as its load.
    if (m_pools.at(primary->target).isUnreachable())
        return std::nullopt;
    return primary;
}

std::optional<TargetName> DatabaseHome::chooseReplica(Instant now, const Route::Freshness& freshness)
{
    std::vector<Route::ReadCandidate> candidates;
    for (const auto& view : m_watch.members(now)) {
        const auto& name = view.member.target;
        if (!view.reachable || view.leaving || !view.lastStatus || view.lastStatus->role != TargetRole::Replica)
            continue;
        const auto& end = view.lastStatus->end;
        candidates.push_back({ name, view.member.dataCentre, end, m_watch.ageOf(now, end), m_pools.at(name).load() });
    }
    return Route::chooseReplica(candidates, freshness, m_dataCentre, m_random);
}

std::optional<Duration> DatabaseHome::ageOf(Instant now, const LogPoint& end) const
{
    return m_watch.ageOf(now, end);
}

void DatabaseHome::holdForPrimary(OperationId id)
{
    m_heldForPrimary.insert(id);
}

void DatabaseHome::requestConnection(Instant now, OperationId id, const TargetName& target, const ConnectionUse& use)
{
    const auto* operation = find(id);
    m_waitingOperations[id] = target;
    const Limit::Ticket ticket { RequestId(id.value()), operation->homeRequest().organisation, use.priority,
        operation->deadline(), estimatedStatementTime };
    m_pools.at(target).request(now, ticket, use.pinned);
}

void DatabaseHome::send(Instant now, ConnectionId connection, std::vector<Statement> statements)
{
    for (auto& [name, pool] : m_pools) {
        if (pool.holds(connection))
            m_pendingCommands[connection] = { name, now };
    }
    sendStatements(connection, std::move(statements));
}

void DatabaseHome::release(Instant now, ConnectionId connection, ConnectionDisposition disposition)
{
    for (auto& [name, pool] : m_pools) {
        if (pool.holds(connection)) {
            pool.release(now, connection, disposition);
            return;
        }
    }
}

void DatabaseHome::awaitDurable(Instant now, OperationId id, const LogPoint& point, Instant deadline)
{
    m_pendingWaits.emplace(++m_lastWaitId, id);
    perform(now, m_watch.awaitDurable(now, Group::WaitId(m_lastWaitId), point, deadline));
}

void DatabaseHome::confirm(Instant now, OperationId id, Instant deadline)
{
    m_pendingWaits.emplace(++m_lastWaitId, id);
    perform(now, m_watch.confirm(now, Group::ConfirmationId(m_lastWaitId), deadline));
}

void DatabaseHome::reply(Instant now, OperationId id, HomeReply reply)
{
    m_delegate.handleHomeReply(now, id, std::move(reply));
}

} // namespace Auburnpost
