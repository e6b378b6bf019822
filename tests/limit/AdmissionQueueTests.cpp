#include "limit/QueueingTarget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace Auburnpost;
using namespace Auburnpost::Limit;
using namespace Auburnpost::LimitTest;

namespace {

// 3 slots of 10 ms each: 300 requests a second.
constexpr std::size_t slots = 3;
constexpr Duration service = 10ms;
constexpr double capacityPerSecond = 300;
constexpr Duration runLength = 20s;

QueueingResult runLoads(const std::vector<Load>& loads)
{
    AdmissionQueue queue;
    return QueueingTarget(slots, service, 7).run(queue, loads, runLength);
}

Ticket ticketOf(std::uint64_t id, const char* organisation, Priority priority, Instant deadline)
{
    return { RequestId(id), OrganisationName(organisation), priority, deadline, service };
}

} // namespace

TEST_CASE("Under overload the number of answers in time stays within a tenth of the peak", "[limit][overload]")
{
    const auto peak = runLoads({ { "ranwala", capacityPerSecond } }).total().useful;
    CHECK(static_cast<double>(peak) > 0.9 * capacityPerSecond * 20);
    for (const double factor : { 2.0, 5.0 }) {
        const auto outcome = runLoads({ { "ranwala", factor * capacityPerSecond } }).total();
        CHECK(static_cast<double>(outcome.useful) >= 0.9 * static_cast<double>(peak));
        CHECK(outcome.meanLatency() <= 300ms);
    }
}

TEST_CASE("Requests with a short timeout are answered in time or not started", "[limit][overload]")
{
    const auto outcome = runLoads({ { "ranwala", 5 * capacityPerSecond, Priority::Urgent, 60ms } }).total();
    CHECK(static_cast<double>(outcome.useful) >= 0.8 * capacityPerSecond * 20);
}

TEST_CASE("A flood from one organisation leaves the others near their unloaded latency", "[limit][fairness]")
{
    std::vector<Load> light;
    light.reserve(9);
    for (int organisation = 0; organisation < 9; ++organisation)
        light.push_back({ "district-" + std::to_string(organisation), 15 });
    const auto unloaded = runLoads(light);
    for (const auto priority : { Priority::Browsing, Priority::Urgent }) {
        auto flooded = light;
        flooded.push_back({ "flood", 10 * capacityPerSecond, priority });
        const auto result = runLoads(flooded);
        for (const auto& load : light) {
            const auto outcome = result.total(load.organisation);
            CHECK(outcome.usefulShare() >= 0.99);
            CHECK(outcome.meanLatency() <= unloaded.total(load.organisation).meanLatency() + 5 * service);
        }
    }
}

TEST_CASE("Organisations that all exceed their share get equal shares within a tenth", "[limit][fairness]")
{
    std::vector<Load> loads { { "flood", 10 * capacityPerSecond, Priority::Urgent } };
    for (int organisation = 0; organisation < 4; ++organisation)
        loads.push_back({ "district-" + std::to_string(organisation), capacityPerSecond });
    const auto result = runLoads(loads);
    const auto fair = static_cast<double>(result.total().useful) / 5;
    for (const auto& load : loads)
        CHECK(static_cast<double>(result.total(load.organisation).useful) == Approx(fair).epsilon(0.1));
}

TEST_CASE("Urgent requests go before browsing requests without starving them", "[limit][priority]")
{
    const auto result = runLoads({ { "ranwala", 5 * capacityPerSecond },
        { "ranwala", 0.5 * capacityPerSecond, Priority::Urgent }, { "other", 0.2 * capacityPerSecond } });
    const auto& ranwala = result.outcomes.at("ranwala");
    CHECK(ranwala.at(Priority::Urgent).usefulShare() >= 0.95);
    CHECK(ranwala.at(Priority::Browsing).useful > 300);
    CHECK(result.total("other").usefulShare() >= 0.99);

    const auto urgentFlood
        = runLoads({ { "ranwala", 0.5 * capacityPerSecond }, { "ranwala", 5 * capacityPerSecond, Priority::Urgent } });
    CHECK(urgentFlood.outcomes.at("ranwala").at(Priority::Browsing).useful > 500);
}

