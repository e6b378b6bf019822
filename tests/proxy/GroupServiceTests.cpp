#include "proxy/GroupServiceFixture.h"
#include "proxy/StateDump.h"
#include "proxy/TransactionIdleLimit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <vector>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;
using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

namespace {

using FakeDelegate = RecordingServiceDelegate;
using Fixture = GroupServiceFixture;

TargetReply failed(FailureCode code)
{
    return { Session::Failure { code, "" }, TransactionState::Idle, {}, {} };
}

} // namespace

TEST_CASE("A write is sent to the primary, a read with bounded staleness to a replica", "[proxy][service]")
{
    Fixture group;
    group.service.submit(group.now, group.makeStatement(StatementKind::Write, Consistency::BoundedStaleness));
    group.service.submit(group.now, group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness));
    group.run(20ms);
    REQUIRE(group.statements.size() == 2);
    // The write waits for a confirmation of the primary, so that the read is sent first.
    CHECK(group.delegate.targets.at(group.statements[0].connection) != TargetName("p"));
    CHECK(std::get<RunStatement>(group.statements[0].request).requiredLogPoint);
    CHECK(group.delegate.targets.at(group.statements[1].connection) == TargetName("p"));
    CHECK(std::get<RunStatement>(group.statements[1].request).statement.kind == StatementKind::Write);
}

TEST_CASE("A statement for a primary that is down and can't be replaced is refused at once with a retry hint",
    "[proxy][service]")
{
    Fixture group;
    group.unresponsive = { TargetName("p"), TargetName("r") };
    group.run(3s);
    group.service.submit(group.now, group.makeStatement(StatementKind::Write, Consistency::Current));
    group.run(20ms);
    REQUIRE(group.failure());
    CHECK(group.failure()->code == FailureCode::Busy);
    CHECK(group.failure()->text.find("retry after 1000 ms") != std::string::npos);

    SECTION("with enough members left the statement waits for the promotion")
    {
        Fixture other;
        other.unresponsive = { TargetName("p") };
        other.run(3s);
        other.service.submit(other.now, other.makeStatement(StatementKind::Write, Consistency::Current));
        other.run(20ms);
        CHECK(other.delegate.results.empty());
        other.run(1s);
        REQUIRE(other.failure());
        CHECK(other.failure()->code == FailureCode::Busy);
    }
}

TEST_CASE(
    "A read that a lagging replica refuses is retried elsewhere regardless of the retry budget", "[proxy][service]")
{
    Fixture group;
    // Far more retries than the retry budget would allow.
    for (int read = 0; read < 200; ++read) {
        INFO("read " << read);
        // A status query may occupy a connection for a moment.
        group.service.submit(group.now, group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness));
        group.run(50ms);
        REQUIRE_FALSE(group.statements.empty());
        const auto first = group.statements.back();
        group.statements.clear();
        group.reply(first, failed(FailureCode::Lagging));
        group.run(50ms);
        REQUIRE(group.statements.size() == 1);
        CHECK(group.delegate.targets.at(group.statements[0].connection) != group.delegate.targets.at(first.connection));
        group.reply(group.statements[0], { Session::Success { "signed", {} }, TransactionState::Idle, {}, {} });
        group.statements.clear();
    }
    CHECK(std::all_of(group.delegate.results.begin(), group.delegate.results.end(),
        [](const StatementResult& result) { return std::holds_alternative<Session::Success>(result.answer.body); }));
}

TEST_CASE("A write whose answer is lost is reported in doubt and never sent again", "[proxy][service]")
{
    Fixture group;
    group.service.submit(group.now, group.makeStatement(StatementKind::Write, Consistency::Current));
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);

    SECTION("the connection is lost")
    {
        group.service.connectionLost(group.now, group.statements[0].connection);
    }
    SECTION("no answer arrives within the time limit")
    {
        group.run(1s);
    }
    REQUIRE(group.failure());
    CHECK(group.failure()->code == FailureCode::InDoubt);
    group.run(1s);
    CHECK(group.statements.size() == 1);
    CHECK(group.delegate.closed.contains(group.statements[0].connection));
}

