#include "proxy/LendingSimulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;
using Session::StatementKind;

namespace {

constexpr std::uint64_t defaultSchedules = 400;
constexpr std::uint64_t firstSeed = 1;

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const auto* const text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Begins a transaction of the caller with one write.
/// @return the connection that the transaction is bound to.
ConnectionId beginWrite(LendingSimulation& simulation, std::size_t caller)
{
    simulation.send(caller, StatementKind::Begin);
    simulation.send(caller, StatementKind::Write);
    simulation.answerStatusQueries();
    const auto begun = simulation.connectionWith<BeginTransaction>();
    REQUIRE(begun);
    simulation.answer(*begun);
    simulation.answer(*begun);
    return *begun;
}

} // namespace

// Guards against lending a connection on which a transaction is open: its caller left after the commit, and the target
// refused the commit for lack of capacity (docs/incidents/lent-in-a-transaction.md).
TEST_CASE(
    "A refused commit whose caller left does not leave its transaction open on a pooled connection", "[proxy][lending]")
{
    LendingSimulation simulation;
    const auto connection = beginWrite(simulation, 0);
    // Leaves the target without an idle connection, so that status queries share one.
    beginWrite(simulation, 1);
    simulation.send(0, StatementKind::Commit);
    simulation.leave(0);
    SECTION("with a status query during the commit")
    {
        simulation.advance(1s);
    }
    SECTION("without one") { }
    simulation.answer(connection, TargetOutcome::Refused);
    simulation.answerAll();
    CHECK(simulation.target().openTransactions() == 1);
    simulation.send(2, StatementKind::Write);
    simulation.answerAll();
    CHECK(simulation.caller(2).answer);
    CHECK(simulation.target().violations().empty());
}

// Guards against lending a connection because its rollback was answered, whatever the answer.
TEST_CASE("A connection whose rollback is refused is closed and not lent", "[proxy][lending]")
{
    constexpr bool mayRefuseRollbacks = true;
    LendingSimulation simulation(firstSeed, mayRefuseRollbacks);
    const auto connection = beginWrite(simulation, 0);
    simulation.leave(0);
    simulation.answer(connection, TargetOutcome::Refused);
    CHECK_FALSE(simulation.target().connections().contains(connection));
    CHECK(simulation.proxy().fieldsOf(LogEvent::TargetConnectionInTransaction)["answered"] == "rollback");
    CHECK(simulation.proxy().delegate.measured.count("target_connections_closed_in_transaction") == 1);
}

// Guards against answering with success a statement that is rolled back with a transaction that no caller has.
TEST_CASE("A statement outside a transaction whose answer shows one counts as unanswered", "[proxy][lending]")
{
    LendingSimulation simulation;
    const auto kind = GENERATE(StatementKind::Write, StatementKind::Read);
    simulation.send(0, kind);
    simulation.answerStatusQueries();
    const auto connection = simulation.connectionOf(0);
    simulation.target().connections().at(connection).state = Session::TransactionState::Open;
    simulation.answer(connection);
    CHECK_FALSE(simulation.target().connections().contains(connection));
    simulation.advance(20ms);
    simulation.answerAll();
    REQUIRE(simulation.caller(0).answer);
    // A write is not repeated, and a read is.
    if (kind == StatementKind::Write)
        CHECK(simulation.failureOf(0) == Session::FailureCode::InDoubt);
    else
        CHECK_FALSE(simulation.failureOf(0));
}

// Guards against lending a connection whose begin failed although the target opened the transaction.
TEST_CASE("A transaction whose begin failed is rolled back if the target reports it open", "[proxy][lending]")
{
    LendingSimulation simulation;
    simulation.send(0, StatementKind::Begin);
    simulation.send(0, StatementKind::Write);
    simulation.answerStatusQueries();
    const auto begin = simulation.connectionWith<BeginTransaction>();
    REQUIRE(begin);
    simulation.target().connections().at(*begin).state = Session::TransactionState::Open;
    simulation.answer(*begin, TargetOutcome::Fails);
    CHECK(simulation.connectionWith<RollbackTransaction>() == begin);
    simulation.advance(50ms);
    simulation.answerAll();
    CHECK(simulation.target().violations().empty());
}

// Guards against statements on a connection inside another caller's transaction, or outside their own, whichever step
// callers leave at and whatever targets answer. LENDING_SEED and LENDING_SCHEDULES set the first seed and the number.
TEST_CASE("Statements run inside their own transaction in random schedules of callers and answers", "[proxy][lending]")
{
    constexpr int steps = 400;
    const auto seed = numberFrom("LENDING_SEED", firstSeed);
    const auto schedules = numberFrom("LENDING_SCHEDULES", defaultSchedules);
    const bool mayRefuseRollbacks = GENERATE(false, true);
    INFO((mayRefuseRollbacks ? "rollbacks may be refused" : "rollbacks succeed"));
    std::size_t ran = 0;
    std::size_t refusedCommits = 0;
    for (auto each = seed; each < seed + schedules; ++each) {
        INFO("seed " << each);
        LendingSimulation simulation(each, mayRefuseRollbacks);
        for (int step = 0; step < steps; ++step)
            simulation.step();
        simulation.settle();
        REQUIRE(simulation.target().violations() == std::vector<std::string> {});
        REQUIRE(simulation.target().openTransactions() == 0);
        ran += simulation.target().ran();
        refusedCommits += simulation.target().refusedCommits();
    }
    std::cout << schedules << " schedules: " << ran << " statements ran, " << refusedCommits << " commits refused\n";
    // Schedules in which little runs would pass without a check.
    CHECK(ran > schedules * 20);
    CHECK(refusedCommits > schedules / 2);
}
