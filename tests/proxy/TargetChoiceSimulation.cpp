#include "proxy/TargetChoiceSimulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

namespace {

    constexpr Duration swingPeriod = 4s;
    constexpr Duration statusTick = 10ms;
    constexpr Duration urgentPoll = 100ms;
    constexpr Duration retryDelay = 25ms;

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    Duration fromSeconds(double value)
    {
        return Duration(static_cast<Duration::rep>(value * 1e6));
    }

} // namespace

TargetChoiceSimulation::TargetChoiceSimulation(const ChoiceScenario& scenario, const ChooserFactory& factory)
    : m_scenario(scenario)
    , m_random(scenario.seed)
{
    for (std::size_t index = 0; index < scenario.hosts; ++index) {
        Host host;
        host.dataCentre = index % (2 * simulatedTargets);
        host.chooser = factory();
        m_hosts.push_back(std::move(host));
    }
}

ChoiceFigures TargetChoiceSimulation::run()
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        for (std::size_t target = 0; target < simulatedTargets; ++target)
            at(Instant(fromSeconds(uniform() * 0.1)), [this, host, target] { query(host, target, true); });
    }
    for (std::size_t target = 0; target < simulatedTargets; ++target) {
        if (const auto period = m_scenario.targets[target].flapPeriod; period != Duration {})
            at(Instant(period), [this, target] { goDown(target); });
    }
    at(Instant(100ms), [this] { arrive(); });
    at(Instant(warmUp), [this] { sampleSpread(); });
    while (!m_events.empty()) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    std::sort(m_waits.begin(), m_waits.end());
    ChoiceFigures figures;
    const auto answered = static_cast<double>(m_waits.size());
    for (const auto wait : m_waits)
        figures.meanWaitMs += wait / answered;
    figures.slowestWaitMs = m_waits[m_waits.size() * 99 / 100];
    figures.spread = m_spread / static_cast<double>(m_spreadSamples);
    figures.avoidableShare = static_cast<double>(m_avoidable) / static_cast<double>(m_arrivals);
    figures.remoteShare = static_cast<double>(m_remote) / answered;
    figures.unservedShare = static_cast<double>(m_unserved) / (answered + static_cast<double>(m_unserved));
    return figures;
}

void TargetChoiceSimulation::at(Instant time, std::function<void()> run)
{
    m_events.push({ time, ++m_lastNumber, std::move(run) });
}

void TargetChoiceSimulation::arrive()
{
    const auto capacity = static_cast<double>(simulatedTargets * simulatedSlots) / seconds(meanService);
    const auto peak = m_scenario.demand * (1 + m_scenario.swing) * capacity;
    if (m_now < Instant(length))
        at(m_now + fromSeconds(std::exponential_distribution<double>(peak)(m_random)), [this] { arrive(); });
    const auto phase = 2 * std::numbers::pi * seconds(m_now.time_since_epoch()) / seconds(swingPeriod);
    if (uniform() >= (1 + m_scenario.swing * std::sin(phase)) / (1 + m_scenario.swing))
        return;
    const auto drawn = uniform();
    const auto& shares = m_scenario.regions;
    const std::size_t region = drawn < shares[0] ? 0 : drawn < shares[0] + shares[1] ? 1 : 2;
    auto host = static_cast<std::size_t>(uniform() * static_cast<double>(m_hosts.size()));
    while (m_hosts[host].dataCentre / 2 != region)
        host = (host + 1) % m_hosts.size();
    const auto attempt = std::make_shared<Attempt>();
    attempt->host = host;
    attempt->arrivedAt = m_now;
    attempt->service = fromSeconds(std::exponential_distribution<double>(1 / seconds(meanService))(m_random));
    send(attempt);
    at(m_now + statementLimit, [this, attempt] {
        if (attempt->isDone)
            return;
        attempt->isDone = true;
        m_unserved += isMeasured() ? 1 : 0;
        if (!attempt->isSent)
            return;
        auto& known = m_hosts[attempt->host].known[attempt->target];
        --known.own;
        known.load.recordFailure(m_now);
    });
}

void TargetChoiceSimulation::send(const AttemptPointer& attempt)
{
    if (attempt->isDone)
        return;
    attempt->isSent = false;
    auto& host = m_hosts[attempt->host];
    const auto costs = host.chooser->costs(m_now, host.known, m_random);
    std::optional<std::size_t> best;
    for (std::size_t target = 0; target < simulatedTargets; ++target) {
        if (attempt->avoided[target] || host.known[target].isSuspect)
            continue;
        if (!best || costs[target] < costs[*best])
            best = target;
    }
    if (!best) {
        attempt->avoided = {};
        at(m_now + retryDelay, [this, attempt] { send(attempt); });
        return;
    }
    attempt->target = *best;
    attempt->sentAt = m_now;
    attempt->isSent = true;
    ++host.known[*best].own;
    at(m_now + delay(attempt->host, *best), [this, attempt] { receive(attempt); });
}

