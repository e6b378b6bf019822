#include "limit/AllotmentCodec.h"

#include "base/Random.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace Auburnpost;
using namespace Auburnpost::Limit;

namespace {

AllotmentRequest largestRequest()
{
    AllotmentRequest request { HostName(std::string(40, 'h')), HostStart(0xfffffffe), RequestNumber(1ULL << 40),
        HostStart(0xffffffff), ClockStamp(1ULL << 50), 139, 140, {} };
    for (std::uint32_t index = 0; index < maxAllotmentEntries; ++index)
        request.claims.push_back({ AllotmentId(0xffffff00U + index), 60'000, 1'000'000'000, 60'000 });
    return request;
}

AllotmentReply someReply()
{
    return { HostStart(7), HostStart(8), RequestNumber(9), ClockStamp(10), 11, 980, 0xfffffff0,
        { { AllotmentId(12), std::numeric_limits<std::uint32_t>::max(), true }, { AllotmentId(13), 0, false } } };
}

} // namespace

TEST_CASE("Messages of allotments survive encoding and fit into a datagram", "[limit][allotments]")
{
    for (const AllotmentBody& body : { AllotmentBody(largestRequest()), AllotmentBody(someReply()) }) {
        const auto datagram = encode(body);
        CHECK(datagram.size() < 1400);
        const auto decoded = decodeAllotment(datagram);
        REQUIRE(decoded);
        CHECK(*decoded == body);
    }
}

// Guards against a host that ends or misreads its memory on a datagram of another sender or version.
TEST_CASE("Datagrams in another format are rejected", "[limit][allotments]")
{
    const auto valid = encode(someReply());
    for (std::size_t size = 0; size < valid.size(); ++size)
        CHECK_FALSE(decodeAllotment(std::string_view(valid).substr(0, size)));
    CHECK_FALSE(decodeAllotment(valid + "x"));
    auto otherVersion = valid;
    otherVersion[1] = 2;
    CHECK_FALSE(decodeAllotment(otherVersion));
    auto tooMany = largestRequest();
    tooMany.claims.push_back({});
    CHECK_FALSE(decodeAllotment(encode(tooMany)));
    auto nameless = largestRequest();
    nameless.host = {};
    CHECK_FALSE(decodeAllotment(encode(nameless)));

    RandomEngine random(3);
    for (int count = 0; count < 20'000; ++count) {
        auto changed = count % 2 ? valid : encode(largestRequest());
        for (auto changes = 1 + random() % 4; changes; --changes)
            changed[random() % changed.size()] = static_cast<char>(random());
        // Any result is fine as long as it is a message or an error.
        if (const auto body = decodeAllotment(changed))
            CHECK(decodeAllotment(encode(*body)) == *body);
    }
}
