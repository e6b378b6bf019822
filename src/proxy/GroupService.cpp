#include "proxy/GroupService.h"

#include "proxy/TransactionIdleLimit.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Bounds the retries to a share of the submitted statements.
    constexpr Limit::RetryBudgetSettings retrySettings { 0.3, 5, 50 };

    Limit::AdmissionQueueSettings makeQueueSettings()
    {
        Limit::AdmissionQueueSettings settings;
        // At a millisecond each, a full queue takes longer than any deadline allows.
        settings.capacity = 2000;
        settings.lowerPriorityEvery = 10;
        // A statement whose primary is being replaced may wait up to its deadline.
        settings.limitsWaits = false;
        settings.refusesByExpectedWait = true;
        return settings;
    }

    std::string nameOfCommand(const TargetRequest& request)
    {
        if (std::holds_alternative<FenceReplica>(request))
            return "fence";
        if (std::holds_alternative<ResumeReplica>(request))
            return "resume";
        return std::holds_alternative<DemotePrimary>(request) ? "demote" : "status";
    }

} // namespace

GroupService::GroupService(HostName self, GroupName name, GroupServiceDelegate& delegate)
    : m_self(std::move(self))
    , m_name(std::move(name))
    , m_delegate(delegate)
    , m_promotion(m_self, m_name, *this)
    , m_queue(makeQueueSettings())
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
    std::set<TargetName> replaced;
    for (const auto& [name, pool] : m_pools) {
        const auto listed = std::find_if(
            records.begin(), records.end(), [&name = name](const TargetRecord& record) { return record.name == name; });
        const auto* const known = m_watcher.find(name);
        const bool wasListed = known && known->isListed();
        const bool isSame
            = listed == records.end() ? known && !wasListed : known && known->record.incarnation == listed->incarnation;
        if (!isSame)
            replaced.insert(name);
    }
    for (const auto& name : replaced)
        discardUnusedConnections(name);
    const auto unlistedBefore = m_watcher.members().size() - m_watcher.membership().listedCount();
    m_watcher.setMembers(now, records);
    forgetReleasedMembers(now);
    // What an unlisted member can have acknowledged is compared with the members' status from now on.
    if (m_watcher.members().size() - m_watcher.membership().listedCount() > unlistedBefore)
        m_polledAt.clear();
    for (const auto& record : records) {
        m_pools[record.name].setLimit(m_rules.connectionLimit);
        if (m_pools[record.name].connections().empty())
            open(now, record.name);
    }
    dispatchWaiting(now);
}

void GroupService::stopWatching(Instant now)
{
    m_watcher.stopWatching();
    forgetReleasedMembers(now);
    dispatchWaiting(now);
}

void GroupService::forgetReleasedMembers(Instant now)
{
    for (const auto& release : m_watcher.releaseMembers(now))
        log({ LogEvent::MemberReleased,
            { { "group", m_name.value() }, { "target", release.name.value() },
                { "reason", std::string(toString(release.reason)) },
                { "counted", std::to_string(m_watcher.membership().size()) } } });
    std::set<TargetName> forgotten;
    for (const auto& [name, pool] : m_pools) {
        if (!m_watcher.find(name))
            forgotten.insert(name);
    }
    for (const auto& name : forgotten)
        discardUnusedConnections(name);
    std::erase_if(m_pools,
        [this](const auto& entry) { return !m_watcher.find(entry.first) && entry.second.connections().empty(); });
    std::erase_if(m_paths, [this](const auto& entry) { return !m_watcher.find(entry.first); });
    std::erase_if(m_refusals, [this](const auto& entry) { return !m_watcher.find(entry.first); });
    std::erase_if(m_polledAt, [this](const auto& entry) { return !m_watcher.find(entry.first); });
    std::erase_if(m_commands, [this](const auto& entry) { return !m_watcher.find(entry.first); });
    std::erase_if(m_suspects, [this](const auto& name) { return !m_watcher.find(name); });
}

void GroupService::tick(Instant now)
{
    finishRefused(now, m_queue.removeExpired(now));
    expireStatements(now);
    checkConnections(now);
    probePaths(now);
    forgetReleasedMembers(now);
    pollMembers(now);
    m_watcher.checkPrimary(now);
    resolveDoubt(now);
    watchPrimary(now);
    sendLeaseReads(now);
    sendQueuedCommands(now);
    dispatchWaiting(now);
    if (m_queue.size() == 0 || !m_foundShortage)
        m_shortSince.reset();
    else if (!m_shortSince)
        m_shortSince = now;
    logSuspicionChanges(now);
    logAbsence(now);
}

bool GroupService::isShortOfConnections(Instant now) const
{
    return m_shortSince && now - *m_shortSince >= connectionShortageDelay;
}