TEST_CASE("A read whose connection is lost is sent again", "[proxy][service]")
{
    Fixture group;
    group.service.submit(group.now, group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness));
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);
    group.service.connectionLost(group.now, group.statements[0].connection);
    group.run(20ms);
    CHECK(group.statements.size() == 2);
    CHECK(group.delegate.results.empty());
}

TEST_CASE("The first statement of a transaction is not sent before the begin has succeeded", "[proxy][service]")
{
    Fixture group;
    auto first = group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness);
    first.startsTransaction = true;
    first.isReadOnlyTransaction = true;
    group.service.submit(group.now, first);
    group.delegate.sent.erase(std::remove_if(group.delegate.sent.begin(), group.delegate.sent.end(),
                                  [](const auto& sent) { return std::holds_alternative<QueryStatus>(sent.request); }),
        group.delegate.sent.end());
    REQUIRE(group.delegate.sent.size() == 1);
    CHECK(std::holds_alternative<BeginTransaction>(group.delegate.sent[0].request));
    const auto begin = group.delegate.sent[0];
    group.delegate.sent.clear();

    SECTION("a refused begin is sent to another target")
    {
        group.reply(begin, failed(FailureCode::Lagging));
        group.run(20ms);
        CHECK(group.statements.size() == 1);
        CHECK(group.delegate.targets.at(group.statements[0].connection) != group.delegate.targets.at(begin.connection));
    }
    SECTION("a connection lost after the statement was sent is reported as a rollback")
    {
        group.reply(begin, { Session::Success {}, TransactionState::Open, {}, {} });
        group.run(20ms);
        REQUIRE(group.statements.size() == 1);
        group.service.connectionLost(group.now, begin.connection);
        REQUIRE(group.failure());
        CHECK(group.failure()->code == FailureCode::Aborted);
    }
}

TEST_CASE("The connection of an abandoned statement is reused", "[proxy][service]")
{
    Fixture group;
    const auto abandoned = group.makeStatement(StatementKind::Write, Consistency::Current);
    group.service.submit(group.now, abandoned);
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);
    group.service.abandon(group.now, abandoned.id);
    group.reply(group.statements[0], { Session::Success { "signed", {} }, TransactionState::Idle, {}, {} });
    CHECK(group.delegate.results.empty());
    group.service.submit(group.now, group.makeStatement(StatementKind::Write, Consistency::Current));
    group.run(20ms);
    CHECK(group.statements.size() == 2);
}

// Guards against failed writes, or a needless failover, when a partition separates some hosts from a primary that other
// hosts still reach.
TEST_CASE("A target that this host can't reach is reached through a relay that can", "[proxy][service][load]")
{
    Fixture group;
    const SocketAddress cutOff { "10.9.0.1", 1 };
    const SocketAddress reaching { "10.9.0.1", 2 };
    group.delegate.relayAddresses = { cutOff, reaching };
    group.refusingRelays = { cutOff };
    group.unresponsive = { TargetName("p") };
    // A target without other requests is queried each second.
    group.run(2s);
    CHECK(group.service.watcher().failoverReason(group.now) == FailoverReason::None);
    CHECK_FALSE(group.service.reachesDirectly(group.now, TargetName("p")));

    group.service.submit(group.now, group.makeStatement(StatementKind::Write, Consistency::Current));
    group.run(100ms);
    REQUIRE(group.statements.size() == 1);
    CHECK(group.delegate.relayOf.at(group.statements[0].connection) == reaching);
    group.reply(group.statements[0], { Session::Success { "signed", {} }, TransactionState::Idle, {}, {} });

    SECTION("the direct path is used again once it works")
    {
        group.unresponsive.clear();
        group.run(2s);
        CHECK(group.service.reachesDirectly(group.now, TargetName("p")));
    }
    SECTION("a target that no relay reaches is down")
    {
        group.refusingRelays = { cutOff, reaching };
        for (const auto& [id, relay] : group.delegate.relayOf) {
            if (relay && !group.delegate.closed.contains(id))
                group.service.connectionLost(group.now, id);
        }
        group.run(3s);
        CHECK(group.service.watcher().failoverReason(group.now) == FailoverReason::Down);
    }
}

