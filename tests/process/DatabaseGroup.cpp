#include "process/DatabaseGroup.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Test {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    constexpr auto stepInterval = std::chrono::milliseconds(2);
    constexpr auto commitTimeout = std::chrono::seconds(3);
    /// How long a replaced primary reaches the new one before it becomes a replica.
    constexpr auto stepDownTime = std::chrono::seconds(1);

} // namespace

DatabaseGroup::DatabaseGroup(std::uint64_t seed)
    : m_random(seed)
    , m_thread([this] { run(); })
{
}

DatabaseGroup::~DatabaseGroup()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void DatabaseGroup::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        step(std::chrono::steady_clock::now());
        m_changed.notify_all();
        lock.unlock();
        std::this_thread::sleep_for(stepInterval);
        lock.lock();
    }
}

void DatabaseGroup::step(Moment now)
{
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (pending->effectAt > now) {
            ++pending;
            continue;
        }
        takeEffect(pending->member, now);
        pending = m_pending.erase(pending);
    }
    for (auto& [name, member] : m_members) {
        if (!member.isRunning)
            continue;
        if (member.isPrimary)
            stepDown(name, member, now);
        else
            follow(name, member, now);
    }
}

void DatabaseGroup::takeEffect(const std::string& name, Moment now)
{
    const auto found = m_members.find(name);
    if (found == m_members.end() || !found->second.isRunning || leads(found->second))
        return;
    auto& member = found->second;
    member.isPrimary = true;
    member.term = ++m_lastTerm;
    member.fencedTerm = 0;
    member.applied = member.received;
    member.replicated = {};
    member.reachesNewSince = {};
    m_lastPrimary = name;
    m_promotions.push_back({ name, member.term, member.received, now });
}

DatabaseGroup::Member* DatabaseGroup::sourceOf(const std::string& name, const Member& member, std::string& sourceName)
{
    Member* source = nullptr;
    for (auto& [otherName, other] : m_members) {
        const bool canServe = other.isRunning && other.isPrimary && other.term >= member.term;
        if (!canServe || isCutLocked(otherName, name) || (source && source->term >= other.term))
            continue;
        source = &other;
        sourceName = otherName;
    }
    return source;
}

void DatabaseGroup::follow(const std::string& name, Member& member, Moment now)
{
    std::string sourceName;
    auto* const source = sourceOf(name, member, sourceName);
    // A fence holds until a primary of its term is there, or one that was promoted after it.
    const bool isFenced = source && source->term < member.fencedTerm && source->term <= member.newestTermWhenFenced;
    if (source && !isFenced && now >= member.nextReceive) {
        member.fencedTerm = 0;
        if (member.term < source->term) {
            member.term = source->term;
            const auto common = m_log.commonEnd(member.received, source->received);
            if (common != member.received)
                member.busyUntil = now + pick(20, 100);
            member.received = common;
            member.applied = m_log.commonEnd(member.applied, common);
        } else {
            member.received = source->received;
            member.upToDateAt = now;
        }
        member.nextReceive = now + pick(1, 6);
    }
    // What was received earlier is reported also while the member is fenced.
    if (source && source->term == member.term && !isCutLocked(name, sourceName))
        source->replicated = std::max(source->replicated, m_log.position(member.received));
    if (now >= member.nextApply) {
        member.applied = member.received;
        const bool isSlow = m_random() % 100 == 0;
        member.nextApply = now + (isSlow ? pick(100, 400) : pick(2, 30));
    }
}

void DatabaseGroup::stepDown(const std::string& name, Member& member, Moment now)
{
    const auto newer = std::find_if(m_members.begin(), m_members.end(), [&](const auto& other) {
        return other.second.isRunning && other.second.isPrimary && other.second.term > member.term
            && !isCutLocked(name, other.first) && !isCutLocked(other.first, name);
    });
    if (newer == m_members.end())
        member.reachesNewSince = {};
    else if (member.reachesNewSince == Moment())
        member.reachesNewSince = now;
    else if (now - member.reachesNewSince >= stepDownTime)
        becomeReplica(member);
}

void DatabaseGroup::becomeReplica(Member& member)
{
    member.isPrimary = false;
    member.applied = member.received;
    member.reachesNewSince = {};
}

std::chrono::milliseconds DatabaseGroup::pick(int leastMs, int mostMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(leastMs, mostMs)(m_random));
}

bool DatabaseGroup::isCutLocked(const std::string& from, const std::string& to) const
{
    return m_cuts.contains({ from, to });
}

void DatabaseGroup::add(const std::string& name, bool isPrimary)
{
    const std::lock_guard lock(m_mutex);
    auto& member = m_members[name];
    member.isPrimary = isPrimary;
    if (isPrimary)
        m_lastPrimary = name;
}

void DatabaseGroup::crash(const std::string& name)
{
    {
        const std::lock_guard lock(m_mutex);
        m_members.at(name).isRunning = false;
    }
    m_changed.notify_all();
}

void DatabaseGroup::restart(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    auto& member = m_members.at(name);
    member.isRunning = true;
    member.isPrimary = member.isPrimary && name == m_lastPrimary;
    member.fencedTerm = 0;
    member.applied = member.received;
    member.reachesNewSince = {};
}

