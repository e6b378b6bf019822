#include "proxy/ProxyChecker.h"

#include <algorithm>

namespace Auburnpost::Proxy {

void ProxyChecker::recordViolation(const std::string& text)
{
    if (m_violation.empty())
        m_violation = text;
}

bool ProxyChecker::contains(const std::vector<LogEntry>& log, std::size_t count, const std::string& writeId)
{
    const auto end = log.begin() + static_cast<std::ptrdiff_t>(count);
    return std::any_of(log.begin(), end, [&writeId](const LogEntry& entry) { return entry.write == writeId; });
}

void ProxyChecker::checkRead(Instant, const Unit& unit, const FakeTarget& target)
{
    ++m_reads;
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        const bool isOwn = unit.consistency == Consistency::ReadYourWrites && acknowledged.session == unit.session;
        const auto limit = unit.consistency == Consistency::Current || isOwn ? Duration {} : unit.maxStaleness;
        if (acknowledged.at + limit < unit.begunAt && !contains(target.log, target.applied, writeId)) {
            recordViolation("stale: a read on " + target.record.name.value() + " lacks " + writeId);
            return;
        }
    }
}

void ProxyChecker::recordWriteRun(const std::string& writeId)
{
    if (++m_runs[writeId] > 1)
        recordViolation("a write ran more than once: " + writeId);
}

void ProxyChecker::recordAcknowledged(Instant now, std::uint64_t session, const std::string& writeId)
{
    m_acknowledged[writeId] = { now, session };
}

void ProxyChecker::checkValues(const Session::SessionValues& found, const Session::SessionValues& expected)
{
    if (found != expected)
        recordViolation("a statement ran with the values of another session");
}

void ProxyChecker::checkPromotionCall(std::uint64_t token, const std::string& holder)
{
    if (token < m_lastToken)
        recordViolation("a promotion call with a lower fencing token after one with a higher token");
    if (token == m_lastToken && holder != m_lastHolder)
        recordViolation("two hosts called with the same fencing token");
    m_lastToken = token;
    m_lastHolder = holder;
}

void ProxyChecker::checkPromotion(const FakeTarget& target)
{
    ++m_promotions;
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        if (contains(target.log, target.log.size(), writeId))
            continue;
        m_lost.insert(writeId);
        recordViolation("lost: the promoted target lacks " + writeId);
    }
}

void ProxyChecker::checkFinalLog(const FakeTarget& primary)
{
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        if (!contains(primary.log, primary.log.size(), writeId))
            recordViolation("the primary lacks an acknowledged write: " + writeId);
    }
    for (const auto& writeId : m_notRun) {
        if (contains(primary.log, primary.log.size(), writeId))
            recordViolation("the primary has a write that was reported as not run: " + writeId);
    }
}

} // namespace Auburnpost::Proxy
