#include "proxy/FakeStore.h"

#include <catch2/catch.hpp>

#include <array>
#include <iostream>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

struct Bounds {
    const char* name;
    TimeBounds bounds;
};

const std::array deployments {
    Bounds { "A", { 4s, 5s, 7s } },
    Bounds { "B", { 6s, 6s, 10s } },
    Bounds { "C", { 8s, 8s, 10s } },
};

struct Worst {
    /// Time by which a change was applied later than the bounds demand.
    Duration late {};
    /// Largest age of the copy from the end of the outage on.
    Duration age {};
};

/// Plays outages of several lengths that start at each phase of a poll, each followed by the failures.
Worst playOutages(const TimeBounds& bounds, const std::vector<SeriesFailure>& series)
{
    Worst worst;
    for (const Duration length : { 10ms, 700ms, 1900ms, 3100ms, 5700ms, 9300ms }) {
        for (Duration phase {}; phase < 5s; phase += 330ms) {
            const auto start = Instant(20s) + phase;
            FakeStore store({ start, start + length }, 300ms, 25ms);
            store.failAfterOutage(series);
            StoreContact contact;
            StoreFollower follower(StoreTable::Configuration, TableTimes::forConfiguration(bounds), contact, store);
            StoreFollower targets(StoreTable::Targets, TableTimes::forTargets(bounds), contact, store);
            store.alsoFollow(targets);
            worst.late = std::max(worst.late, store.run(follower, start + length + 20s, bounds));
            worst.age = std::max(worst.age, store.largestAge());
        }
    }
    return worst;
}

std::vector<std::vector<SeriesFailure>> seriesOf(std::size_t length)
{
    std::vector<std::vector<SeriesFailure>> all { {} };
    for (std::size_t count = 0; count < length; ++count) {
        std::vector<std::vector<SeriesFailure>> longer;
        for (const auto& series : all) {
            for (const auto failure :
                { SeriesFailure::NoAnswer, SeriesFailure::Refused, SeriesFailure::RejectedRead }) {
                longer.push_back(series);
                longer.back().push_back(failure);
            }
        }
        all = std::move(longer);
    }
    return all;
}

/// @return the worst of all series of this many failures. Prints its age.
Worst worstOf(const Bounds& deployment, std::size_t failures)
{
    Worst worst;
    for (const auto& series : seriesOf(failures)) {
        const auto played = playOutages(deployment.bounds, series);
        worst = { std::max(worst.late, played.late), std::max(worst.age, played.age) };
    }
    std::cout << "bounds " << deployment.name << ", " << failures << " failed calls after the outage: largest age "
              << toMilliseconds(worst.age) << " of " << toMilliseconds(deployment.bounds.configuration) << " ms\n";
    return worst;
}

} // namespace

TEST_CASE("A change is applied in time when calls fail in series after an outage of the store", "[proxy][store]")
{
    const auto& deployment = GENERATE(from_range(deployments));
    const auto failures = GENERATE(std::size_t { 0 }, std::size_t { 1 }, std::size_t { 2 });
    INFO("bounds " << deployment.name << ", " << failures << " failed calls");
    const auto worst = worstOf(deployment, failures);
    CHECK(toMilliseconds(worst.late) == 0);
    // Whatever fails besides has to fit into the rest of the bound.
    constexpr double largestShare = 0.6;
    CHECK(worst.age <= deployment.bounds.configuration * largestShare);
}