void DatabaseGroup::setCut(const std::string& from, const std::string& to, bool isCut)
{
    {
        const std::lock_guard lock(m_mutex);
        if (isCut)
            m_cuts.insert({ from, to });
        else
            m_cuts.erase({ from, to });
    }
    m_changed.notify_all();
}

bool DatabaseGroup::isCut(const std::string& from, const std::string& to) const
{
    const std::lock_guard lock(m_mutex);
    return isCutLocked(from, to);
}

void DatabaseGroup::healAll()
{
    const std::lock_guard lock(m_mutex);
    m_cuts.clear();
}

int DatabaseGroup::promote(const std::string& name, const std::string& holder, const std::string& token)
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    const auto found = m_members.find(name);
    if (found == m_members.end() || !found->second.isRunning)
        return statusConflict;
    m_orders.push_back({ name, holder, token, now });
    const bool isPending = std::any_of(m_pending.begin(), m_pending.end(),
        [&name](const PendingPromotion& pending) { return pending.member == name; });
    if (!leads(found->second) && !isPending)
        m_pending.push_back({ name, now + pick(200, 600) });
    return statusOk;
}

std::vector<std::string> DatabaseGroup::runningMembers() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const auto& [name, member] : m_members) {
        if (member.isRunning)
            names.push_back(name);
    }
    return names;
}

std::string DatabaseGroup::primary() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastPrimary;
}

std::size_t DatabaseGroup::attemptedReplacements() const
{
    const std::lock_guard lock(m_mutex);
    return m_orders.size() + m_fences;
}

bool DatabaseGroup::isRunning(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    return m_members.at(name).isRunning;
}

bool DatabaseGroup::isBusy(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    return m_members.at(name).busyUntil > std::chrono::steady_clock::now();
}

MemberStatus DatabaseGroup::status(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto& member = m_members.at(name);
    MemberStatus status { member.isPrimary, member.term, m_log.position(member.received), member.fencedTerm, {} };
    if (!member.isPrimary && member.upToDateAt != Moment())
        status.lag = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - member.upToDateAt);
    return status;
}

LogPosition DatabaseGroup::applied(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto& member = m_members.at(name);
    return m_log.position(member.isPrimary ? member.received : member.applied);
}

void DatabaseGroup::fence(const std::string& name, std::uint64_t term)
{
    const std::lock_guard lock(m_mutex);
    auto& member = m_members.at(name);
    if (!member.isPrimary && term > member.term) {
        member.fencedTerm = std::max(member.fencedTerm, term);
        member.newestTermWhenFenced = m_lastTerm;
        ++m_fences;
    }
}

void DatabaseGroup::resume(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    m_members.at(name).fencedTerm = 0;
}

void DatabaseGroup::demote(const std::string& name, std::uint64_t term)
{
    const std::lock_guard lock(m_mutex);
    auto& member = m_members.at(name);
    if (member.isPrimary && member.term < term)
        becomeReplica(member);
}

void DatabaseGroup::record(const std::string& member, const std::string& id, LogEntryIndex log, bool isPrimary)
{
    m_runs.push_back({ id, member, std::chrono::steady_clock::now(), isPrimary, log });
}

StatementError DatabaseGroup::read(
    const std::string& name, const std::string& id, LogPosition requiredPosition, std::uint64_t leaderOf)
{
    const std::lock_guard lock(m_mutex);
    auto& member = m_members.at(name);
    if (leaderOf > 0 && (!member.isPrimary || member.term != leaderOf))
        return "READONLY";
    const auto log = member.isPrimary ? member.received : member.applied;
    if (m_log.position(log) < requiredPosition)
        return "LAGGING";
    record(name, id, log, member.isPrimary);
    return {};
}

StatementError DatabaseGroup::commit(
    const std::string& name, const std::string& id, std::vector<std::string> writes, std::uint64_t leaderOf)
{
    std::unique_lock lock(m_mutex);
    auto& member = m_members.at(name);
    if (leaderOf == 0)
        leaderOf = member.term;
    const auto stillLeads = [&] { return member.isRunning && member.isPrimary && member.term == leaderOf; };
    if (!stillLeads())
        return "READONLY";
    record(name, id, member.received, true);
    const auto entry = m_log.append(member.received, member.term, id, std::move(writes));
    member.received = entry;
    const auto position = m_log.position(entry);
    const bool isDecided = m_changed.wait_for(
        lock, commitTimeout, [&] { return m_isStopping || !stillLeads() || member.replicated >= position; });
    if (!isDecided)
        return "TIMEOUT";
    return stillLeads() && member.replicated >= position ? StatementError() : noAnswer;
}

void DatabaseGroup::handOver(GroupHistory& history)
{
    const std::lock_guard lock(m_mutex);
    history.lastLog = m_members.at(m_lastPrimary).received;
    history.log = m_log;
    history.runs = std::move(m_runs);
    history.promotions = std::move(m_promotions);
    history.orders = std::move(m_orders);
}

} // namespace Auburnpost::Test
