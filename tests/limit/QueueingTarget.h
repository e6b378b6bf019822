#pragma once

#include "base/Random.h"
#include "limit/AdmissionQueue.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Auburnpost::LimitTest {

using namespace std::chrono_literals;

/// Arrival process of one organisation's requests.
struct Load {
    std::string organisation;
    double perSecond { 0 };
    Limit::Priority priority { Limit::Priority::Browsing };
    Duration timeout { 500ms };
};

struct Outcome {
    std::size_t arrived { 0 };
    /// Number of requests answered before their deadline.
    std::size_t useful { 0 };
    std::size_t late { 0 };
    std::size_t refused { 0 };
    Duration latencySum {};

    [[nodiscard]] double usefulShare() const { return static_cast<double>(useful) / static_cast<double>(arrived); }
    [[nodiscard]] Duration meanLatency() const
    {
        return latencySum / static_cast<Duration::rep>(std::max<std::size_t>(1, useful + late));
    }
};

struct QueueingResult {
    /// Outcomes by organisation and priority.
    std::map<std::string, std::map<Limit::Priority, Outcome>> outcomes;

    [[nodiscard]] Outcome total(const std::string& organisation = "") const
    {
        Outcome sum;
        for (const auto& [name, byPriority] : outcomes) {
            for (const auto& item : byPriority) {
                if (!organisation.empty() && name != organisation)
                    continue;
                sum.arrived += item.second.arrived;
                sum.useful += item.second.useful;
                sum.late += item.second.late;
                sum.refused += item.second.refused;
                sum.latencySum += item.second.latencySum;
            }
        }
        return sum;
    }
};

/// Simulates a target with a number of slots behind an admission queue, with open-loop arrivals in simulated time.
class QueueingTarget {
public:
    QueueingTarget(std::size_t slots, Duration service, std::uint64_t seed)
        : m_slots(slots, Instant {})
        , m_service(service)
        , m_random(seed)
    {
    }

    QueueingResult run(Limit::AdmissionQueue& queue, const std::vector<Load>& loads, Duration length)
    {
        std::vector<Instant> nextArrival;
        nextArrival.reserve(loads.size());
        for (const auto& load : loads)
            nextArrival.push_back(Instant {} + interarrivalTime(load));
        constexpr Duration step = 1ms;
        for (Instant now {}; now < Instant {} + length; now += step) {
            for (std::size_t index = 0; index < loads.size(); ++index) {
                for (; nextArrival[index] <= now; nextArrival[index] += interarrivalTime(loads[index]))
                    arrive(queue, loads[index], now);
            }
            for (auto& slot : m_slots) {
                while (slot <= now && start(queue, slot, now)) { }
            }
            refuse(queue.removeExpired(now));
        }
        return m_result;
    }

private:
    struct Arrival {
        Outcome* outcome { nullptr };
        Instant at;
    };

    Duration interarrivalTime(const Load& load)
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::exponential_distribution<double>(load.perSecond)(m_random)));
    }

    void arrive(Limit::AdmissionQueue& queue, const Load& load, Instant now)
    {
        auto& outcome = m_result.outcomes[load.organisation][load.priority];
        ++outcome.arrived;
        const RequestId id(++m_lastId);
        m_waiting[id] = { &outcome, now };
        refuse(queue.enqueue(
            now, { id, OrganisationName(load.organisation), load.priority, now + load.timeout, m_service }));
    }

    bool start(Limit::AdmissionQueue& queue, Instant& slot, Instant now)
    {
        const auto ticket = queue.next(now);
        if (!ticket)
            return false;
        std::uniform_int_distribution<Duration::rep> service(m_service.count() / 2, m_service.count() * 3 / 2);
        slot = now + Duration(service(m_random));
        const auto arrival = m_waiting.extract(ticket->id).mapped();
        ++(slot <= ticket->deadline ? arrival.outcome->useful : arrival.outcome->late);
        arrival.outcome->latencySum += slot - arrival.at;
        return true;
    }

    void refuse(const std::vector<Limit::AdmissionRefusal>& refusals)
    {
        for (const auto& refusal : refusals)
            ++m_waiting.extract(refusal.id).mapped().outcome->refused;
    }

    std::vector<Instant> m_slots;
    Duration m_service;
    RandomEngine m_random;
    std::uint64_t m_lastId { 0 };
    std::map<RequestId, Arrival> m_waiting;
    QueueingResult m_result;
};

} // namespace Auburnpost::LimitTest
