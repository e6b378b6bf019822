#include "proxy/GroupService.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Statement reads may be repeated up to this share of the fresh ones.
    constexpr Limit::RetryBudgetSettings retrySettings { 0.3, 5, 50 };

    std::string nameOfOrder(const TargetRequest& request)
    {
        if (std::holds_alternative<FenceReplica>(request))
            return "fence";
        if (std::holds_alternative<ResumeReplica>(request))
            return "resume";
        return std::holds_alternative<DemotePrimary>(request) ? "demote" : "status";
    }

} // namespace

GroupService::GroupService(HostName self, GroupName name, GroupActions& actions)
    : m_self(std::move(self))
    , m_name(std::move(name))
    , m_actions(actions)
    , m_promotion(m_self, m_name, *this)
    , m_retries(retrySettings)
{
}

void GroupService::setRules(const GroupRules& rules)
{
    m_rules = rules;
    m_watcher.setRules(rules);
    for (auto& [name, pool] : m_pools)
        pool.setLimit(rules.connectionLimit);
}

void GroupService::setMembers(Instant now, const std::vector<TargetRecord>& records)
{
    std::vector<ConnectionId> stale;
    for (const auto& [name, pool] : m_pools) {
        const auto listed = std::find_if(
            records.begin(), records.end(), [&name = name](const TargetRecord& record) { return record.name == name; });
        const auto* const known = m_watcher.find(name);
        const bool isSame = listed != records.end() && known && known->record.incarnation == listed->incarnation;
        for (const auto& [id, connection] : pool.connections()) {
            if (!isSame && connection.expected.empty())
                stale.push_back(id);
        }
    }
    m_watcher.setMembers(now, records);
    for (const auto id : stale)
        drop(id);
    std::erase_if(m_pools,
        [this](const auto& entry) { return !m_watcher.find(entry.first) && entry.second.connections().empty(); });
    std::erase_if(m_paths, [this](const auto& entry) { return !m_watcher.find(entry.first); });
    for (const auto& record : records) {
        m_pools[record.name].setLimit(m_rules.connectionLimit);
        if (m_pools[record.name].connections().empty())
            open(now, record.name);
    }
    placeWaiting(now);
}

void GroupService::tick(Instant now)
{
    expire(now);
    checkConnections(now);
    findPaths(now);
    poll(now);
    watchPrimary(now);
    sendOrders(now);
    placeWaiting(now);
    logHealth(now);
}

void GroupService::watchPrimary(Instant now)
{
    const auto trouble = m_watcher.trouble(now);
    if (m_promotion.isIdle()) {
        if (trouble != PrimaryTrouble::None)
            m_promotion.start(now, m_watcher, m_actions.random(), PromotionReason::ReplacePrimary, trouble);
        else if (m_watcher.isFencedSince(now, abandonedFenceLimit))
            m_promotion.start(now, m_watcher, m_actions.random(), PromotionReason::ResumeMembers, trouble);
    }
    m_promotion.tick(now, m_watcher, trouble);
}

bool GroupService::reachesDirectly(Instant now, const TargetName& target) const
{
    const auto* const member = m_watcher.find(target);
    const auto path = m_paths.find(target);
    const bool isRelayed = path != m_paths.end() && path->second.relay();
    return member && !isRelayed && member->health.lastHeard() && !member->health.isDoubtful(now);
}

void GroupService::findPaths(Instant now)
{
    for (const auto& [name, member] : m_watcher.members()) {
        auto& path = m_paths[name];
        if (path.shouldTryDirect(now))
            open(now, name, std::nullopt);
        // Refused connects mean that the target's process is down, for every host.
        if (!member.health.isDoubtful(now) || member.health.isRefusing())
            continue;
        path.lost();
        const auto start = std::hash<HostName> {}(m_self);
        if (const auto relay = path.nextTry(now, m_actions.relays(), start))
            open(now, name, relay);
    }
}

void GroupService::dropIdle(const TargetName& target, ConnectionId except)
{
    std::vector<ConnectionId> idle;
    for (const auto& [id, connection] : m_pools[target].connections()) {
        if (connection.stage == ConnectionStage::Idle && id != except)
            idle.push_back(id);
    }
    for (const auto id : idle)
        drop(id);
}

