#include "limit/AdmissionQueue.h"
#include "limit/ServiceTimes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace Auburnpost;
using namespace Auburnpost::Limit;

namespace {

AdmissionQueueSettings proxySettings()
{
    AdmissionQueueSettings settings;
    settings.capacity = 2000;
    settings.limitsWaits = false;
    settings.refusesByExpectedWait = true;
    return settings;
}

Ticket ticketOf(std::uint64_t id, std::uint32_t priority, Instant deadline, Instant targetAt = Instant::max())
{
    return { RequestId(id), OrganisationName("district"), static_cast<Priority>(priority), deadline, 10ms, targetAt };
}

std::vector<std::uint64_t> startAll(AdmissionQueue& queue, Instant now)
{
    std::vector<std::uint64_t> ids;
    while (const auto ticket = queue.next(now))
        ids.push_back(ticket->id.value());
    return ids;
}

/// Fills the queue of the default organisation and starts requests at 100 per second for 200 ms.
Instant measureDrainRate(AdmissionQueue& queue, Instant now, std::size_t waiting)
{
    for (std::uint64_t id = 1; id <= waiting + 20; ++id)
        queue.enqueue(now, ticketOf(id, 1, now + 5s));
    for (int started = 0; started < 20; ++started) {
        now += 10ms;
        queue.next(now);
    }
    return now;
}

} // namespace

TEST_CASE("An organisation's requests are started by priority, then by urgency", "[limit][order]")
{
    // Guards against the loss of the order that serves most requests in time under overload.
    AdmissionQueue queue(proxySettings());
    queue.enqueue({}, ticketOf(1, 2, Instant {} + 1s));
    queue.enqueue({}, ticketOf(2, 1, Instant {} + 3s));
    queue.enqueue({}, ticketOf(3, 1, Instant {} + 2s));
    queue.enqueue({}, ticketOf(4, 0, Instant {} + 4s));
    CHECK(startAll(queue, {}) == std::vector<std::uint64_t> { 4, 3, 2, 1 });
}

TEST_CASE("Each lower priority gets starts while the highest always waits", "[limit][order]")
{
    // Guards against the starvation of a kind of request by a flood of a higher priority.
    AdmissionQueue queue(proxySettings());
    for (std::uint64_t id = 1; id <= 100; ++id)
        queue.enqueue({}, ticketOf(id, 0, Instant {} + 2s));
    for (std::uint64_t id = 201; id <= 220; ++id) {
        queue.enqueue({}, ticketOf(id, 1, Instant {} + 2s));
        queue.enqueue({}, ticketOf(id + 100, 2, Instant {} + 2s));
    }
    std::map<Priority, int> started;
    for (int count = 0; count < 60; ++count)
        ++started[queue.next({})->priority];
    CHECK(started[Priority(0)] == 48);
    CHECK(started[Priority(1)] == 6);
    CHECK(started[Priority(2)] == 6);
}

TEST_CASE("A request that can't meet its latency target gives way, and is still started", "[limit][order]")
{
    // Guards against serving everything late: the late request would make the next one late as well.
    AdmissionQueue queue(proxySettings());
    queue.enqueue({}, ticketOf(1, 0, Instant {} + 2s, Instant {} + 100ms));
    queue.enqueue({}, ticketOf(2, 1, Instant {} + 2s, Instant {} + 500ms));
    const Instant now { 150ms };
    CHECK(startAll(queue, now) == std::vector<std::uint64_t> { 2, 1 });
}

TEST_CASE("A request whose predecessors leave it no time is refused at once", "[limit][order]")
{
    // Guards against holding a request up to its deadline and refusing it then.
    AdmissionQueue queue(proxySettings());
    const auto now = measureDrainRate(queue, Instant { 1s }, 50);
    REQUIRE(queue.size() == 50);
    SECTION("the request is refused if 50 requests at 100 per second go before it")
    {
        const auto refusals = queue.enqueue(now, ticketOf(1001, 2, now + 400ms));
        REQUIRE(refusals.size() == 1);
        CHECK(refusals.front().id == RequestId(1001));
        CHECK(refusals.front().reason == RefusalReason::DeadlineUnreachable);
    }
    SECTION("it waits if its deadline leaves enough time")
    {
        CHECK(queue.enqueue(now, ticketOf(1001, 2, now + 700ms)).empty());
    }
    SECTION("it waits if it goes first")
    {
        CHECK(queue.enqueue(now, ticketOf(1001, 0, now + 400ms)).empty());
        CHECK(queue.enqueue(now, ticketOf(1002, 1, now + 400ms)).empty());
    }
    SECTION("another organisation's request goes before most of the waiting ones")
    {
        auto ticket = ticketOf(1001, 2, now + 400ms);
        ticket.organisation = OrganisationName("other");
        CHECK(queue.enqueue(now, ticket).empty());
    }
    SECTION("it waits where the rate of starts is not known any more")
    {
        const auto later = now + DrainRate::maxAge + 1ms;
        CHECK(queue.enqueue(later, ticketOf(1001, 2, later + 400ms)).empty());
    }
}

