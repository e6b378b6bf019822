#include "proxy/ConnectionPool.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;

namespace {

constexpr Instant start { std::chrono::seconds(100) };
const TargetName target("i-1");
const OrganisationName first("miny420");
const OrganisationName second("lomi221");

TargetConnection& addIdle(ConnectionPool& pool, Instant now, std::uint64_t id, const OrganisationName& organisation)
{
    auto& connection = pool.add(now, ConnectionId(id), target);
    connection.organisation = organisation;
    connection.stage = ConnectionStage::Idle;
    return connection;
}

} // namespace

TEST_CASE("A connection never carries a statement of another organisation", "[proxy][organisations]")
{
    ConnectionPool pool;
    addIdle(pool, start, 1, first);
    addIdle(pool, start, 2, {});
    CHECK(pool.findIdle({}, first)->id == ConnectionId(1));
    CHECK(pool.findIdle({}, second) == nullptr);
    CHECK(pool.findIdle({}, {})->id == ConnectionId(2));
}

TEST_CASE("The longest idle connection of another organisation makes room for a new one", "[proxy][organisations]")
{
    ConnectionPool pool;
    addIdle(pool, start + std::chrono::seconds(1), 1, first);
    addIdle(pool, start, 2, first);
    addIdle(pool, start, 3, second).stage = ConnectionStage::Busy;
    CHECK(pool.findEvictable(second) == ConnectionId(2));
    CHECK_FALSE(pool.findEvictable(first));
}

TEST_CASE("An organisation's connection outlasts pauses between its statements unless the target is full",
    "[proxy][organisations]")
{
    ConnectionPool pool;
    pool.setLimit(112);
    addIdle(pool, start, 1, first);
    addIdle(pool, start, 2, second);
    addIdle(pool, start, 3, {});
    const auto later = start + std::chrono::seconds(6);
    pool.setReportedCount(3);
    CHECK(pool.surplusConnections(later) == std::vector { ConnectionId(3) });
    pool.setReportedCount(110);
    CHECK(pool.surplusConnections(later).size() == 2);
}
