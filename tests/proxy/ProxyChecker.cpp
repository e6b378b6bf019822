#include "proxy/ProxyChecker.h"

#include <algorithm>

namespace Auburnpost::Proxy {

void ProxyChecker::broken(const std::string& text)
{
    if (m_violation.empty())
        m_violation = text;
}

bool ProxyChecker::contains(const std::vector<LogEntry>& log, std::size_t count, const std::string& writeId)
{
    const auto end = log.begin() + static_cast<std::ptrdiff_t>(count);
    return std::any_of(log.begin(), end, [&writeId](const LogEntry& entry) { return entry.write == writeId; });
}

void ProxyChecker::readRuns(Instant, const Unit& unit, const FakeTarget& target)
{
    ++m_reads;
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        const bool isOwn = unit.consistency == Consistency::ReadYourWrites && acknowledged.session == unit.session;
        const auto limit = unit.consistency == Consistency::Current || isOwn ? Duration {} : unit.maxStaleness;
        if (acknowledged.at + limit < unit.begunAt && !contains(target.log, target.applied, writeId)) {
            broken("stale: a read on " + target.record.name.value() + " lacks " + writeId);
            return;
        }
    }
}

void ProxyChecker::writeRuns(const std::string& writeId)
{
    if (++m_runs[writeId] > 1)
        broken("a write ran twice: " + writeId);
}

void ProxyChecker::acknowledged(Instant now, std::uint64_t session, const std::string& writeId)
{
    m_acknowledged[writeId] = { now, session };
}

void ProxyChecker::valuesAre(const Session::SessionValues& found, const Session::SessionValues& expected)
{
    if (found != expected)
        broken("a statement ran with the values of another session");
}

void ProxyChecker::promotionCalled(std::uint64_t token, const std::string& holder)
{
    if (token < m_lastToken)
        broken("a lower fencing token after a higher one");
    if (token == m_lastToken && holder != m_lastHolder)
        broken("two holders of one fencing token");
    m_lastToken = token;
    m_lastHolder = holder;
}

void ProxyChecker::promoted(const FakeTarget& target)
{
    ++m_promotions;
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        if (!contains(target.log, target.log.size(), writeId))
            broken("lost: the promoted target lacks " + writeId);
    }
}

void ProxyChecker::finished(const FakeTarget& primary)
{
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        if (!contains(primary.log, primary.log.size(), writeId))
            broken("an acknowledged write is not kept: " + writeId);
    }
    for (const auto& writeId : m_promised) {
        if (contains(primary.log, primary.log.size(), writeId))
            broken("a write that was promised not to run is kept: " + writeId);
    }
}

} // namespace Auburnpost::Proxy
