#include "base/Error.h"
#include "base/SocketAddress.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;

TEST_CASE("An error names its code, step and peer", "[base][error]")
{
    const Error error { ErrorCode::NoPrimary, "write", "sizing-core-1", "no majority" };
    CHECK(error.describe() == "no_primary at write with sizing-core-1: no majority");
}

TEST_CASE("An address is an IP number and a port", "[base][address]")
{
    SECTION("a good one is read back as written")
    {
        CHECK(SocketAddress::parse("127.0.0.1:8080")->toString() == "127.0.0.1:8080");
    }
    SECTION("anything else is refused")
    {
        for (const auto* text : { "", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:8x" }) {
            INFO(text);
            CHECK_FALSE(SocketAddress::parse(text).has_value());
        }
    }
}