// Guards against reads that wait for a busy primary for too long. The replicas fall behind for a while and the primary
// alone can't serve all reads, so waiting reads have to return to the replicas as soon as these have caught up.
TEST_CASE("A target that refuses connections is logged once, and once when it accepts them again", "[proxy][service]")
{
    Fixture test;
    test.refusing = { TargetName("r"), FailureCode::Failed };
    for (const auto& [id, target] : test.delegate.targets) {
        if (target == TargetName("r"))
            test.service.connectionLost(test.now, id);
    }
    test.run(2s);
    CHECK(test.refusals > 5);
    CHECK(test.delegate.countOf(LogEvent::TargetConnectFailed) == 1);
    SECTION("another reason is logged as well")
    {
        test.refusing->second = FailureCode::Misrouted;
        test.run(1s);
        CHECK(test.delegate.countOf(LogEvent::TargetConnectFailed) == 2);
    }
    SECTION("it accepts connections again")
    {
        test.refusing.reset();
        test.run(1s);
        CHECK(test.delegate.countOf(LogEvent::TargetConnectSucceeded) == 1);
    }
}

TEST_CASE("A command for a target that is no longer a member is dropped", "[proxy][service]")
{
    Fixture group;
    const TargetName formerPrimary("p");
    group.records[0].isLeaving = true;
    group.service.setMembers(group.now, group.records);
    group.run(200ms);
    // The former primary is to be demoted, but none of its connections is idle.
    group.unresponsive = { formerPrimary };
    group.service.leaseRead(group.now, PromotionLeaseRow {});
    group.service.leaseWritten(group.now, std::optional(RowVersion(1)));
    group.run(400ms);
    REQUIRE(group.service.promotion().state() == "Demoting");

    // Another target stands for the log at its address.
    group.records[0].name = TargetName("restarted");
    group.records[0].incarnation = TargetIncarnation(99);
    group.service.setMembers(group.now, group.records);
    for (const auto& [id, target] : group.delegate.targets) {
        if (target == formerPrimary && !group.delegate.closed.contains(id))
            group.service.connectionLost(group.now, id);
    }
    group.run(100ms);
    group.service.setMembers(group.now, group.records);
    group.run(100ms);
    CHECK_FALSE(group.service.pools().contains(formerPrimary));
}

TEST_CASE("Reads return to replicas that have caught up while the primary is full", "[proxy][service]")
{
    Fixture group;
    constexpr std::size_t reads = 30;
    for (std::size_t count = 0; count < reads; ++count)
        group.service.submit(group.now, group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness));
    const LogPoint behind { Term(1), Position(9) };
    std::size_t refusals = 0;
    const auto answerReplicas = [&](bool areBehind) {
        for (const auto& sent : std::exchange(group.statements, {})) {
            if (group.delegate.targets.at(sent.connection) == TargetName("p"))
                continue;
            if (areBehind)
                ++refusals;
            group.reply(sent,
                areBehind
                    ? TargetReply { Session::Failure { FailureCode::Lagging, "" }, TransactionState::Idle, behind, {} }
                    : TargetReply {
                        Session::Success {}, TransactionState::Idle, LogPoint { Term(1), Position(10) }, {} });
        }
        group.run(10ms);
    };
    constexpr int roundsBehind = 20;
    for (int round = 0; round < roundsBehind; ++round)
        answerReplicas(true);
    const auto refusedBehind = refusals;
    constexpr int roundsAfter = 30;
    for (int round = 0; round < roundsAfter; ++round)
        answerReplicas(false);

    const auto served = std::count_if(group.delegate.results.begin(), group.delegate.results.end(),
        [](const StatementResult& result) { return std::holds_alternative<Session::Success>(result.answer.body); });
    // The primary never answers its reads; their number is limited by the connections that this host may open to it.
    CHECK(served >= 20);
    // A lagging replica is tried again at intervals, not by every waiting read.
    CHECK(refusedBehind <= 2 * reads);
}

