#include "base/Error.h"
#include "base/SocketAddress.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;

TEST_CASE("The description of an error contains its code, step, peer and message", "[base][error]")
{
    const Error error { ErrorCode::NoPrimary, "write", "sizing-core-1", "no majority" };
    CHECK(error.describe() == "no_primary at write with sizing-core-1: no majority");
}

TEST_CASE("A socket address is parsed from IP:PORT", "[base][address]")
{
    SECTION("a valid address is formatted as it was written")
    {
        CHECK(SocketAddress::parse("127.0.0.1:8080")->toString() == "127.0.0.1:8080");
    }
    SECTION("other text is rejected")
    {
        for (const auto* text : { "", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:8x" }) {
            INFO(text);
            CHECK_FALSE(SocketAddress::parse(text).has_value());
        }
    }
}
