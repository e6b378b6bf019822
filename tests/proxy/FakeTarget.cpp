#include "proxy/FakeTarget.h"

#include <algorithm>

namespace Auburnpost::Proxy {

LogPoint FakeTarget::logEnd() const
{
    return log.empty() ? LogPoint { Term(1), Position(0) } : std::max(log.back().point, LogPoint { term, Position(0) });
}

bool FakeTarget::holds(const std::optional<LogPoint>& wanted) const
{
    if (!wanted)
        return true;
    // While entries are unapplied, the applied log ends before the next entry. Once all are applied, the end of the log
    // counts, which may be the start of a term without entries.
    const auto known = applied == log.size() ? logEnd() : log[applied].point;
    return applied == log.size() ? known >= *wanted : known > *wanted;
}

TargetStatus FakeTarget::status() const
{
    TargetStatus status;
    status.isPrimary = isPrimary;
    status.term = term;
    status.received = logEnd();
    status.fencedTerm = fencedTerm;
    status.connections = connections.size();
    return status;
}

void FakeTarget::copyLogFrom(const FakeTarget& primary)
{
    receive(primary.term, primary.log);
}

bool FakeTarget::receive(Term primaryTerm, const std::vector<LogEntry>& primaryLog)
{
    if (!isRunning || isPrimary || fencedTerm != Term {} || primaryTerm < term)
        return false;
    term = primaryTerm;
    // Logs that have an entry in common agree up to that entry.
    auto common = std::min(log.size(), primaryLog.size());
    while (common > 0 && log[common - 1] != primaryLog[common - 1])
        --common;
    applied = std::min(applied, common);
    log.resize(common);
    log.insert(log.end(), primaryLog.begin() + static_cast<std::ptrdiff_t>(common), primaryLog.end());
    return true;
}

LogPoint FakeTarget::append(const std::vector<std::string>& writes)
{
    const auto next = log.empty() || log.back().point.term != term ? 1 : log.back().point.position.value() + 1;
    const LogPoint point { term, Position(next) };
    for (const auto& write : writes)
        log.push_back({ point, write });
    applied = log.size();
    return point;
}

void FakeTarget::becomePrimary(Term newTerm)
{
    isPrimary = true;
    term = newTerm;
    fencedTerm = {};
    applied = log.size();
}

void FakeTarget::crash()
{
    isRunning = false;
    fencedTerm = {};
    connections.clear();
}

void FakeTarget::end()
{
    crash();
    isGone = true;
    isPrimary = false;
    log.clear();
    applied = 0;
}

} // namespace Auburnpost::Proxy