namespace {

/// Submits reads one after another and answers each after a time that depends on its target.
/// @return how many reads each target answered.
std::map<TargetName, int> serveReads(
    Fixture& group, int reads, const std::function<std::optional<TargetReply>(const TargetName&)>& replyOf)
{
    std::map<TargetName, int> served;
    for (int read = 0; read < reads; ++read) {
        group.service.submit(group.now, group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness));
        for (int step = 0; step < 12 && group.unanswered.empty(); ++step)
            group.run(10ms);
        for (const auto& sent : std::exchange(group.statements, {})) {
            const auto target = group.delegate.targets.at(sent.connection);
            ++served[target];
            if (const auto reply = replyOf(target))
                group.reply(sent, *reply);
        }
        group.run(20ms);
    }
    return served;
}

} // namespace

// Guards against a replica that answers status queries at once and statements late, and keeps its reads.
TEST_CASE("Reads move away from a replica that answers them slowly", "[proxy][service][load]")
{
    Fixture group;
    const auto slow = TargetName("r");
    const auto served = serveReads(group, 100, [&](const TargetName& target) {
        if (target == slow)
            group.now += 150ms;
        return TargetReply { Session::Success {}, TransactionState::Idle, {}, {} };
    });
    CHECK(served.at(TargetName("s")) > 60);
    CHECK((served.contains(slow) ? served.at(slow) : 0) < 25);
}

// Guards against a full target that is tried again at once.
TEST_CASE("Reads avoid a replica for a time after it refused one for lack of capacity", "[proxy][service][load]")
{
    Fixture group;
    const auto full = TargetName("r");
    int refusals = 0;
    for (int read = 0; read < 100; ++read) {
        group.service.submit(group.now, group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness));
        group.run(10ms);
        for (const auto& sent : std::exchange(group.statements, {})) {
            const bool isFull = group.delegate.targets.at(sent.connection) == full;
            refusals += isFull ? 1 : 0;
            group.reply(sent,
                isFull ? failed(FailureCode::Busy)
                       : TargetReply { Session::Success {}, TransactionState::Idle, {}, {} });
        }
    }
    // One second of reads: pauses of 50, 100, 200, 400 and 800 ms.
    CHECK(refusals > 0);
    CHECK(refusals <= 6);
}

// Guards against a replica that answers status queries and loses the statements.
TEST_CASE("Reads move away from a replica that does not answer them", "[proxy][service][load]")
{
    Fixture group;
    const auto lossy = TargetName("r");
    int lost = 0;
    const auto served = serveReads(group, 100, [&](const TargetName& target) -> std::optional<TargetReply> {
        if (target != lossy)
            return TargetReply { Session::Success {}, TransactionState::Idle, {}, {} };
        ++lost;
        group.run(900ms);
        return {};
    });
    CHECK(lost < 15);
    CHECK(served.at(TargetName("s")) > 60);
}