void GroupService::poll(Instant now)
{
    for (const auto& [name, member] : m_watcher.members()) {
        const auto polled = m_polledAt.find(name);
        if (polled == m_polledAt.end() || now - polled->second >= pollIntervalOf(now, member))
            ask(now, name);
    }
    const auto newest = m_watcher.proofs().newest();
    const bool isOld = !newest || now - *newest >= proofInterval;
    if (isOld && m_watcher.primary() && now - m_proofAskedAt >= proofInterval)
        askForProof(now);
}

Duration GroupService::pollIntervalOf(Instant now, const GroupWatcher::Member& member) const
{
    const bool isUrgent = !m_promotion.isIdle() || !m_watcher.primary();
    if (isUrgent || member.health.isDoubtful(now) || !member.standing)
        return urgentPollInterval;
    const auto heard = member.health.lastHeard();
    return heard && now - *heard < silentInterval ? standingInterval : silentInterval;
}

void GroupService::wantProof(Instant now, Instant arrival)
{
    // One round under way serves every read that arrived before it.
    const bool isUnderWay = m_proofAskedAt >= arrival && now - m_proofAskedAt < proofRoundLimit;
    if (!isUnderWay && m_watcher.primary())
        askForProof(now);
}

void GroupService::askForProof(Instant now)
{
    m_proofAskedAt = now;
    std::vector<const GroupWatcher::Member*> witnesses;
    for (const auto& [name, member] : m_watcher.members()) {
        if (name != m_watcher.primary() && !member.health.isDoubtful(now))
            witnesses.push_back(&member);
    }
    const auto needed = std::min(m_watcher.witnessesNeeded(), witnesses.size());
    std::sort(witnesses.begin(), witnesses.end(),
        [](const auto* left, const auto* right) { return left->health.roundTrip() < right->health.roundTrip(); });
    ask(now, *m_watcher.primary());
    for (std::size_t index = 0; index < needed; ++index)
        ask(now, witnesses[index]->record.name);
}

void GroupService::ask(Instant now, const TargetName& name)
{
    auto& pool = m_pools[name];
    auto* const health = m_watcher.health(name);
    if (health && health->needsFreshConnect(now))
        open(now, name);
    auto* const connection = pool.findForQuestion();
    if (!connection) {
        if (pool.count(ConnectionStage::Opening) == 0)
            open(now, name);
        return;
    }
    m_polledAt[name] = now;
    if (health)
        health->asked(now);
    if (connection->stage == ConnectionStage::Idle) {
        connection->stage = ConnectionStage::Busy;
        connection->since = now;
    }
    connection->expected.push_back({ ReplyPurpose::Standing, {}, now });
    m_actions.send(connection->id, { AskStanding {} });
}

void GroupService::expire(Instant now)
{
    std::vector<WorkId> late;
    std::vector<WorkId> unanswered;
    for (const auto& [id, work] : m_works) {
        if (now >= work.deadline)
            late.push_back(id);
        else if (!work.sentOn.empty() && work.isRepeatable())
            unanswered.push_back(id);
    }
    for (const auto id : late) {
        if (auto* const work = findWork(id))
            expireSent(now, *work);
    }
    for (const auto id : unanswered) {
        if (auto* const work = findWork(id))
            hedge(now, *work);
    }
}

void GroupService::expireSent(Instant now, Work& late)
{
    const auto work = late;
    if (work.sentOn.empty()) {
        m_queue.remove(work);
        finishUnsent(work, Session::FailureCode::Busy, "no target could serve in time");
        return;
    }
    // What runs there is in an unknown state, so the connections can't be used again.
    for (const auto id : work.sentOn) {
        auto* const connection = findConnection(id);
        if (!connection)
            continue;
        const auto sent = std::find_if(connection->expected.begin(), connection->expected.end(),
            [&work](const ExpectedReply& expected) { return expected.work == work.id; });
        const auto purpose = sent == connection->expected.end() ? ReplyPurpose::Statement : sent->purpose;
        connection->expected.clear();
        if (findWork(work.id)) {
            auto again = work;
            again.sentOn.clear();
            again.deadline = now;
            lose(now, again, purpose);
        }
        drop(id);
    }
}