void GroupService::watchPrimary(Instant now)
{
    const auto failoverReason = m_watcher.failoverReason(now);
    if (m_promotion.isIdle()) {
        if (failoverReason != FailoverReason::None)
            m_promotion.start(now, m_watcher, m_delegate.random(), PromotionGoal::ReplacePrimary, failoverReason);
        else if (m_watcher.hasFencedMemberFor(now, abandonedFenceTimeout))
            m_promotion.start(now, m_watcher, m_delegate.random(), PromotionGoal::ResumeMembers, failoverReason);
        else if (m_promotion.isRecordDue(now, m_watcher))
            m_promotion.start(now, m_watcher, m_delegate.random(), PromotionGoal::RecordMembers, failoverReason);
    }
    m_promotion.tick(now, m_watcher, failoverReason);
}

void GroupService::leaseRead(Instant now, const Expected<PromotionLeaseRow>& row)
{
    const auto sentAt = m_leaseReads.answered();
    if (row)
        m_leaseReading = LeaseReading { *row, now };
    if (row && row->lease && row->lease->members)
        countRecorded(now, *row->lease->members);
    if (!row)
        m_watcher.guard().recordUnreadableRow(now);
    else if (sentAt)
        m_watcher.guard().recordRow(now, *sentAt, *row, m_promotion.hasWritten(row->version), m_promotion.pending());
    resolveDoubt(now);
    // A read that was sent before the promotion asked for one shows an older row.
    if (!m_leaseReads.isRequested())
        m_promotion.leaseRead(now, m_watcher, row);
    sendLeaseReads(now);
    dispatchWaiting(now);
}

void GroupService::countRecorded(Instant now, const MemberRecord& record)
{
    // Without members this host does not watch the group.
    if (m_watcher.members().empty())
        return;
    for (const auto& name : m_watcher.addRecorded(now, m_name, record)) {
        log({ LogEvent::RecordedMemberCounted,
            { { "group", m_name.value() }, { "target", name.value() },
                { "address", m_watcher.find(name)->record.address.toString() },
                { "counted", std::to_string(m_watcher.membership().size()) } } });
        m_pools[name].setLimit(m_rules.connectionLimit);
        if (m_pools[name].connections().empty())
            open(now, name);
    }
}

bool GroupService::reachesDirectly(Instant now, const TargetName& target) const
{
    const auto* const member = m_watcher.find(target);
    const auto path = m_paths.find(target);
    const bool isRelayed = path != m_paths.end() && path->second.relay();
    return member && !isRelayed && member->health.lastResponseAt() && !member->health.isSuspect(now);
}

void GroupService::probePaths(Instant now)
{
    for (const auto& [name, member] : m_watcher.members()) {
        auto& path = m_paths[name];
        if (path.shouldTryDirect(now))
            open(now, name, {}, std::nullopt);
        // A refused connection means that the target's process is down, so that no other host reaches it either.
        if (!member.health.isSuspect(now) || member.health.isRefusing())
            continue;
        path.dropRelay();
        const auto start = std::hash<HostName> {}(m_self);
        if (const auto relay = path.nextRelay(now, m_delegate.relays(), start))
            open(now, name, {}, relay);
    }
}

void GroupService::discardUnusedConnections(const TargetName& target)
{
    std::vector<ConnectionId> unused;
    for (const auto& [id, connection] : m_pools.at(target).connections()) {
        if (connection.expectedReplies.empty())
            unused.push_back(id);
    }
    for (const auto id : unused)
        discardConnection(id);
}

void GroupService::discardIdleConnections(const TargetName& target, ConnectionId except)
{
    std::vector<ConnectionId> idle;
    for (const auto& [id, connection] : m_pools[target].connections()) {
        if (connection.stage == ConnectionStage::Idle && id != except)
            idle.push_back(id);
    }
    for (const auto id : idle)
        discardConnection(id);
}

void GroupService::pollMembers(Instant now)
{
    for (const auto& [name, member] : m_watcher.members()) {
        const auto polled = m_polledAt.find(name);
        if (polled == m_polledAt.end() || now - polled->second >= pollIntervalOf(now, member))
            queryStatus(now, name);
    }
    const auto newest = m_watcher.confirmations().newestRequestedAt();
    const bool isOld = !newest || now - *newest >= confirmationInterval;
    if (isOld && m_watcher.primary() && now - m_confirmationStartedAt >= confirmationInterval)
        startConfirmationRound(now);
}