TEST_CASE("An urgent request goes before a waiting browsing request of another organisation", "[limit][priority]")
{
    AdmissionQueue queue;
    const auto deadline = Instant {} + 1s;
    queue.enqueue({}, ticketOf(1, "first", Priority::Browsing, deadline));
    queue.enqueue({}, ticketOf(2, "second", Priority::Urgent, deadline));
    CHECK(queue.next({})->id == RequestId(2));
    CHECK(queue.next({})->id == RequestId(1));
    CHECK_FALSE(queue.next({}));
}

TEST_CASE("An idle organisation accumulates no credit of service time", "[limit][fairness]")
{
    AdmissionQueue queue;
    const auto deadline = Instant {} + 1s;
    for (std::uint64_t id = 1; id <= 50; ++id) {
        queue.enqueue({}, ticketOf(id, "steady", Priority::Browsing, deadline));
        REQUIRE(queue.next({}));
    }
    for (std::uint64_t id = 101; id <= 120; ++id) {
        queue.enqueue({}, ticketOf(id, "late", Priority::Browsing, deadline));
        queue.enqueue({}, ticketOf(id + 100, "steady", Priority::Browsing, deadline));
    }
    std::size_t late = 0;
    for (int pick = 0; pick < 20; ++pick)
        late += queue.next({})->organisation == OrganisationName("late") ? 1 : 0;
    CHECK(late >= 9);
    CHECK(late <= 11);
}

TEST_CASE("A full queue makes room for the organisation with fewer waiting requests", "[limit][fairness]")
{
    AdmissionQueueSettings settings;
    settings.capacity = 4;
    AdmissionQueue queue(settings);
    const auto deadline = Instant {} + 1s;
    for (std::uint64_t id = 1; id <= 4; ++id)
        CHECK(queue.enqueue({}, ticketOf(id, "flood", Priority::Browsing, deadline)).empty());
    const auto refusals = queue.enqueue({}, ticketOf(5, "district", Priority::Browsing, deadline));
    REQUIRE(refusals.size() == 1);
    CHECK(refusals.front().id == RequestId(4));
    CHECK(refusals.front().code() == ErrorCode::Overloaded);
    CHECK(refusals.front().retryAfter >= 100ms);
    const auto own = queue.enqueue({}, ticketOf(6, "flood", Priority::Browsing, deadline));
    CHECK(own.front().id == RequestId(6));
    CHECK(queue.size() == 4);
}

TEST_CASE("Each request is started once or refused once, and never started too late", "[limit][property]")
{
    CHECK(rc::check([] {
        AdmissionQueueSettings settings;
        settings.capacity = 16;
        AdmissionQueue queue(settings);
        Instant now;
        std::set<std::uint64_t> open;
        const auto endRequest = [&](RequestId id) { RC_ASSERT(open.erase(id.value()) == std::size_t(1)); };
        const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 60));
        std::uint64_t lastId = 0;
        for (const auto step : steps) {
            now += Duration(step * 1000);
            open.insert(++lastId);
            const auto* const organisation = step % 3 ? "flood" : "district";
            const auto priority = step % 4 ? Priority::Browsing : Priority::Urgent;
            for (const auto& refusal :
                queue.enqueue(now, ticketOf(lastId, organisation, priority, now + Duration(step * 5000))))
                endRequest(refusal.id);
            if (step % 5 == 0) {
                if (const auto ticket = queue.next(now)) {
                    RC_ASSERT(now + ticket->cost <= ticket->deadline);
                    endRequest(ticket->id);
                }
            }
            for (const auto& refusal : queue.removeExpired(now))
                endRequest(refusal.id);
            RC_ASSERT(queue.size() == open.size());
            RC_ASSERT(queue.size() <= settings.capacity);
        }
    }));
}
