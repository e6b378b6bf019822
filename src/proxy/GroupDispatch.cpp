#include "proxy/GroupService.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Subtracted from a route's staleness allowance for the time that a read may still spend in transit.
    constexpr Duration stalenessMargin = std::chrono::milliseconds(150);

    std::optional<LogPoint> later(const std::optional<LogPoint>& left, const std::optional<LogPoint>& right)
    {
        if (!left || !right)
            return left ? left : right;
        return std::max(*left, *right);
    }

} // namespace

void GroupService::submit(Instant now, PendingStatement submitted)
{
    m_retries.recordRequest(now);
    const auto id = submitted.id;
    const auto& pending = m_statements.emplace(id, std::move(submitted)).first->second;
    // Goes through the queue, so that statements which already wait are dispatched first.
    finishRefused(now, m_queue.enqueue(now, ticketOf(now, pending)));
    dispatchWaiting(now);
}

Limit::Ticket GroupService::ticketOf(Instant now, const PendingStatement& pending) const
{
    Limit::Ticket ticket;
    ticket.id = RequestId(pending.id.value());
    ticket.organisation = pending.organisation;
    ticket.priority = static_cast<Limit::Priority>(pending.route.priority);
    ticket.deadline = pending.deadline;
    if (pending.route.latencyTarget > Duration {})
        ticket.targetAt = pending.arrivedAt + pending.route.latencyTarget;
    ticket.lane = laneOf(pending);
    // A slow target must not make statements unservable that another one answers in time.
    constexpr int maxCostShare = 4;
    ticket.cost = std::min(m_serviceTimes.estimate(now, ticket.lane), pending.route.statementTimeout / maxCostShare);
    return ticket;
}

bool GroupService::requeue(Instant now, const PendingStatement& pending)
{
    // Another attempt of the same statement may have been refused before.
    if (m_queue.contains(RequestId(pending.id.value())))
        return true;
    auto ticket = ticketOf(now, pending);
    ticket.isRepeated = true;
    if (!m_queue.enqueue(now, ticket).empty())
        return false;
    if (now < pending.retryNotBefore)
        m_queue.park(ticket.id, pending.retryNotBefore);
    return true;
}

void GroupService::finishRefused(Instant now, const std::vector<Limit::AdmissionRefusal>& refusals)
{
    for (const auto& refusal : refusals) {
        const auto* const found = findStatement(PendingStatementId(refusal.id.value()));
        if (!found)
            continue;
        auto refused = *found;
        // A statement that was never tried waited for the same reason as those of its lane that were.
        if (refused.waitReason == WaitReason::None && refused.attempts == 0)
            refused.waitReason = m_laneWaitReasons[laneOf(refused)];
        const bool isFull = refusal.reason == Limit::RefusalReason::QueueFull;
        finishUnsent(now, refused, Session::FailureCode::Busy,
            isFull ? "too many statements wait on this host" : "no target could serve in time");
    }
}

bool GroupService::submitPinned(Instant now, PendingStatement submitted, ConnectionId id)
{
    auto* const connection = findConnection(id);
    if (!connection || connection->stage != ConnectionStage::Pinned || connection->session != submitted.session)
        return false;
    const auto pendingId = submitted.id;
    auto& pending = m_statements.emplace(pendingId, std::move(submitted)).first->second;
    const bool commits = pending.statement.kind == Session::StatementKind::Commit && connection->hasWritten;
    if (commits && !m_watcher.guard().allows(connection->target)) {
        const auto refused = pending;
        releaseTransaction(now, id, false);
        finish(refused,
            { Session::Failure { Session::FailureCode::Aborted, "the primary may have been replaced" },
                Session::TransactionState::Idle, {} },
            nullptr);
        return true;
    }
    m_queue.charge(pending.organisation, m_serviceTimes.estimate(now, laneOf(pending)));
    assignToConnection(now, *connection, pending);
    return true;
}

