// Hidden measurements and trials, which are run by tag, such as `wire_tests "[measure]"`. They check no times.

#include "wire/CallerServer.h"
#include "wire/PostgresConnections.h"

#include "wire/FakeTarget.h"
#include "wire/Loop.h"
#include "wire/RawClient.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace Auburnpost;
using namespace Auburnpost::Wire;

namespace {

constexpr std::chrono::seconds measureTime { 3 };
constexpr std::size_t connectionCount = 32;

bool isPast(std::chrono::steady_clock::time_point end)
{
    return std::chrono::steady_clock::now() >= end;
}

/// Sends the next request on each connection as soon as the reply to the last one is complete.
/// @return the number of replies.
std::size_t requestRepeatedly(const SocketAddress& address)
{
    const Loop loop;
    std::size_t replies = 0;
    std::vector<std::unique_ptr<RawClient>> clients(connectionCount);
    for (auto& client : clients) {
        client = std::make_unique<RawClient>(loop.base(), address);
        client->post("/v1/o/statements", R"({"database":"d","sql":"SELECT 1"})");
    }
    const auto end = std::chrono::steady_clock::now() + measureTime;
    const auto turn = [&] {
        for (auto& client : clients) {
            if (!client->hasReply())
                continue;
            ++replies;
            client->nextReply();
            client->post("/v1/o/statements", R"({"database":"d","sql":"SELECT 1"})");
        }
        return isPast(end);
    };
    [[maybe_unused]] const bool over = loop.runUntil(turn);
    return replies;
}

TargetCommand selectOne(ConnectionId id, std::uint64_t number)
{
    return { id, CommandId(number), { { "SELECT $1", { "1" } } } };
}

} // namespace

TEST_CASE("Measure the request rate of one callers' server", "[.][measure]")
{
    const Loop loop;
    CallerServer server(loop.base(), { "127.0.0.1", 0 }, {});
    server.requestReceived().connect([&](const CallerRequest& request) {
        server.answer({ request.id, ResultSet { { { "c", 23 } }, { { "1" } }, 0 }, "", "", {} });
    });
    REQUIRE(server.listen().has_value());
    std::atomic<std::size_t> replies { 0 };
    std::atomic<bool> done { false };
    std::thread client([&] {
        replies = requestRepeatedly(server.address());
        done = true;
    });
    REQUIRE(loop.runUntil([&] { return done.load(); }));
    client.join();
    std::cout << "callers' server: " << replies / measureTime.count() << " requests/s\n";
    CHECK(replies > 0);
}

TEST_CASE("Measure the command rate of one set of target connections", "[.][measure]")
{
    std::atomic<bool> stop { false };
    std::atomic<int> port { 0 };
    std::thread targetThread([&] {
        const Loop loop;
        FakeTarget target(loop.base());
        target.setScript([](const std::vector<std::string>&) {
            return FakeTarget::Reply { FakeTarget::row({ "1" }) + FakeTarget::ready() };
        });
        port = target.address().port;
        CHECK(loop.runUntil([&] { return stop.load(); }));
    });
    const Loop loop;
    while (!port)
        std::this_thread::yield();
    PostgresConnections connections(loop.base(), HostName("h"), DataCentreName("d"));
    std::uint64_t answers = 0;
    connections.connectionOpened().connect(
        [&](ConnectionId id, const TargetStatus&) { connections.send(selectOne(id, 0)); });
    connections.answered().connect(
        [&](const TargetAnswer& answer) { connections.send(selectOne(answer.connection, ++answers)); });
    for (std::uint64_t id = 1; id <= connectionCount; ++id)
        connections.open(
            ConnectionId(id), TargetName("t"), { "127.0.0.1", static_cast<std::uint16_t>(port) }, DatabaseName("d"));
    loop.runFor(measureTime);
    stop = true;
    targetThread.join();
    std::cout << "target connections: " << answers / static_cast<std::uint64_t>(measureTime.count()) << " commands/s\n";
    CHECK(answers > 0);
}

TEST_CASE("Try the connections with the target stand-in at the address in AUBURNPOST_TRIAL_TARGET", "[.][trial]")
{
    const auto* const text = std::getenv("AUBURNPOST_TRIAL_TARGET");
    REQUIRE(text);
    const Loop loop;
    PostgresConnections connections(loop.base(), HostName("h"), DataCentreName("d"));
    std::optional<TargetStatus> opened;
    std::optional<TargetAnswer> answer;
    connections.connectionOpened().connect(
        [&](ConnectionId, const TargetStatus& targetStatus) { opened = targetStatus; });
    connections.answered().connect([&](const TargetAnswer& received) { answer = received; });
    connections.connectionLost().connect([&](const TargetConnectionLost& loss) { FAIL(loss.error.describe()); });
    connections.open(ConnectionId(1), TargetName("t"), *SocketAddress::parse(text), DatabaseName("core-1"));
    REQUIRE(loop.runUntil([&] { return opened.has_value(); }));
    CHECK(opened->role == TargetRole::Primary);
    connections.send({ ConnectionId(1), CommandId(1),
        { { "BEGIN", {} }, { "INSERT INTO notes(id, text) VALUES($1, $2)", { "1", "é" } },
            { "SELECT id, text FROM notes", {} }, { "COMMIT", {} } } });
    REQUIRE(loop.runUntil([&] { return answer.has_value(); }));
    REQUIRE(answer->results.size() == 4);
    CHECK(answer->results[1].rowsAffected == 1);
    CHECK(answer->results[2].rows == std::vector<std::vector<SqlValue>> { { "1", "é" } });
    CHECK(answer->targetStatus.end.position > opened->end.position);
    answer.reset();
    connections.send({ ConnectionId(1), CommandId(2),
        { { "BEGIN", {} }, { "INSERT INTO notes(id, text) VALUES(1, 'twice')", {} }, { "COMMIT", {} } } });
    REQUIRE(loop.runUntil([&] { return answer.has_value(); }));
    REQUIRE(answer->fault.has_value());
    CHECK(answer->fault->sqlState == "23505");
    CHECK(answer->results.size() == 1);
    answer.reset();
    connections.send({ ConnectionId(1), CommandId(3), { { "ROLLBACK", {} }, { "SELECT * FROM group_status()", {} } } });
    REQUIRE(loop.runUntil([&] { return answer.has_value(); }));
    CHECK(answer->results.size() == 2);
}
