#include "limit/Allotments.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Limit;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const AllotmentRules rules { 5s, 0.1, 20 };
const OrganisationName organisation { "miny420" };

/// A host whose only peer is the first of the ranking, so that the peer is its coordinator.
struct Fixture {
    Fixture()
    {
        allotments.setLimits(start, { { organisation, { 10, 20 } } });
        allotments.setHosts(start, { self, peer });
    }

    /// @return the last request to the peer in this time.
    std::optional<AllotmentRequest> run(Duration time)
    {
        std::optional<AllotmentRequest> last;
        for (const auto end = now + time; now < end; now += 30ms) {
            for (const auto& message : allotments.tick(now)) {
                if (const auto* const request = std::get_if<AllotmentRequest>(&message.body))
                    last = *request;
            }
        }
        return last;
    }
    void reply(const AllotmentRequest& request, std::uint32_t permits)
    {
        AllotmentReply reply { HostStart(9), request.hostStart, request.number, ClockStamp(1), 2, 900, 0, {} };
        for (const auto& claim : request.claims)
            reply.grants.push_back({ claim.organisation, permits, false });
        allotments.messageReceived(now, peer.address, reply);
    }
    [[nodiscard]] std::uint32_t held() const { return allotments.statuses(now).front().held; }

    Instant now { start };
    AllotmentHost self { HostName("self"), DataCentreName("dc"), { "127.0.0.1", 1 } };
    AllotmentHost peer { HostName("peer"), DataCentreName("dc"), { "127.0.0.1", 2 }, 1000 };
    Allotments allotments { start, HostName("self"), rules, HostStart(3) };
};

/// Makes the peer the coordinator of the fixture's host, with a demand for permits.
AllotmentRequest requestWithDemand(Fixture& fixture)
{
    fixture.reply(*fixture.run(30ms), 0);
    fixture.allotments.admit(fixture.now, organisation);
    const auto request = fixture.run(30ms);
    REQUIRE(request);
    REQUIRE(fixture.allotments.coordinator() == HostName("peer"));
    REQUIRE_FALSE(request->claims.empty());
    return *request;
}

} // namespace

TEST_CASE("Without limits nothing is sent and everything is admitted", "[limit][allotments]")
{
    Fixture fixture;
    fixture.allotments.setLimits(start, {});
    CHECK_FALSE(fixture.allotments.isEnabled());
    CHECK_FALSE(fixture.run(5s));
    CHECK(fixture.allotments.admit(fixture.now, organisation).isAdmitted);
}

TEST_CASE("An organisation without a limit is admitted", "[limit][allotments]")
{
    Fixture fixture;
    CHECK(fixture.allotments.admit(fixture.now, OrganisationName("other")).isAdmitted);
    CHECK_FALSE(fixture.allotments.admit(fixture.now, organisation).isAdmitted);
}

// An earlier start of the host may have lent the share just before it ended.
TEST_CASE("A started host uses its share only when an earlier loan has ended", "[limit][allotments]")
{
    Fixture fixture;
    fixture.allotments.setHosts(start, { fixture.self, { HostName("low"), {}, { "127.0.0.1", 3 }, 1e-9 } });
    // The host ranks before the other one, which confirms the number of hosts.
    AllotmentRequest other;
    other.host = HostName("low");
    other.listedHosts = 2;
    fixture.allotments.messageReceived(start, { "127.0.0.1", 3 }, other);
    fixture.run(3200ms);
    CHECK(fixture.allotments.share() == 0);
    fixture.run(60ms);
    CHECK(fixture.allotments.share() == 0.5);
    fixture.run(1s);
    CHECK(fixture.allotments.admit(fixture.now, organisation).isAdmitted);
}

// Other hosts divide the limit by a lower number until they know the new one.
TEST_CASE("A host that no other confirms waits until its record was read", "[limit][allotments]")
{
    Fixture fixture;
    fixture.run(14900ms);
    CHECK(fixture.allotments.share() == 0);
    fixture.run(200ms);
    CHECK(fixture.allotments.share() == 0.5);
}

TEST_CASE("Granted permits are used within their lifetime from the request", "[limit][allotments]")
{
    Fixture fixture;
    const auto request = requestWithDemand(fixture);
    fixture.now += 150ms;
    fixture.reply(request, 4);
    CHECK(fixture.held() == 4);
    CHECK(fixture.allotments.admit(fixture.now, organisation).isAdmitted);
    CHECK(fixture.held() == 3);
    // Counted from the request 180 ms before, not from the reply.
    fixture.now += 1150ms;
    CHECK(fixture.held() == 0);
    CHECK_FALSE(fixture.allotments.admit(fixture.now, organisation).isAdmitted);
}

// The coordinator counts the permits of an unanswered request as available once the next request arrives.
TEST_CASE("A reply that arrives after the next request is ignored", "[limit][allotments]")
{
    Fixture fixture;
    const auto first = requestWithDemand(fixture);
    const auto second = fixture.run(300ms);
    REQUIRE(second);
    REQUIRE(second->number > first.number);
    fixture.reply(first, 4);
    CHECK(fixture.held() == 0);
    fixture.reply(*second, 4);
    CHECK(fixture.held() == 4);
    fixture.reply(*second, 4);
    CHECK(fixture.held() == 4);
}

// A share that is lent and used here is used twice.
TEST_CASE("A lent share is not used by its owner until the loan has ended", "[limit][allotments]")
{
    Fixture fixture;
    std::optional<AllotmentRequest> request;
    for (int count = 0; count < 200 && !(request && request->shareDivisor); ++count) {
        request = fixture.run(30ms);
        if (request)
            fixture.reply(*request, 0);
    }
    REQUIRE(request->shareDivisor == 2);
    const auto lentAt = fixture.now;
    // From now on the peer is silent, and the host becomes its own coordinator.
    Instant lastLoanAt = lentAt;
    while (fixture.now < lentAt + 8s && fixture.allotments.share() == 0) {
        const auto repeated = fixture.run(30ms);
        if (repeated && repeated->shareDivisor)
            lastLoanAt = fixture.now - 30ms;
    }
    CHECK(fixture.allotments.share() == 0.5);
    CHECK(fixture.now - lastLoanAt >= 3200ms);
}