void GroupService::dispatchWaiting(Instant now)
{
    if (m_isDispatching || m_queue.size() == 0)
        return;
    m_isDispatching = true;
    const auto unservable = dispatchInOrder(now);
    m_isDispatching = false;
    finishRefused(now, m_queue.takeRefused());
    for (const auto id : unservable) {
        // The caller may submit its next statement from within the answer; it is then dispatched as usual.
        const auto* const found = findStatement(id);
        if (!found)
            continue;
        const auto pending = *found;
        finishUnsent(now, pending, Session::FailureCode::Busy, "the primary is down and can't be replaced now");
    }
}

std::vector<PendingStatementId> GroupService::dispatchInOrder(Instant now)
{
    std::vector<PendingStatementId> unservable;
    Limit::LaneSet blocked;
    std::size_t passedOver = 0;
    m_foundShortage = false;
    wakeAwaiting(now);
    while (const auto ticket = m_queue.peek(now, blocked)) {
        const PendingStatementId id(ticket->id.value());
        auto* const pending = findStatement(id);
        if (!pending) {
            m_queue.cancel(ticket->id);
        } else if (dispatch(now, *pending)) {
            m_queue.start(now, ticket->id);
        } else if (isUnservable(now, *pending)) {
            m_queue.cancel(ticket->id);
            unservable.push_back(id);
        } else if (const auto shortage = shortageFor(now, *pending); shortage.scope != ShortageScope::Nobody) {
            passOverLanes(shortage, *pending);
            if (shortage.scope == ShortageScope::Everyone)
                blocked |= shortage.lanes;
        } else {
            passOver(now, *pending, ++passedOver);
        }
    }
    m_queue.releaseHeld(now);
    const auto writeLanes = Limit::LaneSet().set(writeLane);
    if (const auto awaited = m_queue.latestAwaited(~writeLanes))
        requestConfirmation(now, *awaited);
    if (const auto awaited = m_queue.latestAwaited(writeLanes))
        requestOthersStatus(now, *awaited);
    return unservable;
}

void GroupService::wakeAwaiting(Instant now)
{
    const auto newest = m_watcher.confirmations().newestRequestedAt();
    const auto othersAsOf = primaryKeptAsOf();
    if (m_watcher.primary() != m_wokenForPrimary || isPrimaryLost(now))
        m_queue.wakeUpTo(now, Instant::max());
    else if (newest != m_wokenUpTo || othersAsOf != m_othersWokenUpTo)
        m_queue.wakeUpTo(now, std::max(newest, othersAsOf).value_or(Instant {}));
    m_wokenForPrimary = m_watcher.primary();
    m_wokenUpTo = newest;
    m_othersWokenUpTo = othersAsOf;
}

GroupService::Shortage GroupService::shortageFor(Instant now, const PendingStatement& pending)
{
    const auto lane = laneOf(pending);
    if (pending.waitReason == WaitReason::NoConfirmation || now < pending.retryNotBefore)
        return {};
    if (lane == memberReadLane)
        return { shortageOnMembers(now, pending), Limit::LaneSet().set(memberReadLane) };
    if (pending.waitReason == WaitReason::PrimaryFenced)
        return { ShortageScope::Everyone, Limit::LaneSet().set(writeLane) };
    const bool waitsForConnection = pending.waitReason == WaitReason::NoConnection && m_watcher.primary();
    const auto scope = waitsForConnection ? shortageOn(now, *m_watcher.primary(), pending) : ShortageScope::Everyone;
    return { scope, Limit::LaneSet().set(writeLane).set(currentReadLane) };
}

GroupService::ShortageScope GroupService::shortageOnMembers(Instant now, const PendingStatement& pending)
{
    auto scope = ShortageScope::Everyone;
    for (const auto& [name, member] : m_watcher.members()) {
        const bool isUsable
            = member.isListed() && !member.record.isLeaving && member.status && !member.health.isSuspect(now);
        if (isUsable)
            scope = std::min(scope, shortageOn(now, name, pending));
    }
    return scope;
}

