#include "proxy/GroupService.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Taken off a route's staleness allowance: the time that a read may still spend on its way.
    constexpr Duration stalenessMargin = std::chrono::milliseconds(150);

    std::optional<LogPoint> later(const std::optional<LogPoint>& left, const std::optional<LogPoint>& right)
    {
        if (!left || !right)
            return left ? left : right;
        return std::max(*left, *right);
    }

} // namespace

void GroupService::submit(Instant now, Work submitted)
{
    m_retries.freshRequest(now);
    const auto id = submitted.id;
    auto& work = m_works.emplace(id, std::move(submitted)).first->second;
    if (m_queue.isFull()) {
        const auto refused = work;
        finishUnsent(refused, Session::FailureCode::Busy, "too many statements wait on this host");
        return;
    }
    // Whoever waits already goes first.
    m_queue.add(work);
    placeWaiting(now);
}

bool GroupService::submitPinned(Instant now, Work submitted, ConnectionId id)
{
    auto* const connection = findConnection(id);
    if (!connection || connection->stage != ConnectionStage::Pinned)
        return false;
    const auto workId = submitted.id;
    auto& work = m_works.emplace(workId, std::move(submitted)).first->second;
    sendWork(now, *connection, work);
    return true;
}

void GroupService::placeWaiting(Instant now)
{
    if (m_isPlacing || m_queue.size() == 0)
        return;
    m_isPlacing = true;
    std::vector<WorkId> hopeless;
    for (const auto id : m_queue.inOrder()) {
        auto* const work = findWork(id);
        if (!work || now < work->notBefore)
            continue;
        if (place(now, *work))
            m_queue.remove(*work);
        else if (isHopeless(now, *work))
            hopeless.push_back(id);
    }
    m_isPlacing = false;
    for (const auto id : hopeless) {
        // An answer may bring the caller's next statement, which is placed like any other.
        const auto* const found = findWork(id);
        if (!found)
            continue;
        const auto work = *found;
        finishUnsent(work, Session::FailureCode::Busy, "the primary is down and can't be replaced now");
    }
}

bool GroupService::isHopeless(Instant now, const Work& work) const
{
    const bool waitsForPrimary = work.obstacle == Obstacle::PrimarySilent || work.obstacle == Obstacle::NoProof
        || work.obstacle == Obstacle::NoPrimary;
    if (!waitsForPrimary || m_watcher.trouble(now) != PrimaryTrouble::Down)
        return false;
    const auto& members = m_watcher.members();
    const auto answering = std::count_if(members.begin(), members.end(), [this, now](const auto& entry) {
        return entry.first != m_watcher.primary() && !entry.second.health.isDoubtful(now);
    });
    return static_cast<std::size_t>(answering) < m_watcher.fencesNeeded();
}

bool GroupService::place(Instant now, Work& work)
{
    return work.needsPrimary() ? placeOnPrimary(now, work) : placeOnAny(now, work);
}

Obstacle GroupService::primaryObstacle(Instant now, const Work& work) const
{
    if (!m_watcher.primary())
        return Obstacle::NoPrimary;
    const auto& member = *m_watcher.find(*m_watcher.primary());
    if (member.health.isDoubtful(now))
        return Obstacle::PrimarySilent;
    if (member.leavingSince && now - *member.leavingSince >= leavingPrimaryLimit)
        return Obstacle::PrimaryLeaving;
    // What starts now could not be committed any more.
    const bool writes
        = work.access == Session::Access::Write || (work.startsTransaction && !work.isReadOnlyTransaction);
    return writes && m_promotion.isFencing() ? Obstacle::PrimaryFenced : Obstacle::None;
}

bool GroupService::placeOnPrimary(Instant now, Work& work)
{
    work.obstacle = primaryObstacle(now, work);
    if (work.obstacle != Obstacle::None)
        return false;
    const auto primary = *m_watcher.primary();
    const bool reads = work.access == Session::Access::Read || work.startsTransaction;
    if (reads && !findPosition(now, work))
        return false;
    auto* const connection = idleOrOpen(now, primary, work);
    if (!connection) {
        work.obstacle = Obstacle::NoConnection;
        return false;
    }
    sendWork(now, *connection, work);
    return true;
}

