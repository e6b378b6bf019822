#include "group/GroupSimulation.h"

#include <algorithm>

namespace Auburnpost::Group {

using namespace std::chrono_literals;

namespace {

    constexpr Duration tickInterval = 20ms;
    constexpr Duration durableLimit = 1s;

    std::string nodeName(const TargetName& target)
    {
        return target.value();
    }

} // namespace

GroupSimulation::GroupSimulation(const Options& options)
    : m_options(options)
    , m_random(options.seed)
    , m_network(m_queue, m_random)
{
    m_queue.runUntil(Instant(1s));
    for (std::size_t index = 0; index < options.targets; ++index)
        m_targets.push_back(std::make_unique<TargetNode>(TargetName("target-" + std::to_string(index))));
    m_watchers.resize(options.watchers);
    for (std::size_t index = 0; index < options.watchers; ++index) {
        m_watchers[index].name = "host-" + std::to_string(index);
        m_watchers[index].clockOffset = std::chrono::seconds(index * 1000);
        m_network.extraDelay[m_watchers[index].name] = options.watcherDelay;
    }
    for (std::size_t index = 0; index < options.watchers; ++index) {
        startWatch(m_watchers[index]);
        m_queue.after(1ms * (index + 1), [this, index] { tickWatcher(index); });
    }
    m_queue.after(1ms, [this] { replicateLogs(); });
    m_queue.after(10ms, [this] { startWrite(); });
}

void GroupSimulation::run(Duration duration)
{
    const auto end = m_queue.now() + duration;
    while (violation().empty() && m_queue.now() < end)
        m_queue.runUntil(std::min(end, m_queue.now() + 100ms));
}

void GroupSimulation::startWatch(WatcherNode& node)
{
    std::vector<GroupMember> members;
    for (const auto& target : m_targets)
        members.push_back({ target->target.name(), DataCentreName("a") });
    std::vector<HostName> watchers;
    for (const auto& each : m_watchers)
        watchers.emplace_back(each.name);
    node.watch = std::make_unique<GroupWatch>(localTime(node), DatabaseName("sizing-core-1"), HostName(node.name),
        Incarnation(node.incarnation), std::move(members));
    node.watch->setWatchers(localTime(node), std::move(watchers));
    // The outcome of a write is unknown when its host has restarted; another host looks it up.
    for (const auto& [id, outcome] : std::exchange(node.waits, {}))
        retryLookup(outcome.job);
    node.confirms.clear();
}

void GroupSimulation::tickWatcher(std::size_t index)
{
    auto& node = m_watchers[index];
    if (!m_network.isFrozen(node.name))
        perform(index, node.watch->tick(localTime(node), m_random));
    m_queue.after(tickInterval, [this, index] { tickWatcher(index); });
}

GroupSimulation::TargetNode* GroupSimulation::find(const TargetName& name)
{
    for (auto& node : m_targets) {
        if (node->target.name() == name)
            return node.get();
    }
    return nullptr;
}

void GroupSimulation::replicateLogs()
{
    for (auto& node : m_targets)
        replicateTo(*node);
    for (auto& node : m_targets)
        answerWaits(*node);
    checkAges();
    m_queue.after(m_options.replicationInterval, [this] { replicateLogs(); });
}

void GroupSimulation::replicateTo(TargetNode& node)
{
    auto* const source = find(node.target.following());
    if (!source || !node.isRunning || !source->isRunning || m_network.isFrozen(nodeName(source->target.name()))
        || source->target.targetStatus().role != TargetRole::Primary || source->target.end() == node.target.end())
        return;
    const auto from = source->target.name();
    m_queue.after(node.lag,
        [this, &node, from, term = source->target.end().term, log = source->target.log(), runNumber = node.runNumber,
            source, sourceRunNumber = source->runNumber] {
            // Lagging entries are still on the source and are lost when it stops.
            if (!source->isRunning || source->runNumber != sourceRunNumber)
                return;
            m_network.send(nodeName(from), nodeName(node.target.name()), [this, &node, from, term, log, runNumber] {
                if (!node.isRunning || node.runNumber != runNumber)
                    return;
                node.target.replicate(from, term, log);
                answerWaits(node);
            });
        });
}

void GroupSimulation::answerWaits(TargetNode& node)
{
    if (m_network.isFrozen(nodeName(node.target.name())))
        return;
    auto waits = std::exchange(node.waits, {});
    for (auto& wait : waits) {
        auto status = node.target.status();
        status.accepted = node.target.covers(wait.point);
        if (status.accepted || m_queue.now() >= wait.deadline)
            wait.reply(status);
        else
            node.waits.push_back(std::move(wait));
    }
}

void GroupSimulation::perform(std::size_t index, const GroupActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* const command = std::get_if<SendCommand>(&action))
            sendCommand(index, *command);
        else if (const auto* const vote = std::get_if<SendVote>(&action)) {
            const auto to = static_cast<std::size_t>(std::stoul(vote->to.value().substr(5)));
            m_network.send(m_watchers[index].name, m_watchers[to].name, [this, index, to, sent = vote->vote] {
                perform(to,
                    m_watchers[to].watch->handleVote(
                        localTime(m_watchers[to]), HostName(m_watchers[index].name), sent));
            });
        } else if (const auto* const drain = std::get_if<DrainWrites>(&action)) {
            for (std::size_t each = 0; each < m_watchers.size(); ++each) {
                m_network.send(m_watchers[each].name, m_watchers[index].name, [this, each, index, id = drain->id] {
                    const HostName from(m_watchers[each].name);
                    perform(index, m_watchers[index].watch->recordDrained(localTime(m_watchers[index]), from, id));
                });
            }
        } else if (const auto* const opened = std::get_if<TermOpened>(&action))
            m_checker.checkOpened(m_queue.now(), opened->term, find(opened->target)->target);
        else if (const auto* const durable = std::get_if<Durable>(&action))
            handleWaitEnd(index, durable->id, true);
        else if (const auto* const notDurable = std::get_if<NotDurable>(&action))
            handleWaitEnd(index, notDurable->id, false);
        else if (const auto* const confirmed = std::get_if<Confirmed>(&action))
            m_checker.checkConfirmed(m_watchers[index].confirms[confirmed->id], confirmed->primaryEnd);
        else if (const auto* const record = std::get_if<LogRecord>(&action))
            m_events.emplace_back(m_queue.now(), record->event);
    }
}