void GroupService::hedge(Instant now, Work& work)
{
    // A second attempt goes out only once every target that has the first is in doubt.
    for (const auto id : work.sentOn) {
        const auto target = m_targetOf.find(id);
        const auto* const member = target == m_targetOf.end() ? nullptr : m_watcher.find(target->second);
        if (member && !member->health.isDoubtful(now))
            return;
        if (target != m_targetOf.end())
            work.avoided.insert(target->second);
    }
    constexpr std::size_t mostAttempts = 3;
    if (work.attempts >= mostAttempts || !m_retries.tryRetry(now))
        return;
    place(now, work);
}

void GroupService::checkConnections(Instant now)
{
    std::vector<ConnectionId> silent;
    std::vector<ConnectionId> surplus;
    for (auto& [name, pool] : m_pools) {
        for (const auto& [id, connection] : pool.connections()) {
            const bool isOpening = connection.stage == ConnectionStage::Opening;
            if (isOpening && now - connection.since >= ConnectionPool::openTimeout)
                silent.push_back(id);
            if (!connection.expected.empty() && isOverdue(now, connection.expected.front()))
                silent.push_back(id);
        }
        for (const auto id : pool.surplus(now))
            surplus.push_back(id);
    }
    for (const auto id : silent)
        connectionLost(now, id);
    for (const auto id : surplus)
        drop(id);
}

bool GroupService::isOverdue(Instant now, const ExpectedReply& expected) const
{
    if (expected.purpose != ReplyPurpose::Statement)
        return now - expected.askedAt >= replyLimit;
    // A statement that somebody waits for ends by its own deadline.
    return !m_works.contains(expected.work) && now - expected.askedAt >= orphanLimit;
}

void GroupService::logHealth(Instant now)
{
    for (const auto& [name, member] : m_watcher.members()) {
        const bool isDoubtful = member.health.isDoubtful(now);
        if (isDoubtful == m_doubtful.contains(name))
            continue;
        if (isDoubtful)
            m_doubtful.insert(name);
        else
            m_doubtful.erase(name);
        const auto heard = member.health.lastHeard();
        log({ isDoubtful ? LogEvent::TargetDoubtful : LogEvent::TargetAnswering,
            { { "group", m_name.value() }, { "target", name.value() },
                { "last_heard_ms", heard ? std::to_string(toMilliseconds(now - *heard)) : "-" } } });
    }
}

void GroupService::readClaim(const GroupName& group)
{
    m_actions.readClaim(group);
}

void GroupService::writeClaim(const GroupName& group, const Claim& claim, RowVersion expected)
{
    m_actions.writeClaim(group, claim, expected);
}

void GroupService::promote(const GroupName& group, const TargetName& target, RowVersion token, Instant sendBefore)
{
    m_actions.promote(group, target, token, sendBefore);
}

void GroupService::log(const LogRecord& record)
{
    m_actions.log(record);
}

void GroupService::order(const TargetName& target, const TargetRequest& request, Instant sendBefore)
{
    m_orders.insert_or_assign(target, Order { request, sendBefore });
}

void GroupService::sendOrders(Instant now)
{
    for (auto next = m_orders.begin(); next != m_orders.end();) {
        const auto target = next->first;
        const auto request = next->second.request;
        if (now >= next->second.sendBefore) {
            log({ LogEvent::OrderDropped,
                { { "group", m_name.value() }, { "target", target.value() }, { "order", nameOfOrder(request) } } });
            next = m_orders.erase(next);
            continue;
        }
        auto& pool = m_pools[target];
        auto* const connection = pool.findIdle({});
        if (!connection) {
            if (pool.count(ConnectionStage::Opening) == 0)
                open(now, target);
            ++next;
            continue;
        }
        next = m_orders.erase(next);
        connection->stage = ConnectionStage::Busy;
        connection->since = now;
        connection->expected.push_back({ ReplyPurpose::Standing, {}, now });
        m_polledAt[target] = now;
        if (auto* const health = m_watcher.health(target))
            health->asked(now);
        if (!std::holds_alternative<AskStanding>(request))
            log({ LogEvent::OrderSent,
                { { "group", m_name.value() }, { "target", target.value() }, { "order", nameOfOrder(request) } } });
        m_actions.send(connection->id, { request });
    }
}

} // namespace Auburnpost::Proxy
