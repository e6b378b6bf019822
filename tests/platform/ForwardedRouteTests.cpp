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
const Proxy::SessionId session { 7 };

struct Edit {
    std::uint64_t version { 1 };
    std::string database { "orders" };
    std::string group { "group-a" };
    int timeoutMs { 2000 };
};

Proxy::StorePage configurationPage(const Edit& edit)
{
    json groups = json::array();
    for (const auto* const name : { "group-a", "group-b" })
        groups.push_back({ { "Name", name }, { "ConnectionLimit", 1 }, { "SyncReplicas", 1 } });
    const json configuration { { "Version", edit.version },
        { "Routes",
            { { { "Name", "r" }, { "Host", edit.database }, { "Kind", "primary" }, { "TimeoutMs", edit.timeoutMs },
                { "Service", edit.group } } } },
        { "Services", groups }, { "Limits", json::object() } };
    Proxy::StorePage page;
    page.asOf = Proxy::RowVersion(edit.version);
    page.rows.push_back({ "config", page.asOf, configuration.dump(), false });
    return page;
}

/// A host and what it tells its callers.
struct Host {
    explicit Host(const std::string& name)
        : proxy(start, settingsOf(name), decoder, delegate, 1)
    {
    }

    static Proxy::ProxySettings settingsOf(const std::string& name)
    {
        Proxy::ProxySettings settings;
        settings.host = HostName(name);
        settings.sessions = { "10.0.0.1", 1 };
        settings.relay = { "10.0.0.1", 2 };
        return settings;
    }
    void apply(Instant now, const Edit& edit)
    {
        proxy.tableRead(now, Proxy::StoreTable::Configuration, configurationPage(edit));
    }
    void send(Instant now, Session::StatementKind kind = Session::StatementKind::Read)
    {
        proxy.statementArrived(now, session, Session::StatementId("1a"), statementOf(kind));
    }
    static Session::Statement statementOf(Session::StatementKind kind)
    {
        Session::Statement statement;
        statement.kind = kind;
        return statement;
    }
    [[nodiscard]] std::optional<Session::FailureCode> lastFailure() const
    {
        const auto found = delegate.lastAnswers.find(session);
        const auto* const failure
            = found == delegate.lastAnswers.end() ? nullptr : std::get_if<Session::Failure>(&found->second.body);
        return failure ? std::optional(failure->code) : std::nullopt;
    }

    SessionRecorder delegate;
    RowDecoder decoder;
    Proxy::Proxy proxy;
};

/// A host that forwards its callers' sessions to another one.
struct ForwardingHost : Host {
    explicit ForwardingHost(bool readsRoutes = true)
        : Host("host-1")
    {
        Proxy::HostEntry home { HostName("host-2"), {}, { "10.0.0.2", 2 }, { "10.0.0.2", 1 } };
        // The host with far the largest processor share is the home of every group.
        home.processorShare = 1e9;
        home.readsRoutes = readsRoutes;
        Proxy::StorePage hosts;
        hosts.asOf = Proxy::RowVersion(1);
        hosts.rows.push_back({ "host-2", hosts.asOf, Proxy::HostDirectory::encode(home), false });
        proxy.tableRead(start, Proxy::StoreTable::Hosts, hosts);
        apply(start, {});
        proxy.sessionOpened(start, session, { database });
        REQUIRE(delegate.forwarded.contains(session));
    }

    /// @return whether the statement is to be forwarded.
    bool forwards(Session::StatementKind kind = Session::StatementKind::Read)
    {
        return proxy.forwardedStatementArrived(start + 1s, session, Session::StatementId("1a"), statementOf(kind));
    }
};

/// A home at which a session is open that a host forwarded by the configuration of version 1.
struct Home : Host {
    Home()
        : Host("host-2")
    {
        apply(start, {});
        const ForwardingHost other;
        auto request = other.delegate.forwarded.at(session);
        request.isForwarded = true;
        proxy.sessionOpened(start, session, request);
        REQUIRE(delegate.accepted.contains(session));
    }
};

Proxy::StatedRoute statedRoute(const Edit& edit)
{
    ForwardingHost host;
    host.apply(start + 1s, edit);
    REQUIRE(host.forwards());
    return host.delegate.statedRoutes.at(session).back();
}

} // namespace

TEST_CASE("A host that forwards a session refuses its statements once the database's route was dropped", "[homes]")
{
    ForwardingHost host;
    CHECK(host.forwards());
    host.apply(start + 1s, { 2, "profiles" });
    CHECK_FALSE(host.forwards());
    CHECK(host.lastFailure() == Session::FailureCode::UnknownDatabase);
    // What needs no route is answered by the other host, which holds the session.
    CHECK(host.forwards(Session::StatementKind::SetValue));
}

TEST_CASE("A host states a route of a forwarded session again only after the configuration changed", "[homes]")
{
    ForwardingHost host;
    CHECK(host.forwards());
    CHECK(host.delegate.statedRoutes.empty());
    host.apply(start + 1s, { 2, "orders", "group-b" });
    CHECK(host.forwards());
    CHECK(host.forwards());
    REQUIRE(host.delegate.statedRoutes.at(session).size() == 1);
    CHECK(host.delegate.statedRoutes.at(session).front().version == ConfigVersion(2));
    CHECK(host.delegate.statedRoutes.at(session).front().digest != host.delegate.forwarded.at(session).route.digest);
}

