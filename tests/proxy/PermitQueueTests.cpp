#include "proxy/PermitQueue.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const OrganisationName small("miny420");
const OrganisationName other("lomi221");

} // namespace

// Guards against refusals of an organisation below its limit whose permits are on other hosts.
TEST_CASE("An operation without a permit is admitted as soon as one arrives", "[proxy][allotments]")
{
    PermitQueue queue;
    REQUIRE(queue.add(start, SessionId(1), small, {}));
    REQUIRE(queue.add(start, SessionId(2), other, {}));
    CHECK(queue.takeDecided(start + 40ms, [](const OrganisationName&) { return false; }).empty());
    const auto decided
        = queue.takeDecided(start + 80ms, [](const OrganisationName& organisation) { return organisation == small; });
    REQUIRE(decided.size() == 1);
    CHECK(decided.front().session == SessionId(1));
    CHECK(decided.front().isAdmitted);
    CHECK(queue.size() == 1);
}

// Guards against holding what is refused in the end for longer than a caller's latency target leaves room for.
TEST_CASE("An operation that gets no permit is refused after a short wait", "[proxy][allotments]")
{
    PermitQueue queue;
    REQUIRE(queue.add(start, SessionId(1), small, {}));
    const auto none = [](const OrganisationName&) { return false; };
    CHECK(queue.takeDecided(start + PermitQueue::maxWait - 1ms, none).empty());
    const auto decided = queue.takeDecided(start + PermitQueue::maxWait, none);
    REQUIRE(decided.size() == 1);
    CHECK_FALSE(decided.front().isAdmitted);
}

// Guards against an organisation at several times its limit whose operations all wait before they are refused.
TEST_CASE("Few operations of an organisation wait for permits", "[proxy][allotments]")
{
    PermitQueue queue;
    for (std::uint64_t id = 0; id < PermitQueue::perOrganisation; ++id)
        REQUIRE(queue.add(start, SessionId(id), small, {}));
    CHECK_FALSE(queue.add(start, SessionId(90), small, {}));
    CHECK(queue.add(start, SessionId(91), other, {}));
    queue.remove(SessionId(0));
    CHECK(queue.add(start, SessionId(92), small, {}));
}