void GroupSimulation::sendCommand(std::size_t index, const SendCommand& send)
{
    auto& node = *find(send.target);
    auto& watcher = m_watchers[index];
    const auto incarnation = watcher.incarnation;
    const auto name = nodeName(send.target);
    const auto reply = [this, index, send, incarnation, name](const GroupStatus& status) {
        m_network.send(name, m_watchers[index].name, [this, index, send, incarnation, status] {
            auto& each = m_watchers[index];
            if (each.incarnation == incarnation)
                perform(index, each.watch->handleCommandAnswer(localTime(each), send.target, send.correlation, status));
        });
    };
    const auto sent = m_network.send(watcher.name, name, [this, &node, index, send, incarnation, reply] {
        if (node.isRunning)
            runCommand(node, send.command, reply);
        else
            reportFailure(index, send, ErrorCode::ConnectionRefused, incarnation);
    });
    if (!sent && m_network.chance(0.5))
        reportFailure(index, send, ErrorCode::ConnectionLost, incarnation);
}

void GroupSimulation::reportFailure(
    std::size_t index, const SendCommand& send, ErrorCode code, std::uint64_t incarnation)
{
    m_network.send(nodeName(send.target), m_watchers[index].name, [this, index, send, code, incarnation] {
        auto& node = m_watchers[index];
        const Error error { code, "connect", send.target.value(), "" };
        if (node.incarnation == incarnation)
            perform(index, node.watch->handleCommandFailure(localTime(node), send.target, send.correlation, error));
    });
}

void GroupSimulation::runCommand(TargetNode& node, const GroupCommand& command, const FakeTarget::StatusReply& reply)
{
    switch (command.operation) {
    case GroupOperation::Status:
        reply(node.target.status());
        return;
    case GroupOperation::Fence:
        reply(node.target.fence(command.term, command.candidate));
        return;
    case GroupOperation::Promote: {
        const auto status = node.target.promote(command.term, command.candidate);
        if (status.accepted)
            m_checker.recordPromotion(command.term, node.target.name());
        reply(status);
        return;
    }
    case GroupOperation::Follow:
        reply(node.target.follow(command.term, command.primary));
        return;
    case GroupOperation::Wait:
        node.waits.push_back({ command.point, reply, m_queue.now() + command.timeout });
        answerWaits(node);
        return;
    }
}

void GroupSimulation::startWrite()
{
    m_queue.after(m_network.between(1ms, m_options.writeInterval * 2), [this] { startWrite(); });
    const auto index = m_random() % m_watchers.size();
    auto& node = m_watchers[index];
    if (m_network.isFrozen(node.name))
        return;
    const auto primary = node.watch->primary(localTime(node));
    if (primary && primary->open) {
        auto job = std::make_shared<Job>();
        job->key = ++m_lastKey;
        sendJob(index, job, *primary);
    }
    startConfirm();
}

