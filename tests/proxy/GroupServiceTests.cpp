#include "proxy/GroupService.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;
using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

namespace {

/// Connections that open at once to targets that answer status questions at once, unless they are silent.
struct Surroundings final : GroupActions {
    struct Sent {
        ConnectionId connection;
        TargetRequest request;
    };

    std::map<ConnectionId, TargetName> targets;
    std::map<ConnectionId, std::optional<SocketAddress>> relayOf;
    std::vector<SocketAddress> known;
    std::vector<ConnectionId> opened;
    std::vector<Sent> sent;
    std::vector<WorkResult> results;
    std::set<ConnectionId> closed;
    std::uint64_t lastConnection { 0 };
    RandomEngine engine { 1 };

    void openConnection(ConnectionId id, const TargetRecord& target, const std::optional<SocketAddress>& relay) override
    {
        targets[id] = target.name;
        relayOf[id] = relay;
        opened.push_back(id);
    }
    void closeConnection(ConnectionId id) override { closed.insert(id); }
    void send(ConnectionId id, const std::vector<TargetRequest>& requests) override
    {
        for (const auto& request : requests)
            sent.push_back({ id, request });
    }
    void readClaim(const GroupName&) override { }
    void writeClaim(const GroupName&, const Claim&, RowVersion) override { }
    void promote(const GroupName&, const TargetName&, RowVersion, Instant) override { }
    void finished(const WorkResult& result) override { results.push_back(result); }
    void transactionLost(SessionId) override { }
    void log(const LogRecord&) override { }
    ConnectionId nextConnectionId() override { return ConnectionId(++lastConnection); }
    RandomEngine& random() override { return engine; }
    [[nodiscard]] const std::vector<SocketAddress>& relays() const override { return known; }
};

/// A group of a primary and two replicas, served by one host.
struct Fixture {
    Instant now { 100s };
    Surroundings actions;
    GroupService service { HostName("host"), GroupName("group"), actions };
    std::set<TargetName> silent;
    /// Hosts that have no way to the silent targets either.
    std::set<SocketAddress> refusing;
    std::uint64_t lastWork { 0 };

    Fixture()
    {
        service.setRules({ 50, 1 });
        std::vector<TargetRecord> records(3);
        for (std::size_t index = 0; index < records.size(); ++index) {
            records[index].name = TargetName(std::string(1, "prs"[index]));
            records[index].address = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
            records[index].slots = 3;
        }
        service.setMembers(now, records);
        run(100ms);
    }

    /// Goes on in ticks; opens connections and answers what is not a caller's statement.
    void run(Duration length)
    {
        for (const auto end = now + length; now < end; now += 10ms) {
            service.tick(now);
            answerOwnRequests();
        }
    }

    void answerOwnRequests()
    {
        for (const auto id : std::exchange(actions.opened, {})) {
            const auto& relay = actions.relayOf.at(id);
            if (relay && refusing.contains(*relay))
                service.connectionRefused(now, id, FailureCode::Failed);
            else if (relay || !silent.contains(actions.targets.at(id)))
                service.connectionOpened(now, id, {});
        }
        for (const auto& sent : std::exchange(actions.sent, {})) {
            const auto& target = actions.targets.at(sent.connection);
            if (silent.contains(target) && !actions.relayOf.at(sent.connection))
                continue;
            // A target answers in order: what follows a statement waits for its reply.
            if (unanswered.contains(sent.connection)) {
                behind.push_back(sent);
                continue;
            }
            if (std::holds_alternative<RunStatement>(sent.request)) {
                unanswered.insert(sent.connection);
                statements.push_back(sent);
                continue;
            }
            TargetReply reply { Session::Success {}, TransactionState::Idle, {}, {} };
            if (std::holds_alternative<BeginTransaction>(sent.request))
                reply.state = TransactionState::Open;
            reply.standing = TargetStanding {};
            reply.standing->isPrimary = target == TargetName("p");
            reply.standing->term = Term(1);
            reply.standing->received = { Term(1), Position(10) };
            service.replied(now, sent.connection, reply);
        }
    }

    Work work(StatementKind kind, Consistency consistency)
    {
        Work made;
        made.id = WorkId(++lastWork);
        made.session = SessionId(made.id.value());
        made.statement.kind = kind;
        made.access = kind == StatementKind::Write ? Session::Access::Write : Session::Access::Read;
        made.route = { GroupName("group"), consistency, 800ms, 1, 1500ms };
        made.arrivedAt = now;
        made.freshAsOf = now;
        made.deadline = now + made.route.statementTimeout;
        return made;
    }

    [[nodiscard]] const Session::Failure* failure() const
    {
        return actions.results.empty() ? nullptr : std::get_if<Session::Failure>(&actions.results.back().answer.body);
    }

