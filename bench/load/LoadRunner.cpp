#include "load/LoadRunner.h"

#include <algorithm>

namespace Auburnpost::Load {

namespace {

    /// Time that a connection stays open beyond the time limit that the host was given.
    constexpr Duration responseMargin = std::chrono::seconds(1);
    constexpr Duration firstRetryDelay = std::chrono::milliseconds(25);
    constexpr Duration maxRetryDelay = std::chrono::milliseconds(400);

} // namespace

/// A request that has not completed.
struct LoadRunner::ActiveRequest {
    Operation operation;
    Instant started;
    Duration retryDelay { firstRetryDelay };
    /// An earlier attempt may have taken effect.
    bool mayHaveRun { false };
};

LoadRunner::LoadRunner(Standin::EventLoop& loop, LoadSettings settings, Workload workload)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_workload(std::move(workload))
    , m_random(m_settings.seed)
    , m_client(loop.base(), m_settings.requestTimeout + responseMargin)
{
}

void LoadRunner::start(std::function<void()> done)
{
    m_done = std::move(done);
    const auto begin = Standin::EventLoop::now();
    m_arrivals = std::make_unique<Arrivals>(begin, m_settings.ratePerSecond, m_settings.surge);
    m_end = begin + m_settings.length;
    m_nextArrival = m_arrivals->next(begin, m_random);
    scheduleArrival();
}

void LoadRunner::scheduleArrival()
{
    if (m_nextArrival < m_end)
        m_loop.runAfter(m_nextArrival - Standin::EventLoop::now(), [this] { startDueRequests(); });
    else
        notifyIfDone();
}

void LoadRunner::startDueRequests()
{
    const auto now = Standin::EventLoop::now();
    while (m_nextArrival <= now && m_nextArrival < m_end) {
        auto active = std::make_shared<ActiveRequest>(ActiveRequest { m_workload.next(m_nextArrival, m_random), now });
        m_nextArrival = m_arrivals->next(m_nextArrival, m_random);
        ++m_activeRequests;
        if (active->operation.event.isWrite)
            m_checker.recordStart(active->operation.event);
        attempt(active);
    }
    scheduleArrival();
}

void LoadRunner::attempt(const std::shared_ptr<ActiveRequest>& active)
{
    std::uniform_int_distribution<std::size_t> draw(0, m_settings.hosts.size() - 1);
    const auto& host = m_settings.hosts[draw(m_random)];
    auto& event = active->operation.event;
    event.host = host.name;
    m_client.send(
        makeRequest(active->operation, host, m_settings.requestTimeout), [this, active](const HttpAnswer& answer) {
            onReply(active, CallerReply::read(answer, active->operation.event));
        });
}

void LoadRunner::onReply(const std::shared_ptr<ActiveRequest>& active, const CallerReply& reply)
{
    if (!reply.token.empty())
        active->operation.token = reply.token;
    if (shouldRetry(*active, reply))
        retryLater(active, reply);
    else
        finish(*active, reply);
    notifyIfDone();
}

bool LoadRunner::shouldRetry(const ActiveRequest& active, const CallerReply& reply) const
{
    constexpr int serviceUnavailable = 503;
    if (active.operation.event.key.empty() || reply.outcome == Outcome::Done)
        return false;
    if (Standin::EventLoop::now() - active.started > m_settings.retryWindow)
        return false;
    return reply.outcome == Outcome::Unknown || reply.status == serviceUnavailable;
}

void LoadRunner::retryLater(const std::shared_ptr<ActiveRequest>& active, const CallerReply& reply)
{
    auto& event = active->operation.event;
    active->mayHaveRun = active->mayHaveRun || reply.outcome == Outcome::Unknown;
    ++event.attempts;
    std::uniform_real_distribution<double> jitter(0.5, 1);
    const auto delay = std::chrono::duration_cast<Duration>(active->retryDelay * jitter(m_random));
    active->retryDelay = std::min(active->retryDelay * 2, maxRetryDelay);
    m_loop.runAfter(delay, [this, active] { attempt(active); });
}

void LoadRunner::finish(ActiveRequest& active, const CallerReply& reply)
{
    auto& event = active.operation.event;
    event.completed = Standin::EventLoop::now();
    event.outcome = reply.outcome == Outcome::NotRun && active.mayHaveRun ? Outcome::Unknown : reply.outcome;
    event.status = reply.status;
    event.code = reply.code;
    event.servedBy = reply.servedBy;
    event.age = reply.age;
    event.facts = reply.facts;
    if (reply.malformed)
        m_table.add(Violation {
            Rule::MixedAnswer, event.kind + " at " + event.host.value() + " has an invalid or incomplete answer" });
    if (event.isWrite)
        m_checker.recordOutcome(event);
    for (const auto& violation : m_checker.check(event))
        m_table.add(violation);
    m_table.add(event);
    if (m_sink)
        m_sink(event);
    m_workload.completeRequest(event, active.operation.token);
    --m_activeRequests;
}

void LoadRunner::notifyIfDone()
{
    if (m_activeRequests == 0 && m_nextArrival >= m_end && m_done)
        std::exchange(m_done, nullptr)();
}

} // namespace Auburnpost::Load
