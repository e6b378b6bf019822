#include "process/TargetGroup.h"

#include <catch2/catch.hpp>

using namespace Auburnpost::Test;

namespace {

constexpr Oid int8Type = 20;
constexpr Oid float8Type = 701;
constexpr Oid textType = 25;

} // namespace

TEST_CASE("A target executes SQL and reports column types and error codes", "[sql]")
{
    const TargetGroup group(1);
    PgClient client = group.connect("a");
    REQUIRE(client.isConnected());

    SECTION("the extended query protocol returns the column types")
    {
        CHECK(client.run("INSERT INTO profiles VALUES($1, $2, $3)", { "1", "tailor", "91.5" }).tag == "INSERT 0 1");
        const PgAnswer answer = client.run("SELECT id, member, chest, count(*) AS n, NULL AS none FROM profiles");
        REQUIRE(answer.succeeded);
        CHECK(answer.types == std::vector<Oid> { int8Type, textType, float8Type, int8Type, textType });
        REQUIRE(answer.rows.size() == 1);
        CHECK(answer.rows[0] == std::vector<std::optional<std::string>> { "1", "tailor", "91.5", "1", std::nullopt });
    }
    SECTION("a simple query of several statements is one transaction")
    {
        CHECK(client.simpleQuery("INSERT INTO profiles VALUES(1, 'a;b', 1); INSERT INTO profiles VALUES(1, 'c', 2)")
                  .sqlState
            == "23505");
        CHECK(client.simpleQuery("SELECT count(*) FROM profiles").singleValue() == "0");
    }
    SECTION("a refused statement fails with the SQLSTATE of PostgreSQL")
    {
        CHECK(client.run("SELECT * FROM nowhere").sqlState == "42P01");
        CHECK(client.run("SELECT absent FROM profiles").sqlState == "42703");
        CHECK(client.run("SELEC 1").sqlState == "42601");
        CHECK(client.run("INSERT INTO profiles VALUES(random(), 'x', 1)").sqlState == "0A000");
        CHECK(client.run("PRAGMA user_version").sqlState == "42501");
        CHECK(client.run("SELECT 1").singleValue() == "1");
    }
    SECTION("a connection to another database fails")
    {
        CHECK_FALSE(PgClient(1, "none").isConnected());
        CHECK(client.run("SELECT member FROM profiles").succeeded);
    }
}

TEST_CASE("A pipeline without BEGIN is one transaction", "[sql]")
{
    const TargetGroup group(1);
    PgClient client = group.connect("a");

    const auto failed = client.pipeline({ "INSERT INTO profiles VALUES(1, 'a', 1)", "INSERT INTO none VALUES(1)",
        "INSERT INTO profiles VALUES(2, 'b', 2)" });
    CHECK(failed[0].succeeded);
    CHECK(failed[1].sqlState == "42P01");
    CHECK_FALSE(failed[2].succeeded);
    CHECK(client.run("SELECT count(*) FROM profiles").singleValue() == "0");

    const auto done = client.pipeline(
        { "BEGIN", "INSERT INTO profiles VALUES(1, 'a', 1)", "SELECT member FROM profiles", "COMMIT" });
    CHECK(done[2].singleValue() == "a");
    CHECK(done[3].tag == "COMMIT");
    CHECK(client.parameterStatus("group_position") == "2");
    CHECK(client.parameterStatus("group_role") == "primary");
}

TEST_CASE("Transactions are isolated from one another", "[sql]")
{
    const TargetGroup group(1, "lock_timeout_ms = 200");
    PgClient writer = group.connect("a");
    PgClient other = group.connect("a");
    writer.run("BEGIN");
    writer.run("INSERT INTO profiles VALUES(1, 'a', 1)");

    SECTION("a reader sees only what is committed")
    {
        CHECK(writer.run("SELECT count(*) FROM profiles").singleValue() == "1");
        CHECK(other.run("SELECT count(*) FROM profiles").singleValue() == "0");
        CHECK(writer.run("COMMIT").succeeded);
        CHECK(other.run("SELECT count(*) FROM profiles").singleValue() == "1");
    }
    SECTION("a second writer waits for the first")
    {
        other.send("INSERT INTO profiles VALUES(2, 'b', 2)");
        CHECK_FALSE(other.hasAnswer());
        CHECK(writer.run("ROLLBACK").succeeded);
        CHECK(other.receive().succeeded);
        CHECK(group.log("a").size() == 2);
    }
    SECTION("a second writer fails after the lock timeout")
    {
        CHECK(other.run("INSERT INTO profiles VALUES(2, 'b', 2)").sqlState == "55P03");
    }
    SECTION("a failed transaction refuses every statement until it ends")
    {
        CHECK(writer.run("INSERT INTO profiles VALUES(1, 'again', 1)").sqlState == "23505");
        CHECK(writer.run("SELECT 1").sqlState == "25P02");
        CHECK(writer.run("COMMIT").tag == "ROLLBACK");
        CHECK(writer.run("SELECT count(*) FROM profiles").singleValue() == "0");
    }
    SECTION("a lost connection rolls its transaction back")
    {
        {
            const PgClient ended = std::move(writer);
        }
        CHECK(other.run("INSERT INTO profiles VALUES(1, 'b', 1)").succeeded);
    }
    SECTION("a read-only transaction refuses writes")
    {
        other.run("BEGIN READ ONLY");
        CHECK(other.run("INSERT INTO profiles VALUES(9, 'x', 1)").sqlState == "25006");
    }
}

TEST_CASE("A large answer arrives complete", "[sql]")
{
    const TargetGroup group(1);
    PgClient client = group.connect("a");
    const PgAnswer answer = client.run("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 10000)"
                                       " SELECT i, hex(zeroblob(500)) FROM n");
    REQUIRE(answer.rows.size() == 10000);
    CHECK(answer.rows.back()[0] == "10000");
    CHECK(answer.rows.back()[1]->size() == 1000);
}
