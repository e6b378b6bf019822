#include "base/Random.h"
#include "limit/AdmissionQueue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <string>

using namespace Auburnpost;
using namespace Auburnpost::Limit;

namespace {

/// A kind of request of the deployment, scaled to one host's share of a group.
struct Kind {
    std::string name;
    double perSecond { 0 };
    Duration service {};
    Duration target {};
    Duration limit {};
    std::uint32_t priority { 0 };
};

/// What callers of one kind or organisation got.
struct Outcome {
    std::size_t arrived { 0 };
    std::size_t onTime { 0 };
    std::size_t late { 0 };
    std::size_t refusedAtOnce { 0 };
    /// Refused after a wait of more than a quarter of the latency target.
    std::size_t heldAndRefused { 0 };
    std::size_t refused { 0 };

    [[nodiscard]] double onTimeShare() const { return static_cast<double>(onTime) / static_cast<double>(arrived); }
    [[nodiscard]] double heldShare() const
    {
        return static_cast<double>(heldAndRefused) / static_cast<double>(arrived);
    }
};

/// Arrivals of a heavy day: a burst, one organisation at many times its usual rate, and a loss of capacity.
struct Day {
    double burst { 1 };
    double floodFactor { 1 };
    double capacityShare { 1 };
    bool hasOrganisations { true };
    /// Share of the requests of each kind that one key makes; they are of one organisation.
    double hotShare { 0 };
};

class HeavyDay {
public:
    static constexpr std::size_t slots = 12;
    static constexpr std::size_t organisations = 20;

    explicit HeavyDay(Day day)
        : m_day(day)
    {
        AdmissionQueueSettings settings;
        settings.capacity = 2000;
        settings.lowerPriorityEvery = 10;
        settings.limitsWaits = false;
        settings.refusesByExpectedWait = true;
        m_queue = AdmissionQueue(settings);
    }

    void run(Duration length)
    {
        std::vector<Instant> busyUntil(slots);
        for (Instant now { 1s }; now < Instant { 1s } + length; now += 1ms) {
            const bool isHeavy = now >= Instant { 4s } && now < Instant { 4s } + length / 2;
            for (const auto& kind : kinds)
                arrive(now, kind, isHeavy);
            const auto usable = isHeavy ? static_cast<std::size_t>(slots * m_day.capacityShare) : slots;
            for (std::size_t slot = 0; slot < usable; ++slot) {
                if (busyUntil[slot] > now)
                    continue;
                const auto ticket = m_queue.next(now);
                if (!ticket)
                    break;
                busyUntil[slot] = now + serve(now, *ticket);
            }
            for (const auto& refusal : m_queue.removeExpired(now))
                refuse(now, refusal.id);
        }
    }

    /// 12 slots serve about 900 of these per second; the kinds together ask for 70 % of that.
    const std::vector<Kind> kinds { { "tariff-post", 40, 5ms, 500ms, 800ms, 0 },
        { "dash-read", 100, 22ms, 800ms, 1500ms, 2 }, { "crew-sync", 300, 14ms, 600ms, 800ms, 1 },
        { "payslip-views", 80, 23ms, 1000ms, 1500ms, 2 } };
    std::map<std::string, Outcome> byKind;
    /// Requests of the organisation that floods, and of all others.
    Outcome flooding;
    Outcome others;

private:
    struct Request {
        const Kind* kind { nullptr };
        std::size_t organisation { 0 };
        Instant arrivedAt;
    };

    void arrive(Instant now, const Kind& kind, bool isHeavy)
    {
        const double usual = kind.perSecond / organisations;
        for (std::size_t organisation = 0; organisation < organisations; ++organisation) {
            double rate = usual;
            if (isHeavy)
                rate *= m_day.burst * (organisation == 0 ? m_day.floodFactor : 1);
            if (isHeavy && organisation == 0)
                rate += kind.perSecond * m_day.hotShare;
            const auto count = std::poisson_distribution<int>(rate / 1000)(m_random);
            for (int each = 0; each < count; ++each)
                add(now, kind, organisation);
        }
    }

