#include "process/TargetGroup.h"

#include <catch2/catch.hpp>

using namespace Auburnpost::Test;

namespace {

bool accepted(PgClient& client, const std::string& operation, const std::vector<std::string>& arguments)
{
    std::string list;
    for (std::size_t index = 1; index <= arguments.size(); ++index)
        list += (index > 1 ? ", $" : "$") + std::to_string(index);
    const PgAnswer answer = client.run("SELECT * FROM group_" + operation + "(" + list + ")", arguments);
    REQUIRE(answer.rows.size() == 1);
    REQUIRE(answer.rows[0].size() == 7);
    return answer.rows[0][0] == "t";
}

bool insert(PgClient& client, int id)
{
    return client.run("INSERT INTO profiles VALUES($1, 'tailor', 90)", { std::to_string(id) }).succeeded;
}

std::string count(PgClient& client)
{
    return client.run("SELECT count(*) FROM profiles").singleValue();
}

// Makes "b" the primary of term 2 and "c" its replica; "a" is not informed and still acts as primary.
void promoteB(const TargetGroup& group)
{
    PgClient b = group.connect("b");
    PgClient c = group.connect("c");
    REQUIRE(accepted(b, "fence", { "2", "attempt-1" }));
    REQUIRE(accepted(c, "fence", { "2", "attempt-1" }));
    REQUIRE(accepted(b, "promote", { "2", "attempt-1" }));
    REQUIRE(accepted(c, "follow", { "2", "b" }));
}

} // namespace

TEST_CASE("Replicas copy the primary's log and refuse writes", "[group]")
{
    const TargetGroup group(3);
    PgClient a = group.connect("a");
    PgClient b = group.connect("b");
    REQUIRE(insert(a, 1));
    CHECK(a.parameterStatus("group_position") == "2");
    REQUIRE(group.waitForPosition("b", 2));
    REQUIRE(group.waitForPosition("c", 2));
    CHECK(count(b) == "1");
    CHECK(b.parameterStatus("group_role") == "replica");
    CHECK(b.run("INSERT INTO profiles VALUES(2, 'x', 1)").sqlState == "25006");
    CHECK(group.log("b") == group.log("a"));
    CHECK(group.log("b").at(1).at("statements").at(0).at("parameters").at(0) == "1");
}

TEST_CASE("A replica with a lag fault stays behind until the fault ends", "[group]")
{
    const TargetGroup group(3);
    PgClient a = group.connect("a");
    PgClient b = group.connect("b");
    PgClient c = group.connect("c");
    REQUIRE(group.faults("b", R"([{"kind":"lag","ms":600000}])") == 200);
    REQUIRE(insert(a, 1));
    CHECK(accepted(c, "wait", { "1", "2", "10000" }));
    CHECK_FALSE(accepted(b, "wait", { "1", "2", "50" }));
    CHECK(count(b) == "0");
    REQUIRE(group.faults("b", "[]") == 200);
    CHECK(accepted(b, "wait", { "1", "2", "10000" }));
    CHECK_FALSE(accepted(b, "wait", { "2", "2", "50" }));
}

TEST_CASE("A fence binds a target to one attempt of the highest term", "[group]")
{
    const TargetGroup group(3);
    PgClient b = group.connect("b");
    CHECK(accepted(b, "fence", { "3", "attempt-1" }));
    CHECK(accepted(b, "fence", { "3", "attempt-1" }));
    CHECK_FALSE(accepted(b, "fence", { "3", "attempt-2" }));
    CHECK_FALSE(accepted(b, "fence", { "2", "attempt-1" }));
    CHECK_FALSE(accepted(b, "promote", { "3", "attempt-2" }));
    CHECK_FALSE(accepted(b, "promote", { "4", "attempt-1" }));
    CHECK_FALSE(accepted(b, "follow", { "2", "a" }));
    CHECK(b.parameterStatus("group_fenced") == "3");
    CHECK(b.parameterStatus("group_role") == "fenced");

    PgClient a = group.connect("a");
    REQUIRE(insert(a, 1));
    REQUIRE(group.waitForPosition("c", 2));
    CHECK(group.state("b").at("position") == 1);

    CHECK(accepted(b, "promote", { "3", "attempt-1" }));
    CHECK(accepted(b, "promote", { "3", "attempt-1" }));
    CHECK(group.state("b").at("position") == 2);
    CHECK_FALSE(accepted(b, "follow", { "3", "a" }));
    CHECK(accepted(b, "follow", { "4", "a" }));
}