TEST_CASE("Waiting requests are refused once fewer are started than expected", "[limit][order]")
{
    // Guards against holding requests to their deadline after a loss of capacity.
    AdmissionQueue queue(proxySettings());
    auto now = measureDrainRate(queue, Instant { 1s }, 400);
    CHECK(queue.removeExpired(now).empty());
    std::size_t refused = 0;
    for (int started = 0; started < 20; ++started) {
        now += 40ms;
        queue.next(now);
        refused += queue.removeExpired(now).size();
    }
    // At 25 starts per second about 100 of the 400 can be started in the 4 s that are left.
    CHECK(refused > 200);
    CHECK(queue.size() > 60);
}

TEST_CASE("Requests of a blocked lane don't hold up the others", "[limit][order]")
{
    AdmissionQueue queue(proxySettings());
    queue.enqueue({}, ticketOf(1, 0, Instant {} + 1s));
    auto other = ticketOf(2, 1, Instant {} + 1s);
    other.lane = 2;
    queue.enqueue({}, other);
    CHECK(queue.peek({}, {})->id == RequestId(1));
    CHECK(queue.peek({}, LaneSet(1))->id == RequestId(2));
    queue.start({}, RequestId(2));
    CHECK_FALSE(queue.peek({}, LaneSet(1)));
    CHECK(queue.size() == 1);
}

TEST_CASE("A request or organisation that is passed over keeps its place", "[limit][order]")
{
    AdmissionQueue queue(proxySettings());
    queue.enqueue({}, ticketOf(1, 0, Instant {} + 1s));
    queue.enqueue({}, ticketOf(2, 1, Instant {} + 1s));
    auto other = ticketOf(3, 2, Instant {} + 1s);
    other.organisation = OrganisationName("other");
    queue.enqueue({}, other);

    queue.hold(RequestId(1));
    CHECK(queue.peek({}, {})->id == RequestId(2));
    queue.holdOrganisation(OrganisationName("district"), 0);
    CHECK(queue.peek({}, {})->id == RequestId(3));
    queue.releaseHeld({});
    CHECK(queue.peek({}, {})->id == RequestId(1));

    queue.park(RequestId(1), Instant { 20ms });
    CHECK(queue.peek(Instant { 10ms }, {})->id == RequestId(2));
    CHECK(queue.peek(Instant { 20ms }, {})->id == RequestId(1));

    queue.parkUntilConfirmed(RequestId(1), Instant { 50ms });
    CHECK(queue.latestAwaited(LaneSet().set()) == Instant { 50ms });
    queue.wakeUpTo(Instant { 60ms }, Instant { 40ms });
    CHECK(queue.peek(Instant { 60ms }, {})->id == RequestId(2));
    queue.wakeUpTo(Instant { 60ms }, Instant { 50ms });
    CHECK(queue.peek(Instant { 60ms }, {})->id == RequestId(1));
    CHECK_FALSE(queue.latestAwaited(LaneSet().set()));
}

TEST_CASE("A parked request is refused when its deadline can't be met", "[limit][order]")
{
    AdmissionQueue queue(proxySettings());
    queue.enqueue({}, ticketOf(1, 0, Instant {} + 100ms));
    queue.parkUntilConfirmed(RequestId(1), Instant { 10s });
    CHECK(queue.removeExpired(Instant { 90ms }).empty());
    const auto refusals = queue.removeExpired(Instant { 91ms });
    REQUIRE(refusals.size() == 1);
    CHECK(queue.size() == 0);
}