GroupService::ShortageScope GroupService::shortageOn(
    Instant now, const TargetName& target, const PendingStatement& pending)
{
    auto& pool = m_pools[target];
    const auto& organisation = pending.organisation;
    const bool mayEvict = !organisation.value().empty() && pool.mayAttemptOpen(now) && pool.findEvictable(organisation);
    if (mayEvict || pool.mayOpen(now) || pool.findIdle(pending.values, organisation))
        return ShortageScope::Nobody;
    return pool.findIdleForCommand() ? ShortageScope::Organisation : ShortageScope::Everyone;
}

void GroupService::passOverLanes(const Shortage& shortage, const PendingStatement& pending)
{
    for (Limit::Lane lane = 0; lane < Limit::laneCount; ++lane) {
        if (!shortage.lanes.test(lane))
            continue;
        m_laneWaitReasons[lane] = pending.waitReason;
        m_foundShortage |= pending.waitReason == WaitReason::NoConnection;
        if (shortage.scope == ShortageScope::Organisation)
            m_queue.holdOrganisation(pending.organisation, lane);
    }
}

void GroupService::passOver(Instant now, const PendingStatement& pending, std::size_t count)
{
    const RequestId id(pending.id.value());
    if (now < pending.retryNotBefore)
        m_queue.park(id, pending.retryNotBefore);
    else if (pending.waitReason == WaitReason::NoConfirmation)
        m_queue.parkUntilConfirmed(id, pending.requiredMoment);
    else if (count <= maxPassedOver)
        m_queue.hold(id);
    else
        m_queue.park(id, now + refusalRetryDelay);
}

bool GroupService::isUnservable(Instant now, const PendingStatement& pending) const
{
    const bool waitsForPrimary = pending.waitReason == WaitReason::PrimaryUnresponsive
        || pending.waitReason == WaitReason::NoConfirmation || pending.waitReason == WaitReason::NoPrimary;
    return waitsForPrimary && isPrimaryLost(now);
}

bool GroupService::isPrimaryLost(Instant now) const
{
    if (m_watcher.failoverReason(now) != FailoverReason::Down)
        return false;
    const auto& members = m_watcher.members();
    const auto unsuspected = std::count_if(members.begin(), members.end(), [this, now](const auto& entry) {
        return entry.first != m_watcher.primary() && !entry.second.health.isSuspect(now);
    });
    return static_cast<std::size_t>(unsuspected) < m_watcher.fencesNeeded();
}

bool GroupService::dispatch(Instant now, PendingStatement& pending)
{
    ++m_dispatchAttempts;
    return pending.needsPrimary() ? dispatchToPrimary(now, pending) : dispatchToAnyMember(now, pending);
}

WaitReason GroupService::primaryWaitReason(Instant now, const PendingStatement& pending) const
{
    if (!m_watcher.primary())
        return WaitReason::NoPrimary;
    const auto& member = *m_watcher.find(*m_watcher.primary());
    if (member.health.isSuspect(now))
        return WaitReason::PrimaryUnresponsive;
    if (!m_watcher.guard().allows(member.record.name))
        return WaitReason::PrimaryDoubted;
    if (member.leavingSince && now - *member.leavingSince >= leavingPrimaryTimeout)
        return WaitReason::PrimaryLeaving;
    // A transaction or write that starts while the members are fenced could not be committed.
    const bool writes
        = pending.access == Session::Access::Write || (pending.startsTransaction && !pending.isReadOnlyTransaction);
    return writes && m_promotion.isFencing() ? WaitReason::PrimaryFenced : WaitReason::None;
}