    void reply(const Surroundings::Sent& sent, const TargetReply& answer)
    {
        unanswered.erase(sent.connection);
        service.replied(now, sent.connection, answer);
        for (const auto& next : std::exchange(behind, {}))
            actions.sent.push_back(next);
    }

    std::vector<Surroundings::Sent> statements;
    std::set<ConnectionId> unanswered;
    std::vector<Surroundings::Sent> behind;
};

TargetReply failed(FailureCode code)
{
    return { Session::Failure { code, "" }, TransactionState::Idle, {}, {} };
}

} // namespace

TEST_CASE("A write goes to the primary, a read that accepts some age to a replica", "[proxy][service]")
{
    Fixture group;
    group.service.submit(group.now, group.work(StatementKind::Write, Consistency::BoundedStaleness));
    group.service.submit(group.now, group.work(StatementKind::Read, Consistency::BoundedStaleness));
    group.run(20ms);
    REQUIRE(group.statements.size() == 2);
    CHECK(group.actions.targets.at(group.statements[0].connection) == TargetName("p"));
    CHECK(group.actions.targets.at(group.statements[1].connection) != TargetName("p"));
    CHECK(std::get<RunStatement>(group.statements[1].request).after);
}

TEST_CASE(
    "What waits for a primary that can't be replaced is refused at once, with when to come back", "[proxy][service]")
{
    Fixture group;
    group.silent = { TargetName("p"), TargetName("r") };
    group.run(3s);
    group.service.submit(group.now, group.work(StatementKind::Write, Consistency::Current));
    group.run(20ms);
    REQUIRE(group.failure());
    CHECK(group.failure()->code == FailureCode::Busy);
    CHECK(group.failure()->text.find("retry after 1000 ms") != std::string::npos);

    SECTION("with enough members left it waits for the promotion")
    {
        Fixture other;
        other.silent = { TargetName("p") };
        other.run(3s);
        other.service.submit(other.now, other.work(StatementKind::Write, Consistency::Current));
        other.run(20ms);
        CHECK(other.actions.results.empty());
        other.run(1s);
        REQUIRE(other.failure());
        CHECK(other.failure()->code == FailureCode::Busy);
    }
}

TEST_CASE("A replica that lacks the position is passed over, without a limit on such retries", "[proxy][service]")
{
    Fixture group;
    // Far more than a budget of retries would pay for.
    for (int read = 0; read < 200; ++read) {
        INFO("read " << read);
        // A status question may hold a connection for a moment.
        group.service.submit(group.now, group.work(StatementKind::Read, Consistency::BoundedStaleness));
        group.run(50ms);
        REQUIRE_FALSE(group.statements.empty());
        const auto first = group.statements.back();
        group.statements.clear();
        group.reply(first, failed(FailureCode::Lagging));
        group.run(50ms);
        REQUIRE(group.statements.size() == 1);
        CHECK(group.actions.targets.at(group.statements[0].connection) != group.actions.targets.at(first.connection));
        group.reply(group.statements[0], { Session::Success { "signed", {} }, TransactionState::Idle, {}, {} });
        group.statements.clear();
    }
    CHECK(std::all_of(group.actions.results.begin(), group.actions.results.end(),
        [](const WorkResult& result) { return std::holds_alternative<Session::Success>(result.answer.body); }));
}

TEST_CASE("A write whose answer is lost is in doubt, and is never sent again", "[proxy][service]")
{
    Fixture group;
    group.service.submit(group.now, group.work(StatementKind::Write, Consistency::Current));
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);

    SECTION("with its connection")
    {
        group.service.connectionLost(group.now, group.statements[0].connection);
    }
    SECTION("within its time limit")
    {
        group.run(1s);
    }
    REQUIRE(group.failure());
    CHECK(group.failure()->code == FailureCode::InDoubt);
    group.run(1s);
    CHECK(group.statements.size() == 1);
    CHECK(group.actions.closed.contains(group.statements[0].connection));
}

TEST_CASE("A read whose connection is lost is tried elsewhere", "[proxy][service]")
{
    Fixture group;
    group.service.submit(group.now, group.work(StatementKind::Read, Consistency::BoundedStaleness));
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);
    group.service.connectionLost(group.now, group.statements[0].connection);
    group.run(20ms);
    CHECK(group.statements.size() == 2);
    CHECK(group.actions.results.empty());
}

