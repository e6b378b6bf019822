#include "load/LoadRunner.h"

#include <algorithm>

namespace Auburnpost::Load {

namespace {

    /// The connection outlives the time limit that the host was given by this much.
    constexpr Duration answerSlack = std::chrono::seconds(1);
    constexpr Duration firstRetryDelay = std::chrono::milliseconds(25);
    constexpr Duration longestRetryDelay = std::chrono::milliseconds(400);

} // namespace

/// A request under way.
struct LoadRunner::Running {
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
    , m_client(loop.base(), m_settings.requestTimeout + answerSlack)
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
        m_loop.after(m_nextArrival - Standin::EventLoop::now(), [this] { arrive(); });
    else
        checkDone();
}

void LoadRunner::arrive()
{
    const auto now = Standin::EventLoop::now();
    while (m_nextArrival <= now && m_nextArrival < m_end) {
        auto running = std::make_shared<Running>(Running { m_workload.next(m_nextArrival, m_random), now });
        m_nextArrival = m_arrivals->next(m_nextArrival, m_random);
        ++m_running;
        if (running->operation.event.isWrite)
            m_checker.began(running->operation.event);
        attempt(running);
    }
    scheduleArrival();
}

void LoadRunner::attempt(const std::shared_ptr<Running>& running)
{
    std::uniform_int_distribution<std::size_t> draw(0, m_settings.hosts.size() - 1);
    const auto& host = m_settings.hosts[draw(m_random)];
    auto& event = running->operation.event;
    event.host = host.name;
    m_client.send(
        makeCall(running->operation, host, m_settings.requestTimeout), [this, running](const HttpAnswer& answer) {
            onReply(running, CallerReply::read(answer, running->operation.event));
        });
}

void LoadRunner::onReply(const std::shared_ptr<Running>& running, const CallerReply& reply)
{
    if (!reply.token.empty())
        running->operation.token = reply.token;
    if (shouldRetry(*running, reply))
        retryLater(running, reply);
    else
        finish(*running, reply);
    checkDone();
}

bool LoadRunner::shouldRetry(const Running& running, const CallerReply& reply) const
{
    constexpr int serviceUnavailable = 503;
    if (running.operation.event.key.empty() || reply.outcome == Outcome::Done)
        return false;
    if (Standin::EventLoop::now() - running.started > m_settings.retryWindow)
        return false;
    return reply.outcome == Outcome::Unknown || reply.status == serviceUnavailable;
}

void LoadRunner::retryLater(const std::shared_ptr<Running>& running, const CallerReply& reply)
{
    auto& event = running->operation.event;
    running->mayHaveRun = running->mayHaveRun || reply.outcome == Outcome::Unknown;
    ++event.attempts;
    std::uniform_real_distribution<double> jitter(0.5, 1);
    const auto delay = std::chrono::duration_cast<Duration>(running->retryDelay * jitter(m_random));
    running->retryDelay = std::min(running->retryDelay * 2, longestRetryDelay);
    m_loop.after(delay, [this, running] { attempt(running); });
}

void LoadRunner::finish(Running& running, const CallerReply& reply)
{
    auto& event = running.operation.event;
    event.completed = Standin::EventLoop::now();
    event.outcome = reply.outcome == Outcome::NotRun && running.mayHaveRun ? Outcome::Unknown : reply.outcome;
    event.status = reply.status;
    event.code = reply.code;
    event.servedBy = reply.servedBy;
    event.age = reply.age;
    event.facts = reply.facts;
    if (reply.malformed)
        m_table.add(Violation { Rule::MixedAnswer, event.kind + " at " + event.host.value() + " is not whole" });
    if (event.isWrite)
        m_checker.ended(event);
    for (const auto& violation : m_checker.check(event))
        m_table.add(violation);
    m_table.add(event);
    if (m_sink)
        m_sink(event);
    m_workload.finished(event, running.operation.token);
    --m_running;
}

void LoadRunner::checkDone()
{
    if (m_running == 0 && m_nextArrival >= m_end && m_done)
        std::exchange(m_done, nullptr)();
}

} // namespace Auburnpost::Load
