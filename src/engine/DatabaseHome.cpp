#include "engine/DatabaseHome.h"

#include "engine/ReadOperation.h"
#include "engine/SettleOperation.h"
#include "engine/WatcherNotes.h"
#include "engine/WriteOperation.h"
#include "route/TargetChoice.h"

#include <algorithm>
#include <cmath>

namespace Auburnpost {

namespace {

    /// Estimated time of a statement on a target, for the order in the queue.
    constexpr Duration statementCost = std::chrono::milliseconds(1);
    /// Connections that group commands take on each target.
    constexpr unsigned controlConnections = 2;

    std::vector<Group::GroupMember> membersOf(const Config::DatabasePlacement& placement)
    {
        std::vector<Group::GroupMember> members;
        for (const auto& target : placement.targets)
            members.push_back({ target.name, target.dataCentre });
        return members;
    }

    Limit::ConnectionBudgetSettings budgetOf(const Config::DatabasePlacement& placement)
    {
        Limit::ConnectionBudgetSettings settings;
        const auto control = controlConnections * placement.homes;
        settings.cap = placement.connectionCap > control ? placement.connectionCap - control : 1;
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
    RandomEngine& random, DatabaseHomeOwner& owner)
    : m_database(std::move(database))
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_incarnation(incarnation)
    , m_placement(placement)
    , m_settings(settings)
    , m_random(random)
    , m_owner(owner)
    , m_watch(now, m_database, m_self, incarnation, membersOf(placement), settings.group)
    , m_links(*this)
{
    for (const auto& target : placement.targets)
        m_pools.try_emplace(target.name, target.name, budgetOf(placement), inFlightLimit(placement, settings),
            settings.queueLength, *this);
}

DatabaseHome::~DatabaseHome() = default;

void DatabaseHome::submit(Instant now, OperationId id, Work work, Instant deadline)
{
    const bool ofTransaction = work.kind == WorkKind::ExecuteInTransaction || work.kind == WorkKind::Commit
        || work.kind == WorkKind::Rollback;
    if (ofTransaction) {
        submitToTransaction(now, id, std::move(work), deadline);
        dropFinished(now);
        return;
    }
    if (m_retired) {
        reply(now, id,
            WorkFailed { FailedOutcome::NotRun,
                { ErrorCode::NoHome, "forward", m_self.value(), "another host has taken the database over" },
                std::nullopt });
        return;
    }
    auto operation = makeOperation(id, std::move(work), deadline);
    auto& started = *operation;
    m_operations.emplace(id, std::move(operation));
    m_deadlines.add(deadline, id);
    started.start(now);
    dropFinished(now);
}

std::unique_ptr<HomeOperation> DatabaseHome::makeOperation(OperationId id, Work work, Instant deadline)
{
    switch (work.kind) {
    case WorkKind::Read:
        return std::make_unique<ReadOperation>(id, std::move(work), deadline, *this);
    case WorkKind::Write:
        return std::make_unique<WriteOperation>(id, std::move(work), deadline, *this);
    case WorkKind::Begin: {
        auto transaction
            = std::make_unique<TransactionOperation>(id, std::move(work), deadline, m_settings.transaction, *this);
        m_transactions.emplace(id, transaction.get());
        return transaction;
    }
    default:
        return std::make_unique<SettleOperation>(id, std::move(work), deadline, *this);
    }
}

void DatabaseHome::submitToTransaction(Instant now, OperationId id, Work work, Instant deadline)
{
    const auto found = m_transactions.find(OperationId(work.transaction));
    if (work.homeIncarnation != m_incarnation || found == m_transactions.end()) {
        reply(now, id,
            WorkFailed { FailedOutcome::NotRun,
                { ErrorCode::UnknownTransaction, "transaction", m_self.value(), "this home holds no such transaction" },
                std::nullopt });
        return;
    }
    found->second->take(now, id, std::move(work), deadline);
}

HomeOperation* DatabaseHome::find(OperationId id)
{
    const auto found = m_operations.find(id);
    return found == m_operations.end() ? nullptr : found->second.get();
}

void DatabaseHome::tick(Instant now)
{
    apply(now, m_watch.tick(now, m_random));
    m_links.checkTime(now);
    const auto primary = m_watch.primary(now);
    for (auto& [name, pool] : m_pools) {
        // A leaving primary goes on until the planned switch has replaced it.
        pool.setLeaving(now, m_retired || (m_leaving.contains(name) && !(primary && primary->target == name)));
        pool.pump(now);
    }
    for (const auto id : m_deadlines.takeExpired(now)) {
        if (auto* operation = find(id))
            operation->expired(now);
    }
    checkTransactions(now);
    checkDrain(now);
    restartHeld(now);
    dropFinished(now);
}

void DatabaseHome::checkTransactions(Instant now)
{
    for (const auto& [id, transaction] : m_transactions)
        transaction->checkTime(now);
}

void DatabaseHome::restartHeld(Instant now)
{
    if (m_held.empty() || !readablePrimary(now))
        return;
    for (const auto id : std::exchange(m_held, {})) {
        auto* operation = find(id);
        if (operation && !operation->isFinished())
            operation->start(now);
    }
}

void DatabaseHome::moveToPrimary(Instant now)
{
    std::vector<OperationId> ids;
    for (const auto& [id, operation] : m_operations)
        ids.push_back(id);
    for (const auto id : ids) {
        auto* operation = find(id);
        if (!operation || operation->isFinished())
            continue;
        const auto waiting = m_waiting.find(id);
        if (waiting == m_waiting.end()) {
            operation->primaryReplaced(now);
            continue;
        }
        m_pools.at(waiting->second).cancel(id, operation->work().organisation);
        m_waiting.erase(waiting);
        operation->start(now);
    }
}

void DatabaseHome::dropFinished(Instant)
{
    for (auto entry = m_operations.begin(); entry != m_operations.end();) {
        auto& operation = *entry->second;
        if (!operation.isFinished()) {
            ++entry;
            continue;
        }
        const auto id = operation.id();
        const auto waiting = m_waiting.find(id);
        if (waiting != m_waiting.end()) {
            m_pools.at(waiting->second).cancel(id, operation.work().organisation);
            m_waiting.erase(waiting);
        }
        m_deadlines.remove(operation.deadline(), id);
        m_held.erase(id);
        m_transactions.erase(id);
        entry = m_operations.erase(entry);
    }
}

void DatabaseHome::setWatchers(Instant now, std::vector<HostName> watchers)
{
    apply(now, m_watch.setWatchers(now, std::move(watchers)));
}

void DatabaseHome::setMaintenance(
    Instant now, const std::set<TargetName>& leaving, const std::optional<TargetName>& switchTo)
{
    for (const auto& [name, pool] : m_pools) {
        if (leaving.contains(name) && !m_leaving.contains(name))
            logTarget(LogEvent::TargetLeaving, name, "");
    }
    m_leaving = leaving;
    apply(now, m_watch.setLeaving(now, leaving));
    const bool isNewWish = switchTo && switchTo != m_switchTo;
    m_switchTo = switchTo;
    if (isNewWish)
        apply(now, m_watch.requestSwitch(now, *switchTo));
}

void DatabaseHome::watcherNote(Instant now, const HostName& from, const std::string& content)
{
    const auto note = readWatcherNote(content);
    if (!note) {
        m_owner.actions().emplace_back(LogRecord {
            LogEvent::PeerMessageRefused, { { "peer", from.value() }, { "reason", note.error().describe() } } });
        return;
    }
    if (const auto* vote = std::get_if<Group::WatchVote>(&*note))
        apply(now, m_watch.vote(now, from, *vote));
    else if (const auto* drain = std::get_if<DrainNote>(&*note))
        beginDrain(now, from, drain->id, drain->limit);
    else if (const auto* drained = std::get_if<DrainedNote>(&*note))
        apply(now, m_watch.drained(now, from, drained->id));
    else
        endDrain(now, from, std::get<ResumeNote>(*note).id);
    dropFinished(now);
}

void DatabaseHome::beginDrain(Instant now, const HostName& from, Group::SwitchId id, Duration limit)
{
    apply(now, m_watch.drainRequested(now, from));
    m_drain = Drain { from, id, now + limit, false };
    // What has not been sent yet waits until the switch is over.
    holdWaiting(std::nullopt);
    checkDrain(now);
}

void DatabaseHome::holdWaiting(const std::optional<TargetName>& only)
{
    for (const auto& [operation, target] : std::exchange(m_waiting, {})) {
        auto* waiting = find(operation);
        if (!waiting || waiting->work().kind == WorkKind::Read || (only && target != *only)) {
            m_waiting.emplace(operation, target);
            continue;
        }
        m_pools.at(target).cancel(operation, waiting->work().organisation);
        m_held.insert(operation);
    }
}

void DatabaseHome::endDrain(Instant now, const HostName& from, Group::SwitchId id)
{
    if (!m_drain || m_drain->from != from || m_drain->id != id)
        return;
    m_drain.reset();
    restartHeld(now);
}

void DatabaseHome::checkDrain(Instant now)
{
    if (!m_drain)
        return;
    if (now >= m_drain->ends) {
        m_drain.reset();
        return;
    }
    const bool busy = std::any_of(
        m_operations.begin(), m_operations.end(), [](const auto& entry) { return entry.second->holdsPrimary(); });
    if (busy || m_drain->reported)
        return;
    m_drain->reported = true;
    if (m_drain->from == m_self)
        apply(now, m_watch.drained(now, m_self, m_drain->id));
    else
        m_owner.sendWatcherNote(m_drain->from, m_database, writeWatcherNote(DrainedNote { m_drain->id }));
}

void DatabaseHome::logTarget(LogEvent event, const TargetName& target, const std::string& error)
{
    LogRecord record { event, { { "database", m_database.value() }, { "target", target.value() } } };
    if (!error.empty())
        record.fields.push_back({ "error", error });
    m_owner.actions().emplace_back(std::move(record));
}

void DatabaseHome::shutDown(Instant now)
{
    const Error stopping { ErrorCode::Leaving, "stop", m_self.value(), "this host stops" };
    m_links.shutDown();
    for (auto& [name, pool] : m_pools) {
        for (const auto id : pool.shutDown()) {
            if (auto* operation = find(id))
                operation->connectionLost(now, stopping);
        }
    }
    for (auto& [id, operation] : m_operations) {
        if (!operation->isFinished())
            operation->expired(now);
    }
    dropFinished(now);
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
    // Waiting in the queue of a target that can't be reached would count as load.
    if (m_pools.at(primary->target).isUnreachable())
        return std::nullopt;
    return primary;
}

std::optional<TargetName> DatabaseHome::chooseReplica(Instant now, const Route::Freshness& freshness)
{
    std::vector<Route::ReadCandidate> candidates;
    for (const auto& view : m_watch.members(now)) {
        const auto& name = view.member.target;
        if (!view.reachable || view.leaving || !view.standing || view.standing->role != TargetRole::Replica)
            continue;
        const auto& end = view.standing->end;
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
    m_held.insert(id);
}

void DatabaseHome::requestConnection(Instant now, OperationId id, const TargetName& target, const ConnectionUse& use)
{
    const auto* operation = find(id);
    m_waiting[id] = target;
    const Limit::Ticket ticket { RequestId(id.value()), operation->work().organisation, use.priority,
        operation->deadline(), statementCost };
    m_pools.at(target).request(now, ticket, use.pinned);
}

void DatabaseHome::send(Instant now, ConnectionId connection, std::vector<Statement> statements)
{
    for (auto& [name, pool] : m_pools) {
        if (pool.holds(connection))
            m_flights[connection] = { name, now };
    }
    sendStatements(connection, std::move(statements));
}

void DatabaseHome::release(Instant now, ConnectionId connection, ConnectionFate fate)
{
    for (auto& [name, pool] : m_pools) {
        if (pool.holds(connection)) {
            pool.release(now, connection, fate);
            return;
        }
    }
}

void DatabaseHome::awaitDurable(Instant now, OperationId id, const LogPoint& point, Instant deadline)
{
    m_proofs.emplace(++m_lastProof, id);
    apply(now, m_watch.awaitDurable(now, Group::WaitId(m_lastProof), point, deadline));
}

void DatabaseHome::confirm(Instant now, OperationId id, Instant deadline)
{
    m_proofs.emplace(++m_lastProof, id);
    apply(now, m_watch.confirm(now, Group::ConfirmId(m_lastProof), deadline));
}

void DatabaseHome::reply(Instant now, OperationId id, WorkReply reply)
{
    m_owner.workReplied(now, id, std::move(reply));
}

} // namespace Auburnpost