void TargetChoiceSimulation::receive(const AttemptPointer& attempt)
{
    auto& target = m_targets[attempt->target];
    const bool isFull = target.busy >= simulatedSlots;
    if (isMeasured()) {
        ++m_arrivals;
        bool hasOther = false;
        for (std::size_t other = 0; other < simulatedTargets; ++other)
            hasOther = hasOther
                || (isUp(other) && m_scenario.targets[other].lostShare == 0 && m_targets[other].busy < simulatedSlots);
        m_avoidable += isFull && hasOther ? 1 : 0;
    }
    if (!isUp(attempt->target)) {
        lose(attempt);
        return;
    }
    if (target.waiting.size() >= queueCapacity) {
        at(m_now + delay(attempt->host, attempt->target), [this, attempt] {
            if (attempt->isDone)
                return;
            auto& known = m_hosts[attempt->host].known[attempt->target];
            --known.own;
            known.load.recordRefusal(m_now);
            attempt->avoided[attempt->target] = true;
            send(attempt);
        });
        return;
    }
    if (isFull)
        target.waiting.push_back(attempt);
    else
        start(attempt);
}

void TargetChoiceSimulation::lose(const AttemptPointer& attempt)
{
    at(m_now + delay(attempt->host, attempt->target), [this, attempt] {
        if (attempt->isDone)
            return;
        auto& known = m_hosts[attempt->host].known[attempt->target];
        --known.own;
        known.load.recordFailure(m_now);
        if (!known.isSuspect)
            at(m_now + urgentPoll, [this, attempt] { query(attempt->host, attempt->target, false); });
        known.isSuspect = true;
        attempt->avoided[attempt->target] = true;
        send(attempt);
    });
}

void TargetChoiceSimulation::goDown(std::size_t index)
{
    auto& target = m_targets[index];
    ++target.starts;
    target.busy = 0;
    for (const auto& list : { &target.running, &target.waiting }) {
        for (const auto& attempt : std::exchange(*list, {}))
            lose(attempt);
    }
    const auto period = m_scenario.targets[index].flapPeriod;
    if (m_now < Instant(length))
        at(m_now + 2 * period, [this, index] { goDown(index); });
}

void TargetChoiceSimulation::start(const AttemptPointer& attempt)
{
    const auto index = attempt->target;
    auto& target = m_targets[index];
    ++target.busy;
    target.running.push_back(attempt);
    const auto length = fromSeconds(seconds(attempt->service) * m_scenario.targets[index].slowness);
    at(m_now + length, [this, attempt, index, starts = target.starts] {
        if (starts == m_targets[index].starts)
            complete(attempt);
    });
}

void TargetChoiceSimulation::complete(const AttemptPointer& attempt)
{
    auto& target = m_targets[attempt->target];
    --target.busy;
    std::erase(target.running, attempt);
    if (!target.waiting.empty()) {
        const auto next = target.waiting.front();
        target.waiting.erase(target.waiting.begin());
        start(next);
    }
    if (uniform() < m_scenario.targets[attempt->target].lostShare)
        return;
    at(m_now + delay(attempt->host, attempt->target), [this, attempt] { finish(*attempt); });
}

void TargetChoiceSimulation::finish(Attempt& attempt)
{
    if (attempt.isDone)
        return;
    attempt.isDone = true;
    auto& host = m_hosts[attempt.host];
    auto& known = host.known[attempt.target];
    known.load.recordAnswer(m_now, m_now - attempt.sentAt, known.own, simulatedSlots);
    --known.own;
    if (!isMeasured())
        return;
    m_waits.push_back(seconds(m_now - attempt.arrivedAt - attempt.service) * 1e3);
    m_remote += host.dataCentre / 2 != attempt.target ? 1 : 0;
}

void TargetChoiceSimulation::query(std::size_t host, std::size_t target, bool isRegular)
{
    if (m_now >= Instant(length))
        return;
    const auto sentAt = m_now;
    const auto path = delay(host, target);
    at(m_now + path, [this, host, target, isRegular, sentAt, path] {
        const auto busy = m_targets[target].busy + m_targets[target].waiting.size();
        const auto reported = m_scenario.targets[target].isMisreporting ? 0 : busy;
        const bool answers = isUp(target);
        at(m_now + path, [this, host, target, isRegular, sentAt, reported, answers] {
            auto& known = m_hosts[host].known[target];
            if (answers) {
                const auto roundTrip = m_now - sentAt;
                known.roundTrip = roundTrip;
                known.reported = reported;
                known.load.recordReport(m_now, reported, known.own, roundTrip);
                if (known.isSuspect)
                    known.load.recordReturn(m_now);
            }
            known.isSuspect = !answers;
            if (answers && !isRegular)
                return;
            const auto interval = answers ? fromSeconds(1 + 1.5 * uniform()) : urgentPoll;
            at(m_now + interval, [this, host, target, isRegular] { query(host, target, isRegular); });
        });
    });
}

void TargetChoiceSimulation::sampleSpread()
{
    if (m_now >= Instant(length))
        return;
    std::size_t most = 0;
    std::size_t fewest = simulatedSlots;
    for (std::size_t target = 0; target < simulatedTargets; ++target) {
        if (!isUp(target))
            continue;
        most = std::max(most, m_targets[target].busy);
        fewest = std::min(fewest, m_targets[target].busy);
    }
    m_spread += static_cast<double>(most - fewest);
    ++m_spreadSamples;
    at(m_now + statusTick, [this] { sampleSpread(); });
}

bool TargetChoiceSimulation::isUp(std::size_t target) const
{
    const auto period = m_scenario.targets[target].flapPeriod;
    return period == Duration {} || m_now.time_since_epoch() / period % 2 == 0;
}

Duration TargetChoiceSimulation::delay(std::size_t host, std::size_t target) const
{
    const auto dataCentre = m_hosts[host].dataCentre;
    if (dataCentre / 2 != target)
        return 20ms;
    return dataCentre % 2 == 0 ? 100us : 900us;
}

} // namespace Auburnpost::Proxy