bool GroupService::dispatchToPrimary(Instant now, PendingStatement& pending)
{
    pending.waitReason = primaryWaitReason(now, pending);
    if (pending.waitReason != WaitReason::None)
        return false;
    const auto primary = *m_watcher.primary();
    if (!isPrimaryConfirmed(now, pending))
        return false;
    auto* const connection = findIdleOrOpen(now, primary, pending);
    if (!connection) {
        pending.waitReason = WaitReason::NoConnection;
        return false;
    }
    assignToConnection(now, *connection, pending);
    return true;
}

bool GroupService::isPrimaryConfirmed(Instant now, PendingStatement& pending)
{
    if (m_watcher.confirmations().covers(pending.freshAsOf, *m_watcher.primary()))
        return true;
    // The primary itself refuses these once it is none, so that only the others have to be asked.
    const bool isRefusedByReplicas = laneOf(pending) == writeLane;
    const auto asOf = primaryKeptAsOf();
    if (isRefusedByReplicas && asOf && *asOf >= pending.freshAsOf)
        return true;
    pending.waitReason = WaitReason::NoConfirmation;
    pending.requiredMoment = pending.freshAsOf;
    if (isRefusedByReplicas)
        requestOthersStatus(now, pending.freshAsOf);
    else
        requestConfirmation(now, pending.freshAsOf);
    return false;
}

bool GroupService::findRequiredLogPoint(Instant now, PendingStatement& pending)
{
    const auto oldest = pending.freshAsOf - std::max(Duration {}, pending.route.maxStaleness - stalenessMargin);
    const auto point = m_watcher.confirmations().logPointAt(oldest);
    if (!point) {
        pending.waitReason = WaitReason::NoConfirmation;
        pending.requiredMoment = oldest;
        requestConfirmation(now, oldest);
        return false;
    }
    pending.requiredLogPoint
        = pending.route.consistency == Consistency::ReadYourWrites ? later(point, pending.ownPosition) : point;
    return true;
}

bool GroupService::dispatchToAnyMember(Instant now, PendingStatement& pending)
{
    if (!findRequiredLogPoint(now, pending))
        return false;
    pending.waitReason = WaitReason::NoConnection;
    const auto candidates = ReadTargetSelector::rank(
        now, m_watcher, m_pools, pending.avoidedTargets, pending.requiredLogPoint, m_delegate.random());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (auto* const connection = findIdleOrOpen(now, candidate.target, pending)) {
            assignToConnection(now, *connection, pending);
            return true;
        }
        // At most one statement waits for each connection that is being opened.
        const bool isOpening = m_queue.size() <= m_pools[candidate.target].count(ConnectionStage::Opening);
        const bool nextIsFar
            = index + 1 < candidates.size() && candidates[index + 1].cost > candidate.cost + openingCostMargin;
        if (isOpening && nextIsFar)
            return false;
    }
    if (candidates.empty())
        pending.waitReason = WaitReason::NoMember;
    if (candidates.empty() && !pending.avoidedTargets.empty()) {
        // Every member was tried without success; all are tried again after a delay.
        pending.avoidedTargets.clear();
        pending.retryNotBefore = now + refusalRetryDelay;
    }
    return false;
}

TargetConnection* GroupService::findIdleOrOpen(Instant now, const TargetName& target, PendingStatement& pending)
{
    auto& pool = m_pools[target];
    if (auto* const idle = pool.findIdle(pending.values, pending.organisation))
        return idle;
    if (!pending.organisation.value().empty())
        openForOrganisation(now, target, pending);
    else if (pool.mayOpen(now))
        open(now, target);
    return nullptr;
}

void GroupService::openForOrganisation(Instant now, const TargetName& target, PendingStatement& pending)
{
    const auto* const awaited = pending.awaitedConnection ? findConnection(*pending.awaitedConnection) : nullptr;
    if ((awaited && awaited->stage == ConnectionStage::Opening) || !m_watcher.find(target))
        return;
    auto& pool = m_pools[target];
    if (!pool.mayAttemptOpen(now))
        return;
    if (!pool.mayOpen(now)) {
        const auto evicted = pool.findEvictable(pending.organisation);
        if (!evicted)
            return;
        discardConnection(*evicted);
    }
    pending.awaitedConnection = open(now, target, pending.organisation);
}

