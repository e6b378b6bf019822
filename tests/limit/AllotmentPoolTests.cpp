#include "limit/AllotmentPool.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Limit;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const AllotmentId organisation { 5 };
/// Without excess a pool with all shares creates 10 permits in a second and holds at most 20.
const AllotmentRules rules { 5s, 0, 0 };
const AllotmentLimit limit { 10, 20 };

ClockStamp stampAt(Instant time)
{
    return ClockStamp(static_cast<std::uint64_t>(time.time_since_epoch().count()));
}

AllotmentRequest makeRequest(std::uint64_t number, Instant stamp, std::uint32_t shareDivisor = 0)
{
    return { HostName("host"), HostStart(2), RequestNumber(number), HostStart(1), stampAt(stamp), shareDivisor, 1, {} };
}

struct Fixture {
    Fixture() { pool.setLimits(start, { { organisation, limit } }); }

    AllotmentGrant claim(Instant now, std::uint64_t number, const AllotmentClaim& claim)
    {
        const auto request = makeRequest(number, start);
        REQUIRE(pool.acceptRequest(now, request));
        return pool.claim(now, request, claim);
    }

    AllotmentPool pool { start, rules };
};

} // namespace

// A lease that is counted from its receipt lasts longer than the lender waits if its datagram was late.
TEST_CASE("A lease is counted from the stamp that it echoes", "[limit][allotments]")
{
    Fixture fixture;
    CHECK(fixture.pool.acceptRequest(start + 1500ms, makeRequest(1, start, 2)));
    CHECK(fixture.pool.share() == 0.5);
    fixture.pool.expire(start + 1850ms);
    CHECK(fixture.pool.share() == 0.5);
    // Permits granted up to here expire 1.3 s later, before the lender uses its share again after 3.2 s.
    fixture.pool.expire(start + 1900ms);
    CHECK(fixture.pool.share() == 0);
    CHECK(fixture.pool.acceptRequest(start + 4s, makeRequest(2, start, 2)));
    CHECK(fixture.pool.share() == 0);
    CHECK(fixture.pool.acceptRequest(start + 4s, makeRequest(3, start + 100s, 2)));
    CHECK(fixture.pool.share() == 0);
}

// A share that starts with permits yields them again for each host that it passes to.
TEST_CASE("A share starts without permits and its permits go with it", "[limit][allotments]")
{
    Fixture fixture;
    fixture.pool.setOwnShare(start, 1);
    CHECK_FALSE(fixture.pool.use(start, organisation));
    fixture.pool.expire(start + 5s);
    CHECK(fixture.pool.available(organisation) == Approx(20));
    fixture.pool.setOwnShare(start + 5s, 0.25);
    CHECK(fixture.pool.available(organisation) == Approx(5));
    fixture.pool.setOwnShare(start + 5s, 0);
    CHECK_FALSE(fixture.pool.use(start + 5s, organisation));
}

// Permits that exist twice, here and at the host, are used twice in one window.
TEST_CASE("Granted permits count against the capacity until they are used or expire", "[limit][allotments]")
{
    Fixture fixture;
    fixture.pool.setOwnShare(start, 1);
    fixture.pool.expire(start + 5s);
    CHECK(fixture.claim(start + 5s, 1, { organisation, 0, 0, 15 }).total == 15);
    CHECK(fixture.pool.hasGrants());
    fixture.pool.expire(start + 6s);
    CHECK(fixture.pool.available(organisation) == Approx(5));
    SECTION("reported as used")
    {
        CHECK(fixture.claim(start + 6s, 2, { organisation, 5, 10, 0 }).total == 0);
        // The host may use the 5 that it reported until it learns that they were taken back.
        fixture.pool.expire(start + 7s);
        CHECK(fixture.pool.available(organisation) == Approx(15));
    }
    SECTION("never heard of again")
    {
        fixture.pool.expire(start + 5s + 1290ms);
        CHECK(fixture.pool.available(organisation) == Approx(5));
        fixture.pool.expire(start + 5s + 1310ms);
        CHECK_FALSE(fixture.pool.hasGrants());
        CHECK(fixture.pool.available(organisation) < 6);
    }
}

// A lost reply would otherwise cost its permits.
TEST_CASE("Permits of a lost reply are available again with the next request", "[limit][allotments]")
{
    Fixture fixture;
    fixture.pool.setOwnShare(start, 1);
    fixture.pool.expire(start + 5s);
    CHECK(fixture.claim(start + 5s, 1, { organisation, 0, 0, 15 }).total == 15);
    CHECK(fixture.claim(start + 5s, 2, { organisation, 0, 0, 15 }).total == 15);
    CHECK(fixture.pool.available(organisation) == Approx(5));
}

// A request that arrives after a later one reports permits that the host no longer has.
TEST_CASE("Doubled and overtaken requests are not accepted", "[limit][allotments]")
{
    Fixture fixture;
    CHECK(fixture.pool.acceptRequest(start, makeRequest(2, start)));
    CHECK_FALSE(fixture.pool.acceptRequest(start, makeRequest(2, start)));
    CHECK_FALSE(fixture.pool.acceptRequest(start, makeRequest(1, start)));
}

// Guards against one host that takes all permits in advance.
TEST_CASE("Scarce permits are divided by what the hosts want", "[limit][allotments]")
{
    Fixture fixture;
    fixture.pool.setOwnShare(start, 1);
    fixture.pool.expire(start + 5s);
    CHECK(fixture.claim(start + 5s, 1, { organisation, 0, 0, 30 }).total == 17);
    auto other = makeRequest(1, start);
    other.host = HostName("other");
    REQUIRE(fixture.pool.acceptRequest(start + 5s, other));
    CHECK(fixture.pool.claim(start + 5s, other, { organisation, 0, 0, 30 }).total > 0);
    CHECK(fixture.claim(start + 5s, 2, { organisation, 17, 0, 30 }).total == 8);
}

// Permits that were granted by an older configuration have to be gone before a lower limit binds.
TEST_CASE("A lowered limit is kept once the permits of the higher one have expired", "[limit][allotments]")
{
    constexpr auto grantLifetime = AllotmentTimes {}.grantLifetime;
    Fixture fixture;
    fixture.pool.setOwnShare(start, 1);
    const auto filledAt = start + 5s;
    REQUIRE(fixture.claim(filledAt, 1, { organisation, 0, 0, 15 }).total == 15);
    fixture.pool.setLimits(filledAt, { { organisation, { 1, 2 } } });
    CHECK(fixture.pool.available(organisation) == Approx(0));
    // Nothing is created while the permits of the higher limit may be used.
    fixture.pool.expire(filledAt + grantLifetime);
    CHECK(fixture.pool.available(organisation) == Approx(0));
    fixture.pool.expire(filledAt + AllotmentTimes::withDrift(grantLifetime) + 10s);
    CHECK(fixture.pool.available(organisation) <= 2);
    CHECK(fixture.claim(filledAt + 12s, 2, { organisation, 0, 15, 15 }).total <= 2);
}
