#include "proxy/FakeStore.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Duration propagation = 4000ms;
constexpr Duration recovery = 5000ms;

/// @return the maximum delay of an edit beyond the bounds, over the moments at which the outage may start.
Duration maxDelay(Duration outageLength, Duration editInterval)
{
    Duration result {};
    for (Duration phase {}; phase < 6s; phase += 500ms) {
        const auto start = Instant(10s) + phase;
        FakeStore store({ start, start + outageLength }, editInterval);
        StoreFollower follower(StoreTable::Configuration, store);
        result = std::max(result, store.run(follower, start + outageLength + 15s, propagation, recovery));
    }
    return result;
}

} // namespace

TEST_CASE("A change is applied in time after an outage of the store of any length", "[proxy][store]")
{
    const auto editInterval = GENERATE(Duration(700ms), Duration(3300ms));
    for (Duration length {}; length <= 13s; length += 100ms) {
        INFO("outage of " << toMilliseconds(length) << " ms, an edit each " << toMilliseconds(editInterval) << " ms");
        CHECK(toMilliseconds(maxDelay(length, editInterval)) == 0);
    }
}
