#include "proxy/ProxyChecker.h"

namespace Auburnpost::Proxy {

void ProxyChecker::recordViolation(const std::string& text)
{
    if (m_violation.empty())
        m_violation = text;
}

ProxyChecker::Writes ProxyChecker::writesOf(const std::vector<LogEntry>& log, std::size_t count)
{
    Writes writes;
    writes.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        writes.insert(log[index].write);
    return writes;
}

void ProxyChecker::checkRead(Instant, const Unit& unit, const FakeTarget& target)
{
    ++m_reads;
    const auto writes = writesOf(target.log, target.applied);
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        const bool isOwn = unit.consistency == Consistency::ReadYourWrites && acknowledged.session == unit.session;
        const auto limit = unit.consistency == Consistency::Current || isOwn ? Duration {} : unit.maxStaleness;
        if (acknowledged.at + limit < unit.begunAt && !writes.contains(writeId)) {
            recordViolation("stale: a read on " + target.record.name.value() + " lacks " + writeId);
            return;
        }
    }
}

void ProxyChecker::checkPrimaryStatement(Instant arrivedAt, const FakeTarget& target)
{
    ++m_primaryStatements;
    const auto writes = writesOf(target.log, target.applied);
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        if (acknowledged.at < arrivedAt && !m_lost.contains(writeId) && !writes.contains(writeId)) {
            recordViolation("stale: a statement of the primary on " + target.record.name.value() + " lacks " + writeId);
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
    const auto writes = writesOf(target.log, target.log.size());
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        if (writes.contains(writeId))
            continue;
        m_lost.insert(writeId);
        recordViolation("lost: the promoted target lacks " + writeId);
    }
}

void ProxyChecker::checkFinalLog(const FakeTarget& primary)
{
    const auto writes = writesOf(primary.log, primary.log.size());
    for (const auto& [writeId, acknowledged] : m_acknowledged) {
        if (writes.contains(writeId))
            continue;
        m_lost.insert(writeId);
        recordViolation("the primary lacks an acknowledged write: " + writeId);
    }
    for (const auto& writeId : m_notRun) {
        if (writes.contains(writeId))
            recordViolation("the primary has a write that was reported as not run: " + writeId);
    }
}

} // namespace Auburnpost::Proxy