bool GroupService::findPosition(Instant now, Work& work)
{
    if (work.route.consistency == Consistency::Current) {
        if (m_watcher.primary() && m_watcher.proofs().covers(work.freshAsOf, *m_watcher.primary()))
            return true;
        work.obstacle = Obstacle::NoProof;
        wantProof(now, work.freshAsOf);
        return false;
    }
    const auto oldest = work.freshAsOf - std::max(Duration {}, work.route.maxStaleness - stalenessMargin);
    const auto point = m_watcher.proofs().pointAt(oldest);
    if (!point) {
        work.obstacle = Obstacle::NoProof;
        wantProof(now, oldest);
        return false;
    }
    work.after = work.route.consistency == Consistency::ReadYourWrites ? later(point, work.ownPosition) : point;
    return true;
}

bool GroupService::placeOnAny(Instant now, Work& work)
{
    if (!findPosition(now, work))
        return false;
    work.obstacle = Obstacle::NoConnection;
    const auto candidates = ReadPlacement::order(now, m_watcher, m_pools, work.avoided, work.after);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (auto* const connection = idleOrOpen(now, candidate.target, work)) {
            sendWork(now, *connection, work);
            return true;
        }
        // Each connection that opens is worth waiting for by one statement.
        const bool isOpening = m_queue.size() <= m_pools[candidate.target].count(ConnectionStage::Opening);
        const bool nextIsFar
            = index + 1 < candidates.size() && candidates[index + 1].cost > candidate.cost + openingPatience;
        if (isOpening && nextIsFar)
            return false;
    }
    if (candidates.empty())
        work.obstacle = Obstacle::NoMember;
    if (candidates.empty() && !work.avoided.empty()) {
        // Every member failed once; after a pause all are worth another try.
        work.avoided.clear();
        work.notBefore = now + busyDelay;
    }
    return false;
}

TargetConnection* GroupService::idleOrOpen(Instant now, const TargetName& target, const Work& work)
{
    auto& pool = m_pools[target];
    if (auto* const idle = pool.findIdle(work.values))
        return idle;
    if (pool.mayOpen(now))
        open(now, target);
    return nullptr;
}

void GroupService::open(Instant now, const TargetName& target)
{
    const auto* const member = m_watcher.find(target);
    if (!member)
        return;
    const auto relay = m_paths[target].relay();
    open(now, target, relay);
    auto* const health = m_watcher.health(target);
    health->asked(now);
    health->connecting(now);
}

void GroupService::open(Instant now, const TargetName& target, const std::optional<SocketAddress>& relay)
{
    const auto id = m_actions.nextConnectionId();
    m_pools[target].add(now, id, target).relay = relay;
    m_targetOf[id] = target;
    m_actions.openConnection(id, m_watcher.find(target)->record, relay);
}

void GroupService::sendWork(Instant now, TargetConnection& connection, Work& work)
{
    ++work.attempts;
    if (work.after)
        m_watcher.noteTried(now, connection.target, *work.after);
    work.sentOn.insert(connection.id);
    const bool isPinned = connection.stage == ConnectionStage::Pinned;
    connection.stage = work.startsTransaction || isPinned ? ConnectionStage::Pinned : ConnectionStage::Busy;
    connection.since = now;
    if (connection.stage == ConnectionStage::Pinned)
        connection.session = work.session;
    const auto setup = setUp(connection, work.values, work.prepared ? &*work.prepared : nullptr);
    for (std::size_t count = 0; count < setup.size(); ++count)
        connection.expected.push_back({ ReplyPurpose::Setup, {}, now });
    if (!setup.empty())
        m_actions.send(connection.id, setup);
    if (work.startsTransaction) {
        // The statement follows once the begin has succeeded: after a refused one it would run outside a transaction.
        connection.expected.push_back({ ReplyPurpose::Begin, work.id, now });
        m_actions.send(connection.id, { BeginTransaction { work.isReadOnlyTransaction, work.after } });
        return;
    }
    sendStatement(now, connection, work);
}

void GroupService::sendStatement(Instant now, TargetConnection& connection, const Work& work)
{
    RunStatement run { work.statementId, {}, work.statement, {} };
    const bool isSingle = connection.stage != ConnectionStage::Pinned;
    if (isSingle && work.access == Session::Access::Read)
        run.after = work.after;
    if (work.prepared)
        run.preparedName = preparedNameOf(*work.prepared);
    connection.expected.push_back({ ReplyPurpose::Statement, work.id, now });
    m_actions.send(connection.id, { run });
}

} // namespace Auburnpost::Proxy