    void add(Instant now, const Kind& kind, std::size_t organisation)
    {
        const RequestId id(++m_lastId);
        m_requests[id] = { &kind, organisation, now };
        forEach(m_requests[id], [](Outcome& outcome) { ++outcome.arrived; });
        Ticket ticket { id, OrganisationName(m_day.hasOrganisations ? "o" + std::to_string(organisation) : ""),
            static_cast<Priority>(kind.priority), now + kind.limit, kind.service, now + kind.target };
        for (const auto& refusal : m_queue.enqueue(now, ticket))
            refuse(now, refusal.id);
    }

    Duration serve(Instant now, const Ticket& ticket)
    {
        const auto request = m_requests.extract(ticket.id).mapped();
        std::uniform_int_distribution<Duration::rep> spread(ticket.cost.count() / 2, ticket.cost.count() * 3 / 2);
        const Duration service(spread(m_random));
        const bool isOnTime = now + service <= request.arrivedAt + request.kind->target;
        forEach(request, [isOnTime](Outcome& outcome) { ++(isOnTime ? outcome.onTime : outcome.late); });
        return service;
    }

    void refuse(Instant now, RequestId id)
    {
        const auto request = m_requests.extract(id).mapped();
        const auto held = now - request.arrivedAt;
        constexpr int heldDivisor = 4;
        const bool isHeld = held > request.kind->target / heldDivisor;
        forEach(request, [&](Outcome& outcome) {
            ++outcome.refused;
            outcome.refusedAtOnce += held < 1ms ? 1 : 0;
            outcome.heldAndRefused += isHeld ? 1 : 0;
        });
    }

    template <typename Change> void forEach(const Request& request, const Change& change)
    {
        change(byKind[request.kind->name]);
        change(request.organisation == 0 ? flooding : others);
    }

    Day m_day;
    AdmissionQueue m_queue;
    RandomEngine m_random { 11 };
    std::uint64_t m_lastId { 0 };
    std::map<RequestId, Request> m_requests;
};

void print(const std::string& day, const std::string& name, const Outcome& outcome)
{
    std::cout << day << " " << name << ": arrived " << outcome.arrived << ", on time " << outcome.onTime << ", late "
              << outcome.late << ", refused at once " << outcome.refusedAtOnce << ", refused later "
              << outcome.refused - outcome.refusedAtOnce << ", of these held " << outcome.heldAndRefused << "\n";
}

HeavyDay runDay(const std::string& name, const Day& day)
{
    HeavyDay result(day);
    result.run(20s);
    for (const auto& [kind, outcome] : result.byKind)
        print(name, kind, outcome);
    print(name, "organisation above its usual rate", result.flooding);
    print(name, "other organisations", result.others);
    return result;
}

} // namespace

TEST_CASE("A calm day is served on time", "[limit][load]")
{
    const auto day = runDay("calm", {});
    for (const auto& [kind, outcome] : day.byKind)
        CHECK(outcome.onTimeShare() > 0.999);
}

TEST_CASE("An organisation at 7.5 times its usual rate costs the others little", "[limit][load]")
{
    // Guards against a queue in which the flood's requests are ahead of everyone's.
    const auto day = runDay("flood", { 1.3, 7.5 });
    CHECK(day.others.onTimeShare() > 0.98);
}

TEST_CASE("A key with 28 % of each kind costs the other organisations little", "[limit][load]")
{
    const auto day = runDay("hot key", { 1.3, 1, 1, true, 0.28 });
    CHECK(day.others.onTimeShare() > 0.98);
}

TEST_CASE("A burst on two thirds of the capacity starves no kind and holds few requests in vain", "[limit][load]")
{
    // Guards against requests that wait and are refused at their deadline, and against a kind that gets nothing.
    for (const bool hasOrganisations : { true, false }) {
        const auto day
            = runDay(hasOrganisations ? "burst" : "burst, no organisations", { 2.1, 1, 2.0 / 3, hasOrganisations });
        for (const auto& [kind, outcome] : day.byKind) {
            INFO(kind);
            CHECK(outcome.onTimeShare() > 0.1);
        }
        CHECK(day.byKind.at("tariff-post").onTimeShare() > 0.95);
        CHECK(day.others.heldShare() < 0.1);
    }
}
