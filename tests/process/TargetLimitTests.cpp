#include "process/TargetGroup.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace Auburnpost::Test;

TEST_CASE("A target refuses connections above max_connections", "[limits]")
{
    const TargetGroup group(1, "max_connections = 2");
    const PgClient first = group.connect("a");
    {
        const PgClient second = group.connect("a", "host-2/west-colombo");
        const PgClient third = group.connect("a");
        CHECK(second.isConnected());
        CHECK_FALSE(third.isConnected());
        CHECK(third.errorMessage().find("too many connections") != std::string::npos);
        CHECK(group.state("a").at("connections_by_host").at("host-2") == 1);
    }
    REQUIRE(eventually([&] { return group.state("a").at("connections") == 1; }));
    CHECK(group.connect("a").isConnected());
    CHECK(group.state("a").at("counters").at("refused_connections") == 1);
    CHECK(group.state("a").at("counters").at("peak_connections") == 2);
}

TEST_CASE("A target delays the answer to a connection by connect_ms", "[limits]")
{
    const TargetGroup group(1, "connect_ms = 60000");
    CHECK_FALSE(group.connect("a").isConnected());
}

TEST_CASE("A leaving target refuses new connections and serves the open ones", "[limits]")
{
    const TargetGroup group(1);
    PgClient client = group.connect("a");
    CHECK(group.post("a", "/leaving", "{\"leaving\": 1}") == 400);
    CHECK(group.post("a", "/leaving", "{\"leaving\": true}") == 200);
    CHECK_FALSE(group.connect("a").isConnected());
    CHECK(client.run("SELECT 1").singleValue() == "1");
    CHECK(group.post("a", "/leaving", "{\"leaving\": false}") == 200);
    CHECK(group.connect("a").isConnected());
}

TEST_CASE("A target executes no more statements at a time than it has slots", "[limits]")
{
    const TargetGroup group(1, "slots = 3\nstatement_ms = 20");
    constexpr int clientCount = 8;
    std::vector<PgClient> clients;
    clients.reserve(clientCount);
    for (int count = 0; count < clientCount; ++count)
        clients.push_back(group.connect("a"));
    for (PgClient& client : clients)
        client.send("SELECT 1");
    for (PgClient& client : clients)
        CHECK(client.receive().singleValue() == "1");
    CHECK(group.state("a").at("counters").at("peak_slots") == 3);
    CHECK(group.state("a").at("counters").at("statements") == clientCount);
}

TEST_CASE("A target whose slots are all busy still answers group operations", "[limits]")
{
    const TargetGroup group(1, "slots = 1\nstatement_ms = 600000");
    PgClient busy = group.connect("a");
    PgClient waiting = group.connect("a");
    busy.send("SELECT 1");
    waiting.send("SELECT 1");
    PgClient client = group.connect("a");
    CHECK(client.run("SELECT * FROM group_status()").rows.at(0).at(1) == "primary");
    CHECK_FALSE(busy.hasAnswer());
    CHECK_FALSE(waiting.hasAnswer());
}

TEST_CASE("A target disconnects a client that leaves a transaction idle, and releases its lock", "[limits]")
{
    const TargetGroup group(1, "lock_timeout_ms = 30000");
    // libpq reads the startup options from this environment variable.
    ::setenv("PGOPTIONS", "-c idle_in_transaction_session_timeout=300", 1);
    PgClient idleClient = group.connect("a");
    ::unsetenv("PGOPTIONS");
    PgClient other = group.connect("a", "host-2/west-colombo");
    REQUIRE(other.run("CREATE TABLE facts(id INTEGER PRIMARY KEY)").succeeded);
    REQUIRE(idleClient.run("BEGIN").succeeded);
    REQUIRE(idleClient.run("INSERT INTO facts VALUES (1)").succeeded);
    CHECK(other.run("INSERT INTO facts VALUES (2)").succeeded);
    CHECK_FALSE(idleClient.run("COMMIT").succeeded);
    CHECK(other.run("SELECT group_concat(id) FROM facts").singleValue() == "2");
}
