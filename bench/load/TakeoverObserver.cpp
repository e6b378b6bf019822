#include "load/TakeoverObserver.h"

#include <algorithm>

namespace Auburnpost::Load {

namespace {

    constexpr Duration targetInterval = std::chrono::milliseconds(10);
    constexpr Duration hostInterval = std::chrono::milliseconds(25);
    /// A host that is no home of the database is asked this often.
    constexpr Duration otherHostInterval = std::chrono::milliseconds(1000);
    constexpr Duration answerTimeout = std::chrono::seconds(2);

    void noteFirst(std::optional<Instant>& moment)
    {
        if (!moment)
            moment = Standin::EventLoop::now();
    }

} // namespace

TakeoverObserver::TakeoverObserver(Standin::EventLoop& loop, const Endpoints& endpoints, DatabaseName database)
    : m_loop(loop)
    , m_hosts(endpoints.hosts)
    , m_database(std::move(database))
    , m_client(loop.base(), answerTimeout)
{
    std::copy_if(endpoints.targets.begin(), endpoints.targets.end(), std::back_inserter(m_targets),
        [this](const TargetEndpoint& target) { return target.database == m_database; });
}

void TakeoverObserver::start()
{
    m_running = true;
    for (const auto& target : m_targets)
        pollTarget(target);
    for (const auto& host : m_hosts)
        pollHost(host);
}

void TakeoverObserver::pollTarget(const TargetEndpoint& target)
{
    if (!m_running)
        return;
    m_client.send({ target.control, "/state", {}, "" }, [this, &target](const HttpAnswer& answer) {
        onTargetState(answer);
        m_loop.after(targetInterval, [this, &target] { pollTarget(target); });
    });
}

void TakeoverObserver::pollHost(const HostEndpoint& host)
{
    if (!m_running)
        return;
    m_client.send({ host.operators, "/state", {}, "" }, [this, &host](const HttpAnswer& answer) {
        onHostState(host.name, answer);
        const auto interval = m_takeoverBefore.contains(host.name) ? hostInterval : otherHostInterval;
        m_loop.after(interval, [this, &host] { pollHost(host); });
    });
}

void TakeoverObserver::onTargetState(const HttpAnswer& answer)
{
    const auto standing = TargetStanding::parse(answer.body);
    if (!standing)
        return;
    m_highestTerm = std::max(m_highestTerm, standing->fencedTerm);
    if (!m_faultBegan) {
        m_termBefore = m_highestTerm;
        return;
    }
    if (standing->fencedTerm <= m_termBefore)
        return;
    noteFirst(m_times.fenced);
    if (standing->isPrimary)
        noteFirst(m_times.promoted);
}

void TakeoverObserver::onHostState(const HostName& host, const HttpAnswer& answer)
{
    const auto standing = HomeStanding::parse(answer.body, m_database);
    if (!standing)
        return;
    if (!m_faultBegan) {
        m_takeoverBefore[host] = standing->takeover;
        return;
    }
    const auto before = m_takeoverBefore.find(host);
    const bool hasChanged = before != m_takeoverBefore.end() && before->second != standing->takeover;
    if (standing->suspectsPrimary || hasChanged)
        noteFirst(m_times.detected);
    if (standing->isOpen && standing->term > m_termBefore)
        noteFirst(m_times.learnt);
}

} // namespace Auburnpost::Load