std::optional<ConnectionId> GroupService::open(
    Instant now, const TargetName& target, const OrganisationName& organisation)
{
    const auto* const member = m_watcher.find(target);
    if (!member)
        return {};
    const auto id = open(now, target, organisation, m_paths[target].relay());
    auto* const health = m_watcher.health(target);
    health->recordRequest(now);
    health->recordConnectAttempt(now);
    return id;
}

ConnectionId GroupService::open(Instant now, const TargetName& target, const OrganisationName& organisation,
    const std::optional<SocketAddress>& relay)
{
    const auto id = m_delegate.nextConnectionId();
    auto& connection = m_pools[target].add(now, id, target);
    connection.organisation = organisation;
    connection.relay = relay;
    m_targetOf[id] = target;
    m_delegate.openConnection(id, m_watcher.find(target)->record, organisation, relay);
    return id;
}

void GroupService::assignToConnection(Instant now, TargetConnection& connection, PendingStatement& pending)
{
    ++pending.attempts;
    if (pending.needsPrimary())
        recordPrimaryEvidence(pending);
    if (pending.requiredLogPoint)
        m_watcher.recordReadAttempt(now, connection.target, *pending.requiredLogPoint);
    pending.sentOn.insert(connection.id);
    const bool isPinned = connection.stage == ConnectionStage::Pinned;
    connection.stage = pending.startsTransaction || isPinned ? ConnectionStage::Pinned : ConnectionStage::Busy;
    connection.stageEnteredAt = now;
    if (connection.stage == ConnectionStage::Pinned)
        connection.session = pending.session;
    const auto setup = makeSetupRequests(connection, pending.values, pending.prepared ? &*pending.prepared : nullptr);
    for (std::size_t count = 0; count < setup.size(); ++count)
        connection.expectedReplies.push_back({ ReplyPurpose::Setup, {}, now });
    if (!setup.empty())
        m_delegate.send(connection.id, setup);
    if (pending.startsTransaction) {
        // The statement is sent once the begin has succeeded; after a refused begin it would run outside a transaction.
        connection.expectedReplies.push_back({ ReplyPurpose::Begin, pending.id, now });
        m_delegate.send(
            connection.id, { BeginTransaction { pending.isReadOnlyTransaction, pending.requiredLogPoint } });
        return;
    }
    sendStatement(now, connection, pending);
}

void GroupService::recordPrimaryEvidence(PendingStatement& pending) const
{
    auto& evidence = pending.primaryEvidence.emplace();
    auto requestedAt = m_watcher.confirmations().newestRequestedAt();
    evidence.source = m_watcher.confirmations().newestSource();
    const auto keptAsOf = primaryKeptAsOf();
    if (laneOf(pending) == writeLane && keptAsOf > requestedAt) {
        const bool isByMembers = m_watcher.unreplacedAsOf() == keptAsOf;
        requestedAt = keptAsOf;
        evidence.source = isByMembers ? ConfirmationSource::Members : ConfirmationSource::Row;
    }
    if (requestedAt)
        evidence.confirmedAfter = *requestedAt - pending.freshAsOf;
}

void GroupService::sendStatement(Instant now, TargetConnection& connection, const PendingStatement& pending)
{
    RunStatement run { pending.statementId, {}, pending.statement, {} };
    const bool isSingle = connection.stage != ConnectionStage::Pinned;
    if (isSingle && pending.access == Session::Access::Read)
        run.requiredLogPoint = pending.requiredLogPoint;
    if (pending.prepared)
        run.preparedName = pending.prepared->name.toString();
    connection.expectedReplies.push_back({ ReplyPurpose::Statement, pending.id, now });
    m_delegate.send(connection.id, { run });
}

} // namespace Auburnpost::Proxy
