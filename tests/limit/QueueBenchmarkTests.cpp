#include "limit/AdmissionQueue.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>

using namespace Auburnpost;
using namespace Auburnpost::Limit;

namespace {

using Steady = std::chrono::steady_clock;

/// The order and the use of the queue that AdmissionQueue replaced in the proxy: a copy of the whole queue for each
/// event, and an attempt to dispatch each statement.
class CopiedQueue {
public:
    void add(const Ticket& ticket)
    {
        m_waiting.emplace(Position { ticket.priority, ticket.deadline, ticket.id }, ticket);
    }
    void startUpTo(std::size_t room)
    {
        std::vector<std::pair<Position, Ticket>> copy(m_waiting.begin(), m_waiting.end());
        for (const auto& [position, ticket] : copy) {
            if (!room)
                continue;
            m_waiting.erase(position);
            --room;
        }
    }

private:
    struct Position {
        Priority priority;
        Instant deadline;
        RequestId id;

        auto operator<=>(const Position&) const = default;
    };

    std::map<Position, Ticket> m_waiting;
};

Ticket ticketOf(std::uint64_t id, Instant now)
{
    return { RequestId(id), OrganisationName("o" + std::to_string(id % 86)), static_cast<Priority>(id % 3),
        now + 60s + Duration(id), 10ms, now + 50s + Duration(id), static_cast<Lane>(id % laneCount) };
}

/// @return microseconds for each event: one statement arrives, and one of the waiting ones is dispatched.
template <typename Event> double measureEvents(int events, const Event& event)
{
    const auto start = Steady::now();
    for (int count = 0; count < events; ++count)
        event();
    return std::chrono::duration<double, std::micro>(Steady::now() - start).count() / events;
}

} // namespace

TEST_CASE("Time of an event with 100, 2,000 and 20,000 waiting statements", "[.benchmark]")
{
    // Guards against a cost of each event that grows with the queue.
    const Instant now { 1s };
    std::cout << "waiting  copied queue us/event  admission queue us/event\n";
    std::map<std::size_t, double> after;
    for (const std::size_t waiting : { std::size_t(100), std::size_t(2000), std::size_t(20000) }) {
        AdmissionQueueSettings settings;
        settings.capacity = 2 * waiting;
        settings.limitsWaits = false;
        settings.refusesByExpectedWait = true;
        AdmissionQueue queue(settings);
        CopiedQueue copied;
        std::uint64_t lastId = 0;
        for (std::size_t count = 0; count < waiting; ++count) {
            const auto ticket = ticketOf(++lastId, now);
            queue.enqueue(now, ticket);
            copied.add(ticket);
        }
        constexpr int copiedEvents = 200;
        constexpr int events = 20000;
        const auto before = measureEvents(copiedEvents, [&] {
            copied.add(ticketOf(++lastId, now));
            copied.startUpTo(1);
        });
        after[waiting] = measureEvents(events, [&] {
            queue.enqueue(now, ticketOf(++lastId, now));
            const auto first = queue.peek(now, {});
            queue.start(now, first->id);
            // The next one finds no room.
            CHECK_FALSE(queue.peek(now, LaneSet().set()));
        });
        std::cout << waiting << "  " << before << "  " << after[waiting] << "\n";
        CHECK(after[waiting] < before);
    }
    CHECK(after[20000] < 10 * after[100]);
}
