#include "proxy/LogReplication.h"

#include "proxy/ProxySimulation.h"

#include <algorithm>

namespace Auburnpost::Proxy {

LogReplication::LogReplication(ProxySimulation& simulation)
    : m_simulation(simulation)
{
}

std::shared_ptr<const LogReplication::SentLog> LogReplication::currentLogOf(const FakeTarget& primary)
{
    auto& sent = m_sent[primary.record.name];
    if (!sent || sent->term != primary.term || sent->entries.size() != primary.log.size())
        sent = std::make_shared<SentLog>(SentLog { primary.term, primary.log });
    return sent;
}

void LogReplication::send(const FakeTarget& primary, const TargetName& replica)
{
    const auto name = primary.record.name;
    m_simulation.after(ProxySimulation::oneWayDelay,
        [this, name, replica, log = currentLogOf(primary)] { receive(name, replica, *log); });
}

void LogReplication::receive(const TargetName& primary, const TargetName& replica, const SentLog& log)
{
    auto& target = *m_simulation.target(replica);
    if (!target.receive(log.term, log.entries) || log.entries.empty() || m_simulation.areCut(primary, replica))
        return;
    const auto end = log.entries.back().point;
    m_simulation.after(ProxySimulation::oneWayDelay,
        [this, primary, replica, term = log.term, end] { handleReceipt(primary, term, replica, end); });
}

bool LogReplication::mayAcknowledge(const TargetName& primary) const
{
    const auto& target = *m_simulation.target(primary);
    return target.isRunning && target.isPrimary;
}

void LogReplication::commit(const TargetName& primary, const LogPoint& point, std::function<void(LogPoint)> done)
{
    m_pending.push_back({ primary, point, {}, std::move(done) });
}

void LogReplication::handleReceipt(const TargetName& primary, Term term, const TargetName& replica, const LogPoint& end)
{
    if (!mayAcknowledge(primary) || m_simulation.target(primary)->term != term)
        return;
    std::vector<PendingCommit> acknowledged;
    std::erase_if(m_pending, [&](PendingCommit& commit) {
        if (commit.primary != primary || commit.point > end)
            return false;
        commit.receipts.insert(replica);
        if (commit.receipts.size() < ProxySimulation::syncReplicas)
            return false;
        acknowledged.push_back(commit);
        return true;
    });
    for (const auto& commit : acknowledged) {
        m_lastAcknowledged = commit.point;
        commit.done(commit.point);
    }
}

void LogReplication::dropWithoutPrimary()
{
    std::erase_if(m_pending, [this](const PendingCommit& commit) { return !mayAcknowledge(commit.primary); });
}

bool LogReplication::holdsAcknowledged(const FakeTarget& target) const
{
    return m_lastAcknowledged == LogPoint {}
    || std::any_of(target.log.rbegin(), target.log.rend(),
        [this](const LogEntry& entry) { return entry.point == m_lastAcknowledged; });
}

} // namespace Auburnpost::Proxy