TEST_CASE("Statements that the waiting ones leave no time are refused at once and never sent", "[proxy][service]")
{
    // Guards against holding statements of an overload up to their deadline.
    Fixture group;
    const auto submit = [&group](std::size_t count, std::uint32_t priority) {
        for (std::size_t index = 0; index < count; ++index) {
            auto pending = group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness);
            pending.route.priority = priority;
            group.service.submit(group.now, std::move(pending));
        }
    };
    const auto answerFor = [&group](Duration length) {
        for (const auto end = group.now + length; group.now < end;) {
            constexpr std::size_t answersPerRound = 3;
            for (std::size_t answered = 0; answered < answersPerRound && !group.statements.empty(); ++answered) {
                const auto sent = group.statements.front();
                group.statements.erase(group.statements.begin());
                group.reply(sent, { Session::Success {}, TransactionState::Idle, {}, {} });
            }
            group.run(10ms);
        }
    };
    submit(150, 1);
    answerFor(300ms);
    const auto countFailures = [&group] {
        return std::count_if(group.delegate.results.begin(), group.delegate.results.end(),
            [](const auto& result) { return std::holds_alternative<Session::Failure>(result.answer.body); });
    };
    REQUIRE(countFailures() == 0);
    submit(400, 1);
    const auto refused = countFailures();
    CHECK(refused > 100);
    CHECK(refused < 300);
    REQUIRE(group.failure());
    CHECK(group.failure()->code == FailureCode::Busy);
    CHECK(group.failure()->text.find("retry after") != std::string::npos);
    CHECK(group.delegate.results.back().attempts == 0);
    // Guards against refused callers that all return in one moment.
    std::set<std::string> texts;
    for (const auto& result : group.delegate.results) {
        if (const auto* const failure = std::get_if<Session::Failure>(&result.answer.body))
            texts.insert(failure->text);
    }
    CHECK(static_cast<std::ptrdiff_t>(texts.size()) > refused / 2);
    // A statement of a higher priority does not wait for the others.
    submit(1, 0);
    CHECK(countFailures() == refused);
    answerFor(800ms);
    CHECK(group.service.waiting() == 0);
    CHECK(countFailures() - refused < 60);
}

TEST_CASE("The cost of an event does not grow with the number of waiting statements", "[proxy][service][load]")
{
    // Guards against trying each waiting statement for each event, which keeps a loaded host from its work.
    Fixture group;
    constexpr std::size_t waiting = 600;
    for (std::size_t count = 0; count < waiting; ++count) {
        group.service.submit(group.now, group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness));
        group.service.submit(group.now, group.makeStatement(StatementKind::Write, Consistency::BoundedStaleness));
        group.service.submit(group.now, group.makeStatement(StatementKind::Read, Consistency::Current));
    }
    group.run(100ms);
    REQUIRE(group.service.waiting() > 2 * waiting);
    const auto before = group.service.dispatchAttempts();
    constexpr std::uint64_t ticks = 10;
    group.run(100ms);
    // A few for each lane and each reply to a status query; each statement once, when its confirmation has come.
    CHECK(group.service.dispatchAttempts() - before < 20 * ticks);
}

TEST_CASE("Statements that wait for the primary don't hold up reads of replicas", "[proxy][service]")
{
    // Guards against an early stop that also stops for statements which another target can serve.
    Fixture group;
    for (std::size_t count = 0; count < 50; ++count) {
        auto write = group.makeStatement(StatementKind::Write, Consistency::BoundedStaleness);
        write.route.priority = 0;
        group.service.submit(group.now, std::move(write));
    }
    group.run(50ms);
    REQUIRE(group.service.waiting() > 20);
    group.statements.clear();
    group.service.submit(group.now, group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness));
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);
    CHECK(group.delegate.targets.at(group.statements.front().connection) != TargetName("p"));
}

TEST_CASE("Statements that can't use the targets with room don't hold up others", "[proxy][service]")
{
    // Guards against an early stop at statements which the only target with room has refused.
    Fixture group;
    const auto submitReads = [&group](std::size_t count, bool avoidsReplicas) {
        for (std::size_t index = 0; index < count; ++index) {
            auto read = group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness);
            if (avoidsReplicas)
                read.avoidedTargets = { TargetName("r"), TargetName("s") };
            read.route.priority = avoidsReplicas ? 0 : 1;
            group.service.submit(group.now, std::move(read));
        }
    };
    submitReads(200, true);
    group.run(50ms);
    REQUIRE(group.service.waiting() > 100);
    group.statements.clear();
    submitReads(1, false);
    group.run(100ms);
    REQUIRE(group.statements.size() == 1);
    CHECK(group.delegate.targets.at(group.statements.front().connection) != TargetName("p"));
}

