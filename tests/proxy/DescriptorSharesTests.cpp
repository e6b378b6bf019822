#include "proxy/DescriptorShares.h"

#include <catch2/catch.hpp>

using namespace Auburnpost::Proxy;

TEST_CASE("Callers, peers and relays leave enough descriptors for targets and the platform", "[proxy][limits]")
{
    for (const std::size_t descriptors : { 1024, 2940, 3010, 8192 }) {
        const DescriptorShares shares(descriptors);
        const auto sockets = descriptors - DescriptorShares::reserved;
        CHECK(shares.total() < sockets);
        // 8 connections to each of 24 targets, and some to the store and to peers.
        CHECK(sockets - shares.total() >= (descriptors >= 2940 ? 24 * 8 + 50 : 50));
        CHECK(shares.callers > 200);
    }
    CHECK(DescriptorShares(100).callers == 0);
}