TEST_CASE("No route is stated to a host that does not read it", "[homes]")
{
    ForwardingHost host(false);
    host.apply(start + 1s, { 2, "orders", "group-b" });
    CHECK(host.forwards());
    CHECK(host.delegate.statedRoutes.empty());
}

TEST_CASE("A home does not decide by an older configuration than the host that forwards a session", "[homes]")
{
    Home home;
    const auto now = start + 2s;

    SECTION("a route that was moved to another group waits for the newer configuration")
    {
        home.proxy.routeStated(session, statedRoute({ 2, "orders", "group-b" }));
        home.send(now);
        CHECK(home.proxy.statements() == 0);
        CHECK(home.delegate.answers.empty());
        home.apply(now + 100ms, { 2, "orders", "group-b" });
        CHECK(home.proxy.statements() == 1);
    }
    SECTION("a route that was added again waits for the newer configuration")
    {
        home.apply(now, { 2, "profiles" });
        home.proxy.routeStated(session, statedRoute({ 3 }));
        home.send(now);
        CHECK(home.delegate.answers.empty());
        home.apply(now + 100ms, { 3 });
        CHECK(home.proxy.statements() == 1);
        CHECK(home.delegate.answers.empty());
    }
    SECTION("without the newer configuration the statement is refused as not run, and the session ends")
    {
        home.proxy.routeStated(session, statedRoute({ 2, "orders", "group-b" }));
        home.send(now);
        home.proxy.tick(now + Proxy::Proxy::maxRouteWait - 1ms);
        CHECK(home.delegate.answers.empty());
        home.proxy.tick(now + Proxy::Proxy::maxRouteWait);
        CHECK(home.lastFailure() == Session::FailureCode::Busy);
        CHECK(home.delegate.closed.contains(session));
        CHECK_FALSE(home.proxy.hasSession(session));
    }
    SECTION("a route that is the same in both configurations is served at once")
    {
        home.proxy.routeStated(session, { ConfigVersion(9), statedRoute({ 9 }).digest });
        home.send(now);
        CHECK(home.proxy.statements() == 1);
    }
    SECTION("a route with another time limit is not the same")
    {
        home.proxy.routeStated(session, statedRoute({ 2, "orders", "group-a", 900 }));
        home.send(now);
        CHECK(home.proxy.statements() == 0);
    }
    SECTION("a session that waits for the newer configuration may end")
    {
        home.proxy.routeStated(session, statedRoute({ 2, "orders", "group-b" }));
        home.send(now);
        home.proxy.sessionClosed(now + 10ms, session);
        home.apply(now + 100ms, { 2, "orders", "group-b" });
        CHECK(home.proxy.statements() == 0);
    }
}

TEST_CASE("A home opens a forwarded session only by the same route or a configuration that is not older", "[homes]")
{
    Home home;
    Proxy::SessionRequest request { database };
    request.isForwarded = true;
    const Proxy::SessionId other(8);

    request.route = { ConfigVersion(9), statedRoute({ 9 }).digest };
    SECTION("the same route")
    {
        home.proxy.sessionOpened(start + 2s, other, request);
        CHECK(home.delegate.accepted.contains(other));
    }
    SECTION("another route")
    {
        request.route = statedRoute({ 9, "orders", "group-b" });
        home.proxy.sessionOpened(start + 2s, other, request);
        CHECK_FALSE(home.delegate.accepted.contains(other));
        home.apply(start + 2s, { 9, "orders", "group-b" });
        CHECK(home.delegate.accepted.contains(other));
    }
    SECTION("another route, and the newer configuration does not come")
    {
        request.route = statedRoute({ 9, "orders", "group-b" });
        home.proxy.sessionOpened(start + 2s, other, request);
        home.proxy.tick(start + 2s + Proxy::Proxy::maxOpenWait);
        CHECK(home.delegate.closed.contains(other));
        // The forwarding host learns of the refusal before it takes this host for unreachable.
        CHECK(Proxy::Proxy::maxOpenWait + Proxy::Proxy::tickInterval < 300ms);
    }
    SECTION("a database that this host does not know yet is neither refused nor served")
    {
        request.database = DatabaseName("profiles");
        home.proxy.sessionOpened(start + 2s, other, request);
        CHECK_FALSE(home.delegate.accepted.contains(other));
        CHECK_FALSE(home.delegate.closed.contains(other));
        home.apply(start + 2s, { 9, "profiles" });
        CHECK(home.delegate.accepted.contains(other));
    }
}

TEST_CASE("A statement's time limit includes its wait for the configuration of the forwarding host", "[homes]")
{
    constexpr int timeoutMs = 200;
    const Edit moved { 2, "orders", "group-b", timeoutMs };
    Home home;
    const auto now = start + 2s;
    home.proxy.routeStated(session, statedRoute(moved));
    home.send(now);
    home.apply(now + 150ms, moved);
    REQUIRE(home.proxy.statements() == 1);
    home.proxy.tick(now + std::chrono::milliseconds(timeoutMs) + Proxy::Proxy::tickInterval);
    CHECK(home.delegate.answers.contains(session));
}