Duration GroupService::pollIntervalOf(Instant now, const GroupWatcher::Member& member) const
{
    const bool awaitsEvidence = m_watcher.membership().awaitsEvidence(now);
    if (!member.isListed() && member.presumedEndedAt)
        return idlePollInterval;
    const bool isUrgent = m_promotion.isReplacing() || !m_watcher.primary() || isPrimaryDoubted() || awaitsEvidence
        || !m_heldAcknowledgements.empty();
    if (isUrgent || member.health.isSuspect(now) || !member.status)
        return urgentPollInterval;
    const auto lastResponse = member.health.lastResponseAt();
    return lastResponse && now - *lastResponse < idlePollInterval ? statusPollInterval : idlePollInterval;
}

void GroupService::requestConfirmation(Instant now, Instant moment)
{
    // A round in progress confirms every moment before it began, so it serves all reads that need one of these.
    const bool isInProgress
        = m_confirmationStartedAt >= moment && now - m_confirmationStartedAt < confirmationRoundTimeout;
    if (!isInProgress && m_watcher.primary())
        startConfirmationRound(now);
}

void GroupService::startConfirmationRound(Instant now)
{
    m_confirmationStartedAt = now;
    queryStatus(now, *m_watcher.primary());
    queryOthers(now);
}

void GroupService::requestOthersStatus(Instant now, Instant moment)
{
    const bool isInProgress = m_othersQueriedAt >= moment && now - m_othersQueriedAt < confirmationRoundTimeout;
    if (!isInProgress && m_watcher.primary())
        queryOthers(now);
}

void GroupService::queryOthers(Instant now)
{
    m_othersQueriedAt = now;
    std::vector<const GroupWatcher::Member*> others;
    for (const auto& [name, member] : m_watcher.members()) {
        if (name != m_watcher.primary() && member.isListed() && !member.health.isSuspect(now))
            others.push_back(&member);
    }
    const auto needed = std::min(m_watcher.confirmationsNeeded(), others.size());
    std::sort(others.begin(), others.end(),
        [](const auto* left, const auto* right) { return left->health.roundTrip() < right->health.roundTrip(); });
    for (std::size_t index = 0; index < needed; ++index)
        queryStatus(now, others[index]->record.name);
}

void GroupService::queryStatus(Instant now, const TargetName& name)
{
    auto& pool = m_pools[name];
    auto* const health = m_watcher.health(name);
    if (health && health->needsConnectProbe(now))
        open(now, name);
    auto* const connection = pool.findForStatusQuery();
    if (!connection) {
        if (pool.count(ConnectionStage::Opening) == 0)
            open(now, name);
        return;
    }
    m_polledAt[name] = now;
    if (health)
        health->recordRequest(now);
    if (connection->stage == ConnectionStage::Idle) {
        connection->stage = ConnectionStage::Busy;
        connection->stageEnteredAt = now;
    }
    connection->expectedReplies.push_back({ ReplyPurpose::Status, {}, now });
    m_delegate.send(connection->id, { QueryStatus {} });
}

void GroupService::expireStatements(Instant now)
{
    std::vector<PendingStatementId> late;
    std::vector<PendingStatementId> unanswered;
    for (const auto& [id, pending] : m_statements) {
        if (now >= pending.deadline)
            late.push_back(id);
        else if (!pending.sentOn.empty() && pending.isRepeatable())
            unanswered.push_back(id);
    }
    for (const auto id : late) {
        if (auto* const pending = findStatement(id))
            expireStatement(now, *pending);
    }
    for (const auto id : unanswered) {
        if (auto* const pending = findStatement(id))
            hedge(now, *pending);
    }
}

void GroupService::expireStatement(Instant now, PendingStatement& late)
{
    const auto pending = late;
    if (pending.isAcknowledged) {
        finishInDoubt(pending);
        return;
    }
    if (pending.sentOn.empty()) {
        m_queue.cancel(RequestId(pending.id.value()));
        finishUnsent(now, pending, Session::FailureCode::Busy, "no target could serve in time");
        return;
    }
    // The state of the statement on these connections is unknown, so they can't be reused.
    for (const auto id : pending.sentOn) {
        auto* const connection = findConnection(id);
        if (!connection)
            continue;
        const auto sent = std::find_if(connection->expectedReplies.begin(), connection->expectedReplies.end(),
            [&pending](const ExpectedReply& expected) { return expected.pendingId == pending.id; });
        if (sent != connection->expectedReplies.end())
            recordReadLoss(now, connection->target, pending, sent->sentAt);
        const auto purpose = sent == connection->expectedReplies.end() ? ReplyPurpose::Statement : sent->purpose;
        connection->expectedReplies.clear();
        if (findStatement(pending.id)) {
            auto expired = pending;
            expired.sentOn.clear();
            expired.deadline = now;
            handleStatementLoss(now, expired, purpose);
        }
        discardConnection(id);
    }
}

