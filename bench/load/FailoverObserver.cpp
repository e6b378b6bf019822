#include "load/FailoverObserver.h"

#include <algorithm>

namespace Auburnpost::Load {

namespace {

    constexpr Duration targetInterval = std::chrono::milliseconds(10);
    constexpr Duration hostInterval = std::chrono::milliseconds(25);
    /// Polling interval of hosts that are not homes of the database.
    constexpr Duration otherHostInterval = std::chrono::milliseconds(1000);
    constexpr Duration answerTimeout = std::chrono::seconds(2);

    void recordFirst(std::optional<Instant>& moment)
    {
        if (!moment)
            moment = Standin::EventLoop::now();
    }

} // namespace

FailoverObserver::FailoverObserver(Standin::EventLoop& loop, const Endpoints& endpoints, DatabaseName database)
    : m_loop(loop)
    , m_hosts(endpoints.hosts)
    , m_database(std::move(database))
    , m_client(loop.base(), answerTimeout)
{
    std::copy_if(endpoints.targets.begin(), endpoints.targets.end(), std::back_inserter(m_targets),
        [this](const TargetEndpoint& target) { return target.database == m_database; });
}

void FailoverObserver::start()
{
    m_running = true;
    for (const auto& target : m_targets)
        pollTarget(target);
    for (const auto& host : m_hosts)
        pollHost(host);
}

void FailoverObserver::pollTarget(const TargetEndpoint& target)
{
    if (!m_running)
        return;
    m_client.send({ target.control, "/state", {}, "" }, [this, &target](const HttpAnswer& answer) {
        onTargetState(answer);
        m_loop.runAfter(targetInterval, [this, &target] { pollTarget(target); });
    });
}

void FailoverObserver::pollHost(const HostEndpoint& host)
{
    if (!m_running)
        return;
    m_client.send({ host.operators, "/state", {}, "" }, [this, &host](const HttpAnswer& answer) {
        onHostState(host.name, answer);
        const auto interval = m_failoverBefore.contains(host.name) ? hostInterval : otherHostInterval;
        m_loop.runAfter(interval, [this, &host] { pollHost(host); });
    });
}

void FailoverObserver::onTargetState(const HttpAnswer& answer)
{
    const auto state = TargetState::parse(answer.body);
    if (!state)
        return;
    m_highestTerm = std::max(m_highestTerm, state->fencedTerm);
    if (!m_hasFaultBegun) {
        m_termBefore = m_highestTerm;
        return;
    }
    if (state->fencedTerm <= m_termBefore)
        return;
    recordFirst(m_times.fenced);
    if (state->isPrimary)
        recordFirst(m_times.promoted);
}

void FailoverObserver::onHostState(const HostName& host, const HttpAnswer& answer)
{
    const auto state = HomeState::parse(answer.body, m_database);
    if (!state)
        return;
    if (!m_hasFaultBegun) {
        m_failoverBefore[host] = state->failover;
        return;
    }
    const auto before = m_failoverBefore.find(host);
    const bool hasChanged = before != m_failoverBefore.end() && before->second != state->failover;
    if (state->suspectsPrimary || hasChanged)
        recordFirst(m_times.detected);
    if (state->isOpen && state->term > m_termBefore)
        recordFirst(m_times.learned);
}

} // namespace Auburnpost::Load