TEST_CASE("A flood of one organisation costs another no more than its share of the starts", "[limit][fairness]")
{
    // Guards against an organisation at several times its usual rate that takes what others need.
    AdmissionQueue queue(proxySettings());
    for (std::uint64_t id = 1; id <= 100; ++id)
        queue.enqueue({}, ticketOf(id, 0, Instant {} + 2s));
    for (std::uint64_t id = 201; id <= 210; ++id) {
        auto ticket = ticketOf(id, 2, Instant {} + 2s);
        ticket.organisation = OrganisationName("other");
        queue.enqueue({}, ticket);
    }
    std::size_t others = 0;
    for (int count = 0; count < 30; ++count)
        others += queue.next({})->organisation == OrganisationName("other") ? 1 : 0;
    // Its requests are of a lower priority, which delays them by maxUrgentLead of service.
    CHECK(others == 10);
    SECTION("service outside the queue counts")
    {
        for (std::uint64_t id = 301; id <= 310; ++id) {
            auto ticket = ticketOf(id, 0, Instant {} + 2s);
            ticket.organisation = OrganisationName("third");
            queue.enqueue({}, ticket);
        }
        queue.charge(OrganisationName("third"), 1s);
        for (int count = 0; count < 20; ++count)
            CHECK(queue.next({})->organisation == OrganisationName("district"));
    }
}

TEST_CASE("Service times are estimated from recent answers by kind", "[limit][order]")
{
    ServiceTimes<2> times;
    Instant now { 1s };
    CHECK(times.estimate(now, 0) == ServiceTimes<2>::defaultTime);
    CHECK_FALSE(times.age(now, 0));
    for (int answers = 0; answers < 50; ++answers)
        times.record(now += 10ms, 0, answers % 2 ? 18ms : 22ms);
    CHECK(times.estimate(now, 0) > 19ms);
    CHECK(times.estimate(now, 0) < 21ms);
    CHECK(times.estimate(now, 1) == ServiceTimes<2>::defaultTime);
    CHECK(times.age(now + 3s, 0) == 3s);
    CHECK(times.estimate(now + 11s, 0) == ServiceTimes<2>::defaultTime);
    times.record(now + 11s, 0, 50ms);
    CHECK(times.estimate(now + 11s, 0) == 50ms);
}

TEST_CASE("Each queued request ends once, whatever is passed over meanwhile", "[limit][property]")
{
    // Guards against requests that are lost or started twice as they move between the parts of the queue.
    CHECK(rc::check([] {
        auto settings = proxySettings();
        settings.capacity = 30;
        AdmissionQueue queue(settings);
        Instant now { 1s };
        std::set<std::uint64_t> open;
        const auto end = [&](RequestId id) { RC_ASSERT(open.erase(id.value()) == std::size_t(1)); };
        std::uint64_t lastId = 0;
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(400, rc::gen::inRange(0U, 10000U));
        for (const auto step : steps) {
            now += Duration(step % 7 * 1000);
            Ticket ticket { RequestId(++lastId), OrganisationName(step % 3 ? "a" : "b"),
                static_cast<Priority>(step / 3 % 3), now + Duration(step * 50), 5ms, now + Duration(step % 1000 * 100),
                static_cast<Lane>(step % laneCount) };
            open.insert(lastId);
            for (const auto& refusal : queue.enqueue(now, ticket))
                end(refusal.id);
            LaneSet blocked(step / 11 % 8);
            for (std::uint32_t count = 0; count < step / 5 % 4; ++count) {
                const auto first = queue.peek(now, blocked);
                if (!first)
                    break;
                RC_ASSERT(!blocked.test(first->lane));
                switch ((step + count) % 6) {
                case 0:
                    queue.hold(first->id);
                    break;
                case 1:
                    queue.park(first->id, now + 3ms);
                    break;
                case 2:
                    queue.parkUntilConfirmed(first->id, now + 20ms);
                    break;
                case 3:
                    queue.holdOrganisation(first->organisation, first->lane);
                    break;
                default:
                    queue.start(now, first->id);
                    end(first->id);
                }
            }
            queue.releaseHeld(now);
            queue.wakeUpTo(now, now);
            for (const auto& refusal : queue.removeExpired(now))
                end(refusal.id);
            RC_ASSERT(queue.size() == open.size());
        }
        queue.wakeUpTo(now, Instant::max());
        for (now += 3ms; const auto ticket = queue.next(now);)
            end(ticket->id);
        for (const auto& refusal : queue.removeExpired(now))
            end(refusal.id);
        RC_ASSERT(open.empty());
    }));
}