void GroupService::hedge(Instant now, PendingStatement& pending)
{
    // A further attempt is sent only when every target that holds an unanswered one is suspect.
    for (const auto id : pending.sentOn) {
        const auto target = m_targetOf.find(id);
        const auto* const member = target == m_targetOf.end() ? nullptr : m_watcher.find(target->second);
        if (member && !member->health.isSuspect(now))
            return;
        if (target != m_targetOf.end() && pending.avoidedTargets.insert(target->second).second)
            recordReadLoss(now, target->second, pending, now);
    }
    constexpr std::size_t maxAttempts = 3;
    if (pending.attempts >= maxAttempts || !m_retries.tryRetry(now))
        return;
    dispatch(now, pending);
}

void GroupService::checkConnections(Instant now)
{
    std::vector<ConnectionId> timedOut;
    std::vector<ConnectionId> surplus;
    for (auto& [name, pool] : m_pools) {
        for (const auto& [id, connection] : pool.connections()) {
            const bool isOpening = connection.stage == ConnectionStage::Opening;
            if (isOpening && now - connection.stageEnteredAt >= ConnectionPool::openTimeout)
                timedOut.push_back(id);
            if (!connection.expectedReplies.empty() && isOverdue(now, connection.expectedReplies.front()))
                timedOut.push_back(id);
        }
        for (const auto id : pool.surplusConnections(now))
            surplus.push_back(id);
    }
    for (const auto id : timedOut)
        connectionLost(now, id);
    for (const auto id : surplus)
        discardConnection(id);
}

bool GroupService::isOverdue(Instant now, const ExpectedReply& expected) const
{
    if (expected.purpose != ReplyPurpose::Statement)
        return now - expected.sentAt >= replyTimeout;
    // A statement whose caller still waits expires by its own deadline.
    return !m_statements.contains(expected.pendingId) && now - expected.sentAt >= orphanTimeout;
}

void GroupService::logSuspicionChanges(Instant now)
{
    for (const auto& [name, member] : m_watcher.members()) {
        const bool isSuspect = member.health.isSuspect(now);
        if (isSuspect == m_suspects.contains(name))
            continue;
        if (isSuspect)
            m_suspects.insert(name);
        else
            m_suspects.erase(name);
        const auto lastResponse = member.health.lastResponseAt();
        log({ isSuspect ? LogEvent::TargetSuspected : LogEvent::TargetSuspicionCleared,
            { { "group", m_name.value() }, { "target", name.value() },
                { "last_heard_ms", lastResponse ? std::to_string(toMilliseconds(now - *lastResponse)) : "-" } } });
    }
}

void GroupService::readLease(const GroupName&)
{
    m_leaseReads.request();
}

void GroupService::writeLease(const GroupName& group, const PromotionLease& lease, RowVersion expected)
{
    m_delegate.writeLease(group, lease, expected);
}

void GroupService::readMembers(const GroupName& group)
{
    m_delegate.readMembers(group);
}

void GroupService::promote(const GroupName& group, const TargetName& target, RowVersion token, Instant sendBefore)
{
    m_delegate.promote(group, target, token, sendBefore);
}

void GroupService::log(const LogRecord& record)
{
    m_delegate.log(record);
}

void GroupService::measure(std::string_view series, double sample)
{
    m_delegate.measure(series, sample);
}

void GroupService::sendCommand(const TargetName& target, const TargetRequest& request, Instant sendBefore)
{
    m_commands.insert_or_assign(target, Command { request, sendBefore });
}

void GroupService::sendQueuedCommands(Instant now)
{
    for (auto next = m_commands.begin(); next != m_commands.end();) {
        const auto target = next->first;
        const auto request = next->second.request;
        if (now >= next->second.sendBefore) {
            log({ LogEvent::PromotionCommandDropped,
                { { "group", m_name.value() }, { "target", target.value() }, { "order", nameOfCommand(request) } } });
            next = m_commands.erase(next);
            continue;
        }
        auto& pool = m_pools[target];
        auto* const connection = pool.findIdleForCommand();
        if (!connection) {
            if (pool.count(ConnectionStage::Opening) == 0)
                open(now, target);
            ++next;
            continue;
        }
        next = m_commands.erase(next);
        connection->stage = ConnectionStage::Busy;
        connection->stageEnteredAt = now;
        connection->expectedReplies.push_back({ ReplyPurpose::Status, {}, now });
        m_polledAt[target] = now;
        if (auto* const health = m_watcher.health(target))
            health->recordRequest(now);
        if (!std::holds_alternative<QueryStatus>(request))
            log({ LogEvent::PromotionCommandSent,
                { { "group", m_name.value() }, { "target", target.value() }, { "order", nameOfCommand(request) } } });
        m_delegate.send(connection->id, { request });
    }
}

} // namespace Auburnpost::Proxy