void GroupSimulation::sendJob(std::size_t index, const JobPointer& job, const PrimaryView& primary)
{
    auto& target = *find(primary.target);
    auto& watcher = m_watchers[index];
    const auto name = nodeName(primary.target);
    const auto attempt = ++job->attempt;
    const auto sentAt = localTime(watcher);
    m_network.send(watcher.name, name, [=, this, &target, incarnation = watcher.incarnation] {
        if (!target.isRunning)
            return;
        const auto answer
            = job->step == JobStep::Write ? target.target.write(job->key) : target.target.lookUp(job->key);
        m_network.send(name, m_watchers[index].name, [=, this] {
            if (job->attempt == attempt && !job->isDone && m_watchers[index].incarnation == incarnation)
                handleJobAnswer(index, job, answer, primary.target, sentAt);
        });
    });
    // The answer may never arrive; another host then looks up the outcome.
    m_queue.after(durableLimit * 2, [this, job, attempt] {
        if (!job->isDone && job->attempt == attempt)
            startLookup(job);
    });
}

void GroupSimulation::handleJobAnswer(
    std::size_t index, const JobPointer& job, const KeyAnswer& answer, const TargetName& from, Instant sentAt)
{
    auto& node = m_watchers[index];
    perform(index, node.watch->handleTargetStatus(localTime(node), from, sentAt, answer.targetStatus));
    if (!answer.accepted) {
        retryLookup(job);
        return;
    }
    const PendingOutcome outcome { job, job->step == JobStep::Write || answer.found, answer.point };
    const auto view = node.watch->primary(localTime(node));
    const auto isDecidedByOpenTerm = job->step == JobStep::Lookup && view && view->open
        && view->term == answer.targetStatus.end.term && answer.point.term < view->term;
    if (isDecidedByOpenTerm) {
        recordOutcome(outcome);
        return;
    }
    const WaitId id(++m_lastWait);
    node.waits[id] = outcome;
    perform(index, node.watch->awaitDurable(localTime(node), id, answer.point, localTime(node) + durableLimit));
}

void GroupSimulation::handleWaitEnd(std::size_t index, WaitId id, bool durable)
{
    const auto node = m_watchers[index].waits.extract(id);
    if (node.empty() || node.mapped().job->isDone)
        return;
    if (durable)
        recordOutcome(node.mapped());
    else
        retryLookup(node.mapped().job);
}

void GroupSimulation::recordOutcome(const PendingOutcome& outcome)
{
    outcome.job->isDone = true;
    if (outcome.written)
        m_checker.recordAcknowledged(m_queue.now(), outcome.job->key, outcome.point);
    else
        m_checker.recordAbsent(outcome.job->key);
}

void GroupSimulation::retryLookup(const JobPointer& job)
{
    const auto attempt = ++job->attempt;
    m_queue.after(m_network.between(10ms, 200ms), [this, job, attempt] {
        if (!job->isDone && job->attempt == attempt)
            startLookup(job);
    });
}

void GroupSimulation::startLookup(const JobPointer& job)
{
    job->step = JobStep::Lookup;
    const auto index = m_random() % m_watchers.size();
    const auto& node = m_watchers[index];
    const auto primary = node.watch->primary(localTime(node));
    if (primary && primary->open && !m_network.isFrozen(node.name))
        sendJob(index, job, *primary);
    else
        retryLookup(job);
}

void GroupSimulation::startConfirm()
{
    const auto index = m_random() % m_watchers.size();
    auto& node = m_watchers[index];
    if (m_network.isFrozen(node.name))
        return;
    const ConfirmationId id(++m_lastWait);
    node.confirms[id] = m_checker.highestAcknowledged();
    perform(index, node.watch->confirm(localTime(node), id, localTime(node) + durableLimit));
}

void GroupSimulation::checkAges()
{
    const auto& node = m_watchers[m_random() % m_watchers.size()];
    const auto& target = m_targets[m_random() % m_targets.size()]->target;
    if (const auto age = node.watch->ageOf(localTime(node), target.end()))
        m_checker.checkAge(m_queue.now(), *age, target.end());
}

std::optional<std::size_t> GroupSimulation::primaryIndex() const
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        const auto targetStatus = m_targets[index]->target.targetStatus();
        if (m_targets[index]->isRunning && targetStatus.role == TargetRole::Primary
            && (!best || targetStatus.end.term > m_targets[*best]->target.end().term))
            best = index;
    }
    return best;
}

const FakeTarget* GroupSimulation::openPrimary() const
{
    return hasConverged() ? &m_targets[*primaryIndex()]->target : nullptr;
}

bool GroupSimulation::hasConverged() const
{
    const auto index = primaryIndex();
    return index && std::all_of(m_watchers.begin(), m_watchers.end(), [&](const WatcherNode& node) {
        const auto view = node.watch->primary(localTime(node));
        const auto& target = m_targets[*index]->target;
        return view && view->open && view->target == target.name() && view->term == target.end().term;
    });
}

} // namespace Auburnpost::Group
