#include "platform/CallerCodec.h"
#include "platform/RowDecoder.h"
#include "proxy/Proxy.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/SessionRecorder.h"

using namespace Auburnpost;
using namespace Auburnpost::Platform;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr Instant start { 100s };
const DatabaseName database("orders");

Proxy::ProxySettings settings(bool areLimitsEnforced)
{
    Proxy::ProxySettings settings;
    settings.host = HostName("front-1");
    settings.relay = { "10.1.0.1", 7440 };
    settings.sessions = { "10.1.0.1", 7455 };
    if (areLimitsEnforced)
        settings.allotments = Limit::AllotmentRules { 5s, 0.1, 0 };
    return settings;
}

Proxy::StorePage configurationPage(bool hasLimit)
{
    json organisation { { "Name", "miny420" }, { "ApiKeys", { "key-1" } }, { "Priority", 1 } };
    if (hasLimit)
        organisation.update({ { "RatePerS", 2 }, { "Burst", 4 } });
    const json configuration { { "Version", 4 },
        { "Routes",
            { { { "Name", "r" }, { "Host", database.value() }, { "Kind", "primary" }, { "TimeoutMs", 2000 },
                { "LatencyTargetMs", 500 }, { "Service", "group" } } } },
        { "Services", { { { "Name", "group" }, { "ConnectionLimit", 48 }, { "SyncReplicas", 1 } } } },
        { "Limits", json::object() }, { "Tenants", { organisation } } };
    Proxy::StorePage page;
    page.rows.push_back({ "config", Proxy::RowVersion(4), configuration.dump(), false });
    page.asOf = Proxy::RowVersion(4);
    redactKeys(page);
    return page;
}

/// A host on its own that has read a configuration and the hosts' records, and has run for long enough to have permits.
struct Fixture {
    explicit Fixture(bool areLimitsEnforced = true, bool hasLimit = true, const std::string& otherHost = {})
        : proxy(start, settings(areLimitsEnforced), decoder, delegate, 1)
    {
        proxy.tableRead(start, Proxy::StoreTable::Configuration, configurationPage(hasLimit));
        Proxy::StorePage hosts;
        if (!otherHost.empty())
            hosts.rows.push_back({ otherHost, Proxy::RowVersion(1),
                Proxy::HostDirectory::encode(
                    { HostName(otherHost), DataCentreName("west"), { "10.1.0.2", 7440 }, { "10.1.0.2", 7455 } }),
                false });
        proxy.tableRead(start, Proxy::StoreTable::Hosts, hosts);
        for (; now < start + 25s; now += Proxy::Proxy::tickInterval)
            proxy.tick(now);
    }

    Proxy::SessionId open()
    {
        const Proxy::SessionId id(++lastSession);
        proxy.sessionOpened(now, id, sessionRequestOf(OpenSession { database, "key-1", {} }, false));
        return id;
    }
    void send(Proxy::SessionId id, Session::StatementKind kind)
    {
        Session::Statement statement;
        statement.kind = kind;
        statement.text = "x";
        proxy.statementArrived(now, id, Session::StatementId("id"), statement);
    }
    /// @return how many of as many sessions get no answer at once, because their statement waits for a target.
    std::size_t admittedOf(std::size_t count)
    {
        std::size_t admitted = 0;
        for (std::size_t index = 0; index < count; ++index) {
            lastRefused = open();
            send(lastRefused, Session::StatementKind::Read);
            admitted += delegate.answers.contains(lastRefused) ? 0 : 1;
        }
        return admitted;
    }
    [[nodiscard]] std::size_t refusalLines() const
    {
        return static_cast<std::size_t>(std::count_if(delegate.records.begin(), delegate.records.end(),
            [](const LogRecord& record) { return record.event == LogEvent::RateLimitExceeded; }));
    }

    SessionRecorder delegate;
    RowDecoder decoder;
    Proxy::Proxy proxy;
    Instant now { start };
    std::uint64_t lastSession { 0 };
    Proxy::SessionId lastRefused;
};

} // namespace

TEST_CASE("Operations over the rate limit are refused with the time to wait", "[platform][allotments]")
{
    Fixture fixture;
    // 4 x 1.1 and half of the tolerated excess over 10 operations in a window are held at most.
    CHECK(fixture.admittedOf(50) == 4);
    const auto& answer = fixture.delegate.lastAnswers.at(fixture.lastRefused);
    const auto& failure = std::get<Session::Failure>(answer.body);
    CHECK(failure.code == Session::FailureCode::Busy);
    CHECK(failure.text.find("over the organisation's rate limit; retry after ") == 0);
    CHECK(answer.state == Session::TransactionState::Idle);
    CHECK(fixture.refusalLines() == 1);
    for (const auto end = fixture.now + 5s; fixture.now < end; fixture.now += Proxy::Proxy::tickInterval)
        fixture.proxy.tick(fixture.now);
    // One more for the refusals after the first, none while there are no more.
    CHECK(fixture.refusalLines() == 2);
    const auto state = json::parse(fixture.proxy.dump(fixture.now));
    CHECK(state["rate_limits"]["organisations"]["miny420"]["refused"] == 46);
}

// A transaction is one operation: a refusal in its middle would waste what it did.
TEST_CASE("The first statement of a transaction is refused over the limit", "[platform][allotments]")
{
    Fixture fixture;
    fixture.admittedOf(10);
    const auto id = fixture.open();
    fixture.send(id, Session::StatementKind::Begin);
    CHECK(std::holds_alternative<Session::Success>(fixture.delegate.lastAnswers.at(id).body));
    fixture.send(id, Session::StatementKind::Write);
    CHECK(fixture.delegate.lastAnswers.at(id).state == Session::TransactionState::Failed);
    CHECK(std::holds_alternative<Session::Failure>(fixture.delegate.lastAnswers.at(id).body));
    fixture.send(id, Session::StatementKind::Rollback);
    CHECK(fixture.delegate.lastAnswers.at(id).state == Session::TransactionState::Idle);
}

TEST_CASE("Nothing is limited or sent without limits", "[platform][allotments]")
{
    SECTION("the settings do not enforce limits")
    {
        Fixture fixture(false, true, "front-2");
        CHECK(fixture.admittedOf(50) == 50);
        CHECK(fixture.delegate.datagrams.empty());
        CHECK_FALSE(fixture.proxy.usesDatagrams());
    }
    SECTION("no organisation has a limit")
    {
        Fixture fixture(true, false, "front-2");
        CHECK(fixture.admittedOf(50) == 50);
        CHECK(fixture.delegate.datagrams.empty());
        CHECK_FALSE(fixture.proxy.usesDatagrams());
        CHECK_FALSE(json::parse(fixture.proxy.dump(fixture.now)).contains("rate_limits"));
    }
}

TEST_CASE("Hosts with limits send datagrams to the address for relays", "[platform][allotments]")
{
    Fixture fixture(true, true, "front-2");
    REQUIRE_FALSE(fixture.delegate.datagrams.empty());
    CHECK(fixture.delegate.datagrams.front() == SocketAddress { "10.1.0.2", 7440 });
}

// Guards against a log that anyone who reaches the port can fill.
TEST_CASE("Datagrams in another format cause one log line a second", "[platform][allotments]")
{
    Fixture fixture;
    for (int count = 0; count < 100; ++count)
        fixture.proxy.datagramReceived(fixture.now, { "10.9.0.1", 9 }, "nonsense");
    const auto lines = std::count_if(fixture.delegate.records.begin(), fixture.delegate.records.end(),
        [](const LogRecord& record) { return record.event == LogEvent::PeerMessageRejected; });
    CHECK(lines == 1);
}
