#include "wire/PostgresConnections.h"

#include "wire/FakeTarget.h"
#include "wire/Loop.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Auburnpost;
using namespace Auburnpost::Wire;

namespace {

constexpr std::chrono::milliseconds connectTimeout { 200 };
using Statements = std::vector<std::string>;

struct Fixture {
    Fixture()
    {
        connections.connectionOpened().connect(
            [this](ConnectionId id, const TargetStatus& targetStatus) { opened[id] = targetStatus; });
        connections.answered().connect([this](const TargetAnswer& answer) { answers.push_back(answer); });
        connections.connectionLost().connect([this](const TargetConnectionLost& loss) { losses.push_back(loss); });
    }

    void open(ConnectionId id)
    {
        connections.open(id, TargetName("core-1-a"), target.address(), DatabaseName("core-1"));
    }

    void openAndWait(ConnectionId id)
    {
        open(id);
        REQUIRE(loop.runUntil([&] { return opened.contains(id); }));
    }

    void send(ConnectionId id, const Statements& statements)
    {
        TargetCommand command { id, CommandId(++lastCommand), {} };
        for (const auto& sql : statements)
            command.statements.push_back({ sql, {} });
        connections.send(command);
    }

    const TargetAnswer& answer()
    {
        REQUIRE(loop.runUntil([&] { return !answers.empty() || !losses.empty(); }));
        REQUIRE(losses.empty());
        return answers.back();
    }

    const Error& loss()
    {
        REQUIRE(loop.runUntil([&] { return !losses.empty(); }));
        CHECK(losses.size() == 1);
        CHECK(connections.size() == 0);
        CHECK(losses.back().error.peer == "core-1-a");
        return losses.back().error;
    }

    Loop loop;
    FakeTarget target { loop.base() };
    PostgresConnections connections { loop.base(), HostName("host-1"), DataCentreName("west-colombo"), connectTimeout };
    std::map<ConnectionId, TargetStatus> opened;
    std::vector<TargetAnswer> answers;
    std::vector<TargetConnectionLost> losses;
    std::uint64_t lastCommand { 0 };
};

const ConnectionId one(1);

} // namespace

TEST_CASE("A connection sends the host's name and reads the target's status", "[wire][target]")
{
    Fixture test;
    test.openAndWait(one);
    CHECK(test.opened[one].end == LogPoint { Term(3), Position(7) });
    CHECK(test.opened[one].fencedTerm == Term(4));
    CHECK(test.opened[one].role == TargetRole::Primary);
    const auto& startup = test.target.startup();
    CHECK_THAT(startup, Catch::Contains(std::string("user\0host-1\0", 12)));
    CHECK_THAT(startup, Catch::Contains(std::string("database\0core-1\0", 16)));
    CHECK_THAT(startup, Catch::Contains(std::string("application_name\0host-1/west-colombo\0", 37)));
}

TEST_CASE("A connection that can't be opened is reported as lost with the step connect", "[wire][target]")
{
    Fixture test;
    auto code = ErrorCode::Internal;
    SECTION("port without a listener")
    {
        test.target.stopListening();
        code = ErrorCode::ConnectionRefused;
    }
    SECTION("refused because of the target's connection limit")
    {
        test.target.setGreeting({ FakeTarget::fault("53300", "too many", "FATAL"), true });
        code = ErrorCode::TooManyConnections;
    }
    SECTION("refused by a leaving target")
    {
        test.target.setGreeting({ FakeTarget::fault("57P01", "leaving", "FATAL"), true });
        code = ErrorCode::Leaving;
    }
    SECTION("closed without a message")
    {
        test.target.setGreeting({ "", true });
        code = ErrorCode::ConnectionLost;
    }
    SECTION("no answer in time")
    {
        test.target.setGreeting({ "", false });
        code = ErrorCode::ConnectionLost;
    }
    SECTION("no status parameters")
    {
        test.target.setGreeting({ std::string("R\0\0\0\x08\0\0\0\0", 9) + FakeTarget::ready(), false });
        code = ErrorCode::BadMessage;
    }
    test.open(one);
    CHECK(test.losses.empty());
    CHECK(test.loss().code == code);
    CHECK(test.loss().step == "connect");
    CHECK(test.opened.empty());
}

TEST_CASE("The answer to a pipeline holds all results in order and the target's status after them", "[wire][target]")
{
    Fixture test;
    test.openAndWait(one);
    test.target.setScript([](const Statements& statements) {
        CHECK(statements == Statements { "BEGIN", "UPDATE t", "SELECT a", "COMMIT" });
        return FakeTarget::Reply { FakeTarget::done("BEGIN") + FakeTarget::done("UPDATE 3")
            + FakeTarget::row({ "x", "\\N" }) + FakeTarget::done("COMMIT") + FakeTarget::status(3, 8, 4, "primary")
            + FakeTarget::ready() };
    });
    test.send(one, { "BEGIN", "UPDATE t", "SELECT a", "COMMIT" });
    const auto& answer = test.answer();
    CHECK(answer.connection == one);
    CHECK(answer.command == CommandId(1));
    REQUIRE(answer.results.size() == 4);
    CHECK(answer.results[1].rowsAffected == 3);
    CHECK(answer.results[2].rows == std::vector<std::vector<SqlValue>> { { "x", {} } });
    CHECK(answer.results[2].columns == std::vector<Column> { { "c", 25 }, { "c", 25 } });
    CHECK_FALSE(answer.fault.has_value());
    CHECK(answer.targetStatus.end == LogPoint { Term(3), Position(8) });
}