TEST_CASE("The statement of a transaction is not sent before its begin has succeeded", "[proxy][service]")
{
    Fixture group;
    auto first = group.work(StatementKind::Read, Consistency::BoundedStaleness);
    first.startsTransaction = true;
    first.isReadOnlyTransaction = true;
    group.service.submit(group.now, first);
    group.actions.sent.erase(std::remove_if(group.actions.sent.begin(), group.actions.sent.end(),
                                 [](const auto& sent) { return std::holds_alternative<AskStanding>(sent.request); }),
        group.actions.sent.end());
    REQUIRE(group.actions.sent.size() == 1);
    CHECK(std::holds_alternative<BeginTransaction>(group.actions.sent[0].request));
    const auto begin = group.actions.sent[0];
    group.actions.sent.clear();

    SECTION("a refused begin goes to another target, and nothing ran")
    {
        group.reply(begin, failed(FailureCode::Lagging));
        group.run(20ms);
        CHECK(group.statements.size() == 1);
        CHECK(group.actions.targets.at(group.statements[0].connection) != group.actions.targets.at(begin.connection));
    }
    SECTION("a lost connection after the statement rolls back, which is a promise")
    {
        group.reply(begin, { Session::Success {}, TransactionState::Open, {}, {} });
        group.run(20ms);
        REQUIRE(group.statements.size() == 1);
        group.service.connectionLost(group.now, begin.connection);
        REQUIRE(group.failure());
        CHECK(group.failure()->code == FailureCode::Aborted);
    }
}

TEST_CASE("A caller that leaves costs no connection", "[proxy][service]")
{
    Fixture group;
    const auto left = group.work(StatementKind::Write, Consistency::Current);
    group.service.submit(group.now, left);
    group.run(20ms);
    REQUIRE(group.statements.size() == 1);
    group.service.abandon(group.now, left.id);
    group.reply(group.statements[0], { Session::Success { "signed", {} }, TransactionState::Idle, {}, {} });
    CHECK(group.actions.results.empty());
    group.service.submit(group.now, group.work(StatementKind::Write, Consistency::Current));
    group.run(20ms);
    CHECK(group.statements.size() == 2);
}

// Answers writes from hosts that a partition cuts off from a primary which others still reach.
TEST_CASE("A target that this host can't reach is reached through one that can", "[proxy][service][load]")
{
    Fixture group;
    const SocketAddress cutOff { "10.9.0.1", 1 };
    const SocketAddress reaching { "10.9.0.1", 2 };
    group.actions.known = { cutOff, reaching };
    group.refusing = { cutOff };
    group.silent = { TargetName("p") };
    // A quiet target is asked each second.
    group.run(2s);
    CHECK(group.service.watcher().trouble(group.now) == PrimaryTrouble::None);
    CHECK_FALSE(group.service.reachesDirectly(group.now, TargetName("p")));

    group.service.submit(group.now, group.work(StatementKind::Write, Consistency::Current));
    group.run(100ms);
    REQUIRE(group.statements.size() == 1);
    CHECK(group.actions.relayOf.at(group.statements[0].connection) == reaching);
    group.reply(group.statements[0], { Session::Success { "signed", {} }, TransactionState::Idle, {}, {} });

    SECTION("and directly again once that answers")
    {
        group.silent.clear();
        group.run(2s);
        CHECK(group.service.reachesDirectly(group.now, TargetName("p")));
    }
    SECTION("nobody's way means that it is down")
    {
        group.refusing = { cutOff, reaching };
        for (const auto& [id, relay] : group.actions.relayOf) {
            if (relay && !group.actions.closed.contains(id))
                group.service.connectionLost(group.now, id);
        }
        group.run(3s);
        CHECK(group.service.watcher().trouble(group.now) == PrimaryTrouble::Down);
    }
}

// Answers a load of reads whose replicas fall behind for a while and which the primary alone can't carry: what waits
// has to go back to the replicas as soon as these have caught up.
TEST_CASE("Reads return to replicas that have caught up while the primary is full", "[proxy][service]")
{
    Fixture group;
    constexpr std::size_t reads = 30;
    for (std::size_t count = 0; count < reads; ++count)
        group.service.submit(group.now, group.work(StatementKind::Read, Consistency::BoundedStaleness));
    const LogPoint behind { Term(1), Position(9) };
    std::size_t refusals = 0;
    const auto answerReplicas = [&](bool areBehind) {
        for (const auto& sent : std::exchange(group.statements, {})) {
            if (group.actions.targets.at(sent.connection) == TargetName("p"))
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

    const auto served = std::count_if(group.actions.results.begin(), group.actions.results.end(),
        [](const WorkResult& result) { return std::holds_alternative<Session::Success>(result.answer.body); });
    // The primary answers none of those that it got, at most its share of connections.
    CHECK(served >= 20);
    // A replica that is behind is asked again now and then, not by each waiting read.
    CHECK(refusedBehind <= 2 * reads);
}
