#pragma once

#include "base/Random.h"
#include "group/EventQueue.h"

#include <map>
#include <set>
#include <string>

namespace Auburnpost::Group {

/// Simulated network between named nodes, with delay, loss, reordering, duplication, cuts and freezes.
class FakeNetwork {
public:
    FakeNetwork(EventQueue& queue, RandomEngine& random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    /// Probabilities, from 0 to 1, of faults of single messages.
    double lossProbability { 0 };
    double duplicateProbability { 0 };
    double lateProbability { 0 };
    /// Additional delay of each message to or from a node.
    std::map<std::string, Duration> extraDelay;

    /// @return whether the message will arrive at least once.
    bool send(const std::string& from, const std::string& to, const EventQueue::Task& task)
    {
        if (m_cuts.contains({ from, to }) || chance(lossProbability))
            return false;
        deliver(from, to, task);
        if (chance(duplicateProbability))
            deliver(from, to, task);
        return true;
    }

    void cut(const std::string& from, const std::string& to) { m_cuts.insert({ from, to }); }
    void heal() { m_cuts.clear(); }
    void freeze(const std::string& node, Instant until) { m_frozenUntil[node] = until; }
    [[nodiscard]] bool isFrozen(const std::string& node) const
    {
        const auto found = m_frozenUntil.find(node);
        return found != m_frozenUntil.end() && found->second > m_queue.now();
    }

    bool chance(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    Duration between(Duration low, Duration high)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
    }

private:
    void deliver(const std::string& from, const std::string& to, const EventQueue::Task& task)
    {
        using namespace std::chrono_literals;
        auto delay = between(500us, 1500us) + extraDelay[from] + extraDelay[to];
        if (chance(lateProbability))
            delay += between(5ms, 800ms);
        m_queue.after(delay, [this, to, task] { arrive(to, task); });
    }

    void arrive(const std::string& to, const EventQueue::Task& task)
    {
        const auto found = m_frozenUntil.find(to);
        if (found == m_frozenUntil.end() || found->second <= m_queue.now()) {
            task();
            return;
        }
        m_queue.after(found->second - m_queue.now(), [this, to, task] { arrive(to, task); });
    }

    EventQueue& m_queue;
    RandomEngine& m_random;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::string, Instant> m_frozenUntil;
};

} // namespace Auburnpost::Group