TEST_CASE("A failed statement keeps the results before it, and the statements after it are skipped", "[wire][target]")
{
    Fixture test;
    test.openAndWait(one);
    test.target.setScript([](const Statements&) {
        return FakeTarget::Reply { FakeTarget::done("BEGIN") + FakeTarget::fault("23505", "twice")
            + FakeTarget::ready() };
    });
    test.send(one, { "BEGIN", "INSERT", "COMMIT" });
    const auto& answer = test.answer();
    CHECK(answer.results.size() == 1);
    REQUIRE(answer.fault.has_value());
    CHECK(answer.fault->sqlState == "23505");
    CHECK(answer.fault->message == "twice");
    SECTION("the connection can still be used")
    {
        test.answers.clear();
        test.target.setScript(
            [](const Statements&) { return FakeTarget::Reply { FakeTarget::row({ "y" }) + FakeTarget::ready() }; });
        test.send(one, { "SELECT" });
        CHECK(test.answer().results.front().rows.front().front() == "y");
    }
}

TEST_CASE("A command gets no answer if its connection ends in the middle of the pipeline", "[wire][target]")
{
    Fixture test;
    test.openAndWait(one);
    auto code = ErrorCode::ConnectionLost;
    SECTION("without a message")
    {
        test.target.setScript([](const Statements&) { return FakeTarget::Reply { FakeTarget::done("BEGIN"), true }; });
    }
    SECTION("after every result but before the end of the pipeline")
    {
        test.target.setScript([](const Statements&) {
            return FakeTarget::Reply { FakeTarget::done("BEGIN") + FakeTarget::done("COMMIT"), true };
        });
    }
    SECTION("because the target is leaving")
    {
        test.target.setScript([](const Statements&) {
            return FakeTarget::Reply { FakeTarget::done("BEGIN") + FakeTarget::fault("57P01", "leaving", "FATAL"),
                true };
        });
        code = ErrorCode::Leaving;
    }
    test.send(one, { "BEGIN", "COMMIT" });
    CHECK(test.loss().code == code);
    CHECK(test.loss().step == "connection");
    CHECK(test.answers.empty());
    test.send(one, { "SELECT" });
    test.loop.runFor(std::chrono::milliseconds(20));
    CHECK(test.losses.size() == 1);
}

TEST_CASE("A protocol violation ends the connection", "[wire][target]")
{
    Fixture test;
    test.openAndWait(one);
    std::string bytes;
    SECTION("one result too many")
    {
        bytes = FakeTarget::done("BEGIN") + FakeTarget::done("COMMIT") + FakeTarget::done("MORE") + FakeTarget::ready();
    }
    SECTION("one result too few")
    {
        bytes = FakeTarget::done("BEGIN") + FakeTarget::ready();
    }
    SECTION("an unsolicited answer")
    {
        test.target.push({ FakeTarget::row({ "late" }) + FakeTarget::ready() });
        CHECK(test.loss().code == ErrorCode::BadMessage);
        return;
    }
    SECTION("an unknown role")
    {
        bytes = FakeTarget::done("BEGIN") + FakeTarget::done("COMMIT") + FakeTarget::parameter("group_role", "king")
            + FakeTarget::ready();
    }
    test.target.setScript([&](const Statements&) { return FakeTarget::Reply { bytes }; });
    test.send(one, { "BEGIN", "COMMIT" });
    CHECK(test.loss().step == "connection");
    CHECK(test.answers.empty());
}

TEST_CASE("The loss of an idle connection is reported with the target's reason", "[wire][target]")
{
    Fixture test;
    test.openAndWait(one);
    test.target.push({ FakeTarget::fault("57P01", "leaving", "FATAL"), true });
    CHECK(test.loss().code == ErrorCode::Leaving);
    CHECK(test.loss().step == "connection");
}

TEST_CASE("No signal is emitted for a closed connection", "[wire][target]")
{
    Fixture test;
    test.openAndWait(one);
    test.target.setScript(
        [](const Statements&) { return FakeTarget::Reply { FakeTarget::done("BEGIN") + FakeTarget::ready() }; });
    test.send(one, { "BEGIN" });
    test.connections.close(one);
    test.loop.runFor(std::chrono::milliseconds(50));
    CHECK(test.answers.empty());
    CHECK(test.losses.empty());
    CHECK(test.connections.size() == 0);
}

TEST_CASE("Each connection gets its own answer", "[wire][target]")
{
    constexpr std::uint64_t count = 40;
    Fixture test;
    test.target.setScript([](const Statements& statements) {
        return FakeTarget::Reply { FakeTarget::row({ statements.front() }) + FakeTarget::ready() };
    });
    for (std::uint64_t id = 1; id <= count; ++id)
        test.open(ConnectionId(id));
    REQUIRE(test.loop.runUntil([&] { return test.opened.size() == count; }));
    for (std::uint64_t id = 1; id <= count; ++id)
        test.send(ConnectionId(id), { std::to_string(id) });
    REQUIRE(test.loop.runUntil([&] { return test.answers.size() == count; }));
    for (const auto& answer : test.answers)
        CHECK(answer.results.front().rows.front().front() == std::to_string(answer.connection.value()));
}

TEST_CASE("A command and an answer of 10 MB are transferred unchanged", "[wire][target]")
{
    Fixture test;
    test.openAndWait(one);
    test.target.setScript([](const Statements& statements) {
        return FakeTarget::Reply { FakeTarget::row({ statements.front() }) + FakeTarget::ready() };
    });
    std::string text(10UL * 1024 * 1024, 'a');
    text.back() = 'z';
    test.send(one, { text });
    CHECK(test.answer().results.front().rows.front().front() == text);
}
