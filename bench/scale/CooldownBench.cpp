#include "scale/Benches.h"

#include "limit/Cooldown.h"
#include "limit/RetryBudget.h"
#include "limit/RetryPolicy.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <queue>
#include <vector>

namespace Auburnpost::Bench {

namespace {

    using namespace Limit;
    using namespace std::chrono_literals;

    constexpr double requestsPerSecond = 200;
    constexpr Duration runLength = 120s;
    constexpr Duration serviceTime = 10ms;
    constexpr Duration requestTimeout = 500ms;
    constexpr std::size_t seeds = 5;

    /// Pattern in which a simulated target refuses attempts.
    struct Target {
        const char* name;
        Duration up;
        Duration down;
        /// Rate in attempts per second above which it refuses while up.
        double admittedPerSecond;
        std::optional<Duration> retryAfter;
    };

    struct Result {
        double useful { 0 };
        double attempts { 0 };
        double refused { 0 };
        double latencyMs { 0 };
    };

    class CooldownRun {
    public:
        CooldownRun(const Target& target, bool usesCooldown, std::uint64_t seed)
            : m_target(target)
            , m_usesCooldown(usesCooldown)
            , m_random(seed)
        {
        }

        Result run()
        {
            std::exponential_distribution<double> gap(requestsPerSecond);
            std::size_t requests = 0;
            for (Instant at; at < Instant {} + runLength;) {
                at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
                m_attempts.push({ at, at, 0 });
                ++requests;
            }
            while (!m_attempts.empty()) {
                const auto attempt = m_attempts.top();
                m_attempts.pop();
                handle(attempt);
            }
            const auto count = static_cast<double>(requests);
            return { m_result.useful / count, m_result.attempts / count, m_result.refused / count,
                m_result.latencyMs / std::max(1.0, m_result.useful) };
        }

    private:
        struct Attempt {
            Instant at;
            Instant arrival;
            std::uint32_t attemptsMade { 0 };

            bool operator>(const Attempt& other) const { return at > other.at; }
        };

        void handle(Attempt attempt)
        {
            const auto now = attempt.at;
            const auto deadline = attempt.arrival + requestTimeout;
            if (!attempt.attemptsMade)
                m_budget.recordRequest(now);
            if (m_usesCooldown && !m_cooldown.isOver(now)) {
                // Waiting requests check again at times spread over 20 ms, so that the end of the cool-down causes
                // no burst.
                const auto nextCheck = m_cooldown.until() + Duration(m_random() % 20'000);
                if (nextCheck + serviceTime <= deadline)
                    m_attempts.push({ nextCheck, attempt.arrival, attempt.attemptsMade });
                return;
            }
            ++attempt.attemptsMade;
            ++m_result.attempts;
            if (admits(now)) {
                m_cooldown.recordAnswer();
                m_result.useful += 1;
                m_result.latencyMs
                    += std::chrono::duration<double, std::milli>(now + serviceTime - attempt.arrival).count();
                return;
            }
            ++m_result.refused;
            if (m_usesCooldown)
                m_cooldown.recordRefusal(now, m_target.retryAfter, m_random);
            const auto notBefore
                = m_usesCooldown ? m_cooldown.until() : now + m_target.retryAfter.value_or(Duration {});
            const auto start
                = m_policy.nextStart(now, attempt.attemptsMade, deadline, serviceTime, notBefore, m_random);
            if (start && m_budget.tryRetry(now))
                m_attempts.push({ *start, attempt.arrival, attempt.attemptsMade });
        }

        bool admits(Instant now)
        {
            const auto phase = now.time_since_epoch() % (m_target.up + m_target.down);
            const std::chrono::duration<double> elapsed = now - m_filledAt;
            m_filledAt = now;
            m_tokens
                = std::min(m_target.admittedPerSecond / 10, m_tokens + elapsed.count() * m_target.admittedPerSecond);
            if (phase >= m_target.up || m_tokens < 1)
                return false;
            m_tokens -= 1;
            return true;
        }

        const Target& m_target;
        bool m_usesCooldown;
        RandomEngine m_random;
        RetryBudget m_budget;
        RetryPolicy m_policy;
        Cooldown m_cooldown { BackoffSettings { 20ms, 1s } };
        std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> m_attempts;
        Result m_result;
        double m_tokens { 0 };
        Instant m_filledAt;
    };

} // namespace

void benchCooldown()
{
    std::printf(
        "\nretries against a refusing target: %.0f requests/s, deadline 500 ms, %zu seeds\n", requestsPerSecond, seeds);
    std::printf("%-34s %-14s %8s %10s %10s %10s\n", "target", "way", "useful", "attempts", "refused", "latency ms");
    const Target targets[] = {
        { "refuses 2 s in every 10 s", 8s, 2s, 1000, std::nullopt },
        { "flaps: 0.3 s up, 0.3 s down", 300ms, 300ms, 1000, std::nullopt },
        { "admits 150/s", 1s, 0s, 150, std::nullopt },
        { "admits 50/s", 1s, 0s, 50, std::nullopt },
        { "admits 150/s, Retry-After 100 ms", 1s, 0s, 150, 100ms },
    };
    for (const auto& target : targets) {
        for (const bool usesCooldown : { false, true }) {
            Result sum;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto result = CooldownRun(target, usesCooldown, seed).run();
                sum.useful += result.useful / seeds;
                sum.attempts += result.attempts / seeds;
                sum.refused += result.refused / seeds;
                sum.latencyMs += result.latencyMs / seeds;
            }
            std::printf("%-34s %-14s %8.3f %10.3f %10.3f %10.1f\n", target.name,
                usesCooldown ? "with cool-down" : "budget alone", sum.useful, sum.attempts, sum.refused, sum.latencyMs);
        }
    }
}

} // namespace Auburnpost::Bench