TEST_CASE("A flood of one organisation leaves another its share of a group", "[proxy][service]")
{
    // Guards against an organisation at several times its usual rate that takes the service time of others.
    Fixture group;
    const OrganisationName flooding("flooding");
    const OrganisationName calm("calm");
    const auto submit = [&group](const OrganisationName& organisation, std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            auto pending = group.makeStatement(StatementKind::Read, Consistency::BoundedStaleness);
            pending.organisation = organisation;
            group.service.submit(group.now, std::move(pending));
        }
    };
    submit(flooding, 300);
    group.run(30ms);
    constexpr std::size_t calmCount = 10;
    submit(calm, calmCount);
    std::set<SessionId> calmSessions;
    for (std::uint64_t id = group.lastId - calmCount + 1; id <= group.lastId; ++id)
        calmSessions.insert(SessionId(id));
    // Two answers in 10 ms: half of them, in this time, are more than the calm organisation needs.
    constexpr int rounds = 25;
    for (int round = 0; round < rounds; ++round) {
        for (int answered = 0; answered < 2 && !group.statements.empty(); ++answered) {
            const auto sent = group.statements.front();
            group.statements.erase(group.statements.begin());
            group.reply(sent, { Session::Success {}, TransactionState::Idle, {}, {} });
        }
        group.run(10ms);
    }
    const auto served = std::count_if(
        group.delegate.results.begin(), group.delegate.results.end(), [&calmSessions](const StatementResult& result) {
            return calmSessions.contains(result.session)
                && std::holds_alternative<Session::Success>(result.answer.body);
        });
    CHECK(served == calmCount);
}

TEST_CASE("A statement past its latency target gives way to one that can meet its own", "[proxy][service]")
{
    // Guards against an order in which each statement of an overload is served too late.
    Fixture group;
    for (std::size_t count = 0; count < 40; ++count)
        group.service.submit(group.now, group.makeStatement(StatementKind::Write, Consistency::BoundedStaleness));
    group.run(20ms);
    auto late = group.makeStatement(StatementKind::Write, Consistency::BoundedStaleness);
    late.route.priority = 0;
    late.route.latencyTarget = 50ms;
    const auto lateId = late.statementId = Session::StatementId("late");
    group.service.submit(group.now, std::move(late));
    group.run(60ms);
    group.statements.clear();
    const auto connection = *group.unanswered.begin();
    group.reply({ connection, QueryStatus {} }, { Session::Success {}, TransactionState::Idle, {}, {} });
    group.run(10ms);
    REQUIRE(group.statements.size() == 1);
    CHECK(std::get<RunStatement>(group.statements.front().request).id != lateId);
}

TEST_CASE("Idle transactions have less time while statements wait for connections", "[proxy][service]")
{
    // Guards against idle transactions that hold the connections which other callers wait for.
    CHECK(transactionIdleLimit(6s, false) == 6s);
    CHECK(transactionIdleLimit(6s, true) == 1500ms);
    CHECK(transactionIdleLimit(1s, true) == 500ms);
    CHECK(transactionIdleLimit(300ms, true) == 300ms);

    Fixture group;
    for (std::size_t count = 0; count < 40; ++count)
        group.service.submit(group.now, group.makeStatement(StatementKind::Write, Consistency::BoundedStaleness));
    group.run(100ms);
    CHECK_FALSE(group.service.isShortOfConnections(group.now));
    group.run(200ms);
    CHECK(group.service.isShortOfConnections(group.now));
    const auto dump = describeGroup(group.now, group.service);
    CHECK(dump.at("short_of_connections") == true);
    CHECK(dump.at("dispatch_attempts") >= 2);
    CHECK(dump.at("service_times").size() == 3);
    group.run(1s);
    CHECK(group.service.waiting() == 0);
    CHECK_FALSE(group.service.isShortOfConnections(group.now));
}
