#include "process/TargetGroup.h"

#include <catch2/catch.hpp>

using namespace Auburnpost::Test;

namespace {

constexpr auto insertOne = "INSERT INTO profiles VALUES(1, 'tailor', 90)";
constexpr int crashStatus = 70;

} // namespace

TEST_CASE("Malformed or unsupported faults are refused", "[faults]")
{
    const TargetGroup group(1);
    const char* const body = GENERATE("nonsense", "{}", R"([{"kind":"outage"}])", R"([{"kind":"unheard"}])",
        R"([{"kind":"lag"}])", R"([{"kind":"lag","ms":-1}])", R"([{"kind":"lose_answers","share":2}])",
        R"([{"kind":"cut","peers":"b"}])", R"([{"kind":"crash","at":"noon"}])");
    CHECK(group.faults("a", body) == 400);
}

TEST_CASE("A cut holds back the traffic of the named peers until it ends", "[faults]")
{
    const TargetGroup group(1);
    PgClient cut = group.connect("a", "host-1/west-colombo");
    PgClient open = group.connect("a", "host-2/central-kandy");
    REQUIRE(group.faults("a", R"([{"kind":"cut","peers":["host-1"]}])") == 200);
    cut.send(insertOne);
    CHECK(open.run("SELECT count(*) FROM profiles").singleValue() == "0");
    CHECK_FALSE(cut.hasAnswer());
    CHECK_FALSE(group.connect("a", "host-1/west-colombo").isConnected());
    CHECK(group.log("a").size() == 1);
    REQUIRE(group.faults("a", "[]") == 200);
    CHECK(cut.receive().succeeded);
}

TEST_CASE("A cut between targets stops replication until it ends", "[faults]")
{
    const TargetGroup group(3);
    REQUIRE(group.faults("a", R"([{"kind":"cut","peers":["b"]}])") == 200);
    REQUIRE(group.faults("c", R"([{"kind":"cut","peers":["a"]}])") == 200);
    REQUIRE(group.connect("a").run(insertOne).succeeded);
    for (const char* const target : { "b", "c" }) {
        PgClient replica = group.connect(target);
        CHECK(replica.run("SELECT * FROM group_wait(1, 2, 500)").rows.at(0).at(0) == "f");
        REQUIRE(group.faults("a", "[]") == 200);
        REQUIRE(group.faults(target, "[]") == 200);
        CHECK(group.waitForPosition(target, 2));
    }
}

TEST_CASE("The answer to a statement can be lost after the statement was committed", "[faults]")
{
    const TargetGroup group(1);
    PgClient client = group.connect("a");
    REQUIRE(group.faults("a", R"([{"kind":"lose_answers","share":1}])") == 200);
    CHECK_FALSE(client.run(insertOne).succeeded);
    REQUIRE(group.faults("a", "[]") == 200);
    CHECK_FALSE(client.run("SELECT 1").succeeded);
    CHECK(group.connect("a").run("SELECT count(*) FROM profiles").singleValue() == "1");
}

TEST_CASE("A target crashes at the requested step of a commit", "[faults]")
{
    TargetGroup group(2, "state_dir = FOLDER");
    PgClient client = group.connect("a");
    REQUIRE(group.waitForPosition("b", 1));
    const auto crashAt = [&](const std::string& step) {
        REQUIRE(group.faults("a", R"([{"kind":"crash","at":")" + step + "\"}]") == 200);
        CHECK(client.run("SELECT 1").succeeded);
        CHECK_FALSE(client.run(insertOne).succeeded);
        CHECK(group.process("a").wait() == crashStatus);
    };

    SECTION("before the commit, so that nothing is written")
    {
        crashAt("before_commit");
        group.restart("a");
        CHECK(group.log("a").size() == 1);
    }
    SECTION("after the commit, so that the write survives the restart")
    {
        REQUIRE(group.faults("b", R"([{"kind":"cut","peers":["*"]}])") == 200);
        crashAt("after_commit");
        CHECK(group.log("b").size() == 1);
        group.restart("a");
        CHECK(group.log("a").size() == 2);
    }
    SECTION("after the write has reached a replica")
    {
        crashAt("after_ship");
        CHECK(group.log("b").size() == 2);
    }
}
