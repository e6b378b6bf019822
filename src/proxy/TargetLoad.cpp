#include "proxy/TargetLoad.h"

#include <algorithm>
#include <cmath>

namespace Auburnpost::Proxy {

namespace {

    /// Least weight of a new answer, so that a burst of answers also moves the mean.
    constexpr double leastAnswerWeight = 0.1;
    /// Weight of a new report in the mean of the reports.
    constexpr double reportWeight = 0.3;
    /// Weight of a longer round trip in the shortest one, which follows a change of the path slowly.
    constexpr double networkWeight = 0.02;
    /// Limit of the failure rate in the expected time; at 0.9 a statement is expected to need ten attempts.
    constexpr double maxFailureRate = 0.9;
    /// Delay that a failed attempt costs on average.
    constexpr double failureCost = 200'000;

    /// @return how much of a value is left after an age.
    double decay(Duration age, Duration constant)
    {
        return std::exp(
            -static_cast<double>(std::max(age, Duration {}).count()) / static_cast<double>(constant.count()));
    }

    Duration microseconds(double count)
    {
        return Duration(static_cast<Duration::rep>(count));
    }

} // namespace

void TargetLoad::recordAnswer(Instant now, Duration responseTime, std::size_t own, std::size_t slots)
{
    const auto onTarget
        = static_cast<double>(std::max(responseTime - m_networkTime.value_or(Duration {}), Duration {}).count());
    const auto load = static_cast<double>(own) + othersLoad(now);
    const auto rounds = std::max(1.0, load / static_cast<double>(std::max<std::size_t>(slots, 1)));
    const auto weight = m_answeredAt ? std::max(leastAnswerWeight, 1 - decay(now - *m_answeredAt, answerDecay))
                                     : 1 - leastAnswerWeight;
    const auto before = static_cast<double>(serviceTime(now).count());
    m_service = before + (onTarget / rounds - before) * weight;
    m_answeredAt = now;
    m_refusals = 0;
    m_failures = 0;
    recordOutcome(now, 0);
}

void TargetLoad::recordRefusal(Instant now)
{
    // Refusals of statements that were sent together count once.
    if (!isPaused(now)) {
        const auto factor = Duration::rep { 1 } << std::min<std::size_t>(m_refusals, 4);
        m_pausedUntil = now + std::min(refusalPause * factor, longestRefusalPause);
        ++m_refusals;
    }
    recordOutcome(now, 1);
}

void TargetLoad::recordFailure(Instant now)
{
    if (++m_failures >= failuresUntilReturn)
        m_returnedAt = now;
    recordOutcome(now, 1);
}

void TargetLoad::recordReturn(Instant now)
{
    m_returnedAt = now;
}

void TargetLoad::recordReport(Instant now, std::size_t busy, std::size_t own, Duration roundTrip)
{
    if (!m_networkTime || roundTrip < *m_networkTime)
        m_networkTime = roundTrip;
    else
        *m_networkTime += microseconds(static_cast<double>((roundTrip - *m_networkTime).count()) * networkWeight);
    m_reported = static_cast<double>(busy - std::min(busy, own));
    m_usual = m_reportedAt ? m_usual + (m_reported - m_usual) * reportWeight : m_reported;
    m_reportedAt = now;
}

Duration TargetLoad::serviceTime(Instant now) const
{
    if (!m_answeredAt)
        return defaultService;
    const auto average = static_cast<double>(defaultService.count());
    return microseconds(average + (m_service - average) * decay(now - *m_answeredAt, forgetDecay));
}

double TargetLoad::failureRate(Instant now) const
{
    return m_outcomeAt ? m_failureRate * decay(now - *m_outcomeAt, failureDecay) : 0;
}

double TargetLoad::othersLoad(Instant now) const
{
    if (!m_reportedAt)
        return 0;
    return m_usual + (m_reported - m_usual) * decay(now - *m_reportedAt, reportDecay);
}

double TargetLoad::returnShare(Instant now) const
{
    if (!m_returnedAt)
        return 1;
    const auto step = (now - *m_returnedAt) / returnStep + 1;
    return std::min(1.0, static_cast<double>(step) / (returnSteps + 1));
}

Duration TargetLoad::expectedTime(Instant now, std::size_t own, std::size_t slots, Duration networkTime) const
{
    return timeWith(now, 1, own, slots, networkTime);
}

Duration TargetLoad::sampledTime(
    Instant now, std::size_t own, std::size_t slots, Duration networkTime, RandomEngine& random) const
{
    const auto factor = std::uniform_real_distribution<double>(1 - variation, 1 + variation)(random);
    const bool isHeldBack = std::uniform_real_distribution<double>(0, 1)(random) >= returnShare(now);
    return timeWith(now, factor, own, slots, networkTime) + (isHeldBack ? returnCost : Duration {});
}

Duration TargetLoad::timeWith(
    Instant now, double factor, std::size_t own, std::size_t slots, Duration networkTime) const
{
    const auto load = othersLoad(now) + static_cast<double>(own) + 1;
    const auto rounds = std::max(1.0, load / static_cast<double>(std::max<std::size_t>(slots, 1)));
    const auto failed = std::min(failureRate(now), maxFailureRate);
    const auto onTarget = static_cast<double>(serviceTime(now).count()) * rounds * factor;
    const auto attempt = static_cast<double>(networkTime.count()) + onTarget;
    const auto time = (attempt + failed * failureCost) / (1 - failed);
    return microseconds(time) + (isPaused(now) ? refusalCost : Duration {});
}

void TargetLoad::recordOutcome(Instant now, double failed)
{
    const auto weight
        = m_outcomeAt ? std::max(leastAnswerWeight, 1 - decay(now - *m_outcomeAt, answerDecay)) : leastAnswerWeight;
    const auto before = failureRate(now);
    m_failureRate = before + (failed - before) * weight;
    m_outcomeAt = now;
}

} // namespace Auburnpost::Proxy