TEST_CASE("The log of a diverged former primary is truncated to match the new primary", "[group]")
{
    const TargetGroup group(3);
    PgClient a = group.connect("a");
    REQUIRE(insert(a, 1));
    REQUIRE(group.waitForPosition("b", 2));
    REQUIRE(group.waitForPosition("c", 2));
    promoteB(group);
    REQUIRE(insert(a, 50));
    REQUIRE(insert(a, 51));
    PgClient b = group.connect("b");
    REQUIRE(insert(b, 2));
    REQUIRE(group.waitForPosition("c", 4));
    CHECK(group.log("c") == group.log("b"));

    REQUIRE(accepted(a, "follow", { "2", "b" }));
    REQUIRE(eventually([&] { return group.log("a") == group.log("b"); }));
    CHECK(a.run("SELECT group_concat(id) FROM profiles").singleValue() == "1,2");
    CHECK(a.run("INSERT INTO profiles VALUES(3, 'x', 1)").sqlState == "25006");
}

TEST_CASE("A replica does not replicate from a primary of a lower term", "[group]")
{
    const TargetGroup group(3);
    PgClient a = group.connect("a");
    PgClient b = group.connect("b");
    REQUIRE(accepted(b, "follow", { "2", "a" }));
    REQUIRE(insert(a, 1));
    REQUIRE(group.waitForPosition("c", 2));
    CHECK_FALSE(accepted(b, "wait", { "1", "2", "500" }));
    CHECK(count(b) == "0");

    REQUIRE(accepted(a, "fence", { "2", "attempt-1" }));
    REQUIRE(accepted(a, "promote", { "2", "attempt-1" }));
    CHECK(accepted(b, "wait", { "2", "3", "10000" }));
    CHECK(count(b) == "1");
}

TEST_CASE("A primary that is fenced during a transaction refuses its commit", "[group]")
{
    const TargetGroup group(1);
    PgClient client = group.connect("a");
    PgClient other = group.connect("a");
    REQUIRE(client.run("BEGIN").succeeded);
    REQUIRE(insert(client, 1));
    REQUIRE(accepted(other, "fence", { "2", "attempt-1" }));

    SECTION("while it is fenced")
    {
        CHECK(client.run("COMMIT").sqlState == "25006");
        CHECK(client.parameterStatus("group_role") == "fenced");
    }
    SECTION("also after it has become primary again in a later term")
    {
        REQUIRE(accepted(other, "promote", { "2", "attempt-1" }));
        CHECK(client.run("COMMIT").sqlState == "25006");
        CHECK(group.state("a").at("position") == 2);
        CHECK(insert(other, 1));
    }
    CHECK(group.log("a").at(0).at("term") == 1);
    CHECK(count(client) == (group.state("a").at("position") == 3 ? "1" : "0"));
}

TEST_CASE("A restarted target keeps its log and fence, and stays fenced until it receives a command", "[group]")
{
    TargetGroup group(2, "state_dir = FOLDER");
    {
        PgClient a = group.connect("a");
        REQUIRE(insert(a, 1));
        REQUIRE(accepted(a, "fence", { "5", "attempt-1" }));
    }
    const auto before = group.log("a");
    group.process("a").kill();
    group.restart("a");
    PgClient a = group.connect("a");
    CHECK(group.log("a") == before);
    CHECK(group.state("a").at("role") == "fenced");
    CHECK(group.state("a").at("fenced_term") == 5);
    CHECK(count(a) == "1");
    CHECK_FALSE(accepted(a, "fence", { "4", "attempt-2" }));
    CHECK(accepted(a, "promote", { "5", "attempt-1" }));
    CHECK(insert(a, 2));
}
