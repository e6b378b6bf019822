#include "platform/CallerCodec.h"
#include "platform/RowDecoder.h"
#include "proxy/PeerSnapshot.h"
#include "proxy/Proxy.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include "platform/SessionRecorder.h"

using namespace Auburnpost;
using namespace Auburnpost::Platform;
using nlohmann::json;

namespace {

constexpr Instant start { std::chrono::seconds(100) };
const DatabaseName database("orders");
const Proxy::SessionId session { 7 };
const Proxy::SessionId forwardedSession { std::uint64_t { 1 } << 50U };

json organisation(const std::string& name, const std::vector<std::string>& keys)
{
    return { { "Name", name }, { "ApiKeys", keys }, { "Priority", 1 }, { "RatePerS", 242 }, { "Burst", 100 } };
}

Proxy::StorePage configurationPage(std::uint64_t version, const json& organisations, bool isPublic = false)
{
    const json configuration { { "Version", version },
        { "Routes",
            { { { "Name", "r" }, { "Host", database.value() }, { "Kind", "primary" }, { "TimeoutMs", 2000 },
                { "LatencyTargetMs", 500 }, { "Public", isPublic }, { "Service", "group" } } } },
        { "Services", { { { "Name", "group" }, { "ConnectionLimit", 48 }, { "SyncReplicas", 1 } } } },
        { "Limits", json::object() }, { "Tenants", organisations } };
    Proxy::StorePage page;
    page.rows.push_back({ "config", Proxy::RowVersion(version), configuration.dump(), false });
    page.asOf = Proxy::RowVersion(version);
    redactKeys(page);
    return page;
}

Proxy::SessionRequest callerRequest(const std::string& key)
{
    return sessionRequestOf(OpenSession { database, key, {} }, false);
}

/// A proxy that has read a configuration.
struct Fixture {
    explicit Fixture(const json& organisations
        = json::array({ organisation("miny420", { "key-1", "key-2" }), organisation("lomi221", { "key-3" }) }),
        bool isPublic = false)
    {
        proxy.tableRead(start, Proxy::StoreTable::Configuration, configurationPage(4, organisations, isPublic));
    }

    void apply(std::uint64_t version, const json& organisations)
    {
        proxy.tableFollowed(start, Proxy::StoreTable::Configuration, configurationPage(version, organisations));
    }
    void send(Session::StatementKind kind, const std::string& text)
    {
        Session::Statement statement;
        statement.kind = kind;
        statement.text = text;
        proxy.statementArrived(start, session, Session::StatementId("id"), statement);
    }

    SessionRecorder delegate;
    RowDecoder decoder;
    Proxy::Proxy proxy { start, Proxy::ProxySettings {}, decoder, delegate, 1 };
};

} // namespace

TEST_CASE("A caller without a known key is refused before it can run anything", "[platform][organisations]")
{
    Fixture fixture;
    SECTION("no organisation has the key")
    {
        fixture.proxy.sessionOpened(start, session, callerRequest("key-9"));
    }
    SECTION("the caller presents no key")
    {
        fixture.proxy.sessionOpened(start, session, callerRequest(""));
    }
    SECTION("two organisations have the key")
    {
        fixture.apply(5, json::array({ organisation("miny420", { "key-1" }), organisation("lomi221", { "key-1" }) }));
        fixture.proxy.sessionOpened(start, session, callerRequest("key-1"));
    }
    CHECK(fixture.delegate.refused.at(session) == Session::FailureCode::UnknownKey);
    CHECK(fixture.delegate.accepted.empty());
    CHECK_FALSE(fixture.proxy.hasSession(session));
}

TEST_CASE(
    "Callers are served whatever key they present if a deployment has no organisations", "[platform][organisations]")
{
    Fixture fixture(json::array());
    fixture.proxy.sessionOpened(start, session, callerRequest("u3f1"));
    CHECK(fixture.delegate.accepted.contains(session));
}

TEST_CASE("A public route serves callers whose key is unknown", "[platform][organisations]")
{
    Fixture fixture(json::array({ organisation("miny420", { "key-1" }) }), true);
    fixture.proxy.sessionOpened(start, session, callerRequest("key-9"));
    CHECK(fixture.delegate.accepted.contains(session));
}

TEST_CASE("The removal of a key ends the sessions that hold it", "[platform][organisations]")
{
    Fixture fixture;
    fixture.proxy.sessionOpened(start, session, callerRequest("key-1"));
    REQUIRE(fixture.delegate.accepted.contains(session));
    const auto withoutKey = json::array({ organisation("miny420", { "key-2" }), organisation("lomi221", { "key-3" }) });

    SECTION("at rest")
    {
        fixture.apply(5, withoutKey);
        CHECK(fixture.delegate.closed.contains(session));
        CHECK_FALSE(fixture.proxy.hasSession(session));
    }
    SECTION("inside a transaction")
    {
        fixture.send(Session::StatementKind::Begin, "BEGIN");
        fixture.apply(5, withoutKey);
        CHECK(fixture.delegate.closed.contains(session));
    }
    SECTION("with a statement in progress, after its answer")
    {
        fixture.send(Session::StatementKind::Write, "WRITE a b");
        fixture.apply(5, withoutKey);
        CHECK_FALSE(fixture.delegate.closed.contains(session));
        fixture.proxy.tick(start + std::chrono::seconds(3));
        CHECK(fixture.delegate.answers.at(session) == 1);
        CHECK(fixture.delegate.closed.contains(session));
    }
    SECTION("also if the key is now another organisation's")
    {
        fixture.apply(5, json::array({ organisation("lomi221", { "key-1" }), organisation("miny420", { "key-2" }) }));
        CHECK(fixture.delegate.closed.contains(session));
    }
    SECTION("and no others")
    {
        fixture.apply(5, json::array({ organisation("miny420", { "key-1" }) }));
        CHECK_FALSE(fixture.delegate.closed.contains(session));
    }
    SECTION("and an older configuration does not bring it back")
    {
        fixture.apply(5, withoutKey);
        fixture.proxy.tableFollowed(start, Proxy::StoreTable::Configuration,
            configurationPage(4, json::array({ organisation("miny420", { "key-1" }) })));
        fixture.proxy.sessionOpened(start, Proxy::SessionId(8), callerRequest("key-1"));
        CHECK(fixture.delegate.refused.at(Proxy::SessionId(8)) == Session::FailureCode::UnknownKey);
    }
}

TEST_CASE(
    "A session whose key and route went together does not go on when the route returns", "[platform][organisations]")
{
    Fixture fixture;
    fixture.proxy.sessionOpened(start, session, callerRequest("key-1"));
    REQUIRE(fixture.delegate.accepted.contains(session));
    const auto withoutKey = json::array({ organisation("miny420", { "key-2" }) });
    auto withoutRoute = configurationPage(5, withoutKey);
    auto configuration = json::parse(withoutRoute.rows.front().value);
    configuration["Routes"] = json::array();
    withoutRoute.rows.front().value = configuration.dump();
    fixture.proxy.tableFollowed(start, Proxy::StoreTable::Configuration, withoutRoute);
    fixture.apply(6, withoutKey);
    CHECK_FALSE(fixture.proxy.hasSession(session));
}

TEST_CASE("A forwarded session names the organisation and the version, and never the key", "[platform][organisations]")
{
    Proxy::SessionRequest request = callerRequest("key-1");
    request.organisation = OrganisationName("miny420");
    request.route.version = ConfigVersion(12);
    const auto line = writeSessionRequest(request);
    CHECK(line == "START orders miny420 12\r\n");

    const auto read = readCallerLine(line.substr(0, line.size() - 2));
    const auto received = sessionRequestOf(std::get<OpenSession>(read), true);
    CHECK(received.organisation == request.organisation);
    CHECK(received.route == request.route);
    CHECK_FALSE(received.key);
}

TEST_CASE("A host does not serve a forwarded session by an older configuration", "[platform][organisations]")
{
    Fixture fixture;
    Proxy::SessionRequest request { database, {}, true, OrganisationName("sipo7"), { ConfigVersion(5) } };
    fixture.proxy.sessionOpened(start, forwardedSession, request);
    CHECK(fixture.delegate.accepted.empty());
    CHECK(fixture.delegate.closed.empty());
    SECTION("but once it has the configuration")
    {
        fixture.apply(5, json::array({ organisation("sipo7", { "key-5" }) }));
        CHECK(fixture.delegate.accepted.contains(forwardedSession));
    }
    SECTION("and not if the organisation has been removed since")
    {
        fixture.apply(6, json::array({ organisation("miny420", { "key-1" }) }));
        CHECK(fixture.delegate.accepted.empty());
        CHECK(fixture.delegate.closed.contains(forwardedSession));
    }
}

TEST_CASE("A caller is answered if its key is removed while another host that does not open its session is tried",
    "[platform][organisations][homes]")
{
    Fixture fixture;
    const SocketAddress address { "10.0.0.2", 1 };
    Proxy::HostEntry home { HostName("host-2"), {}, address, address };
    // The host with far the largest processor share is the home of every group.
    home.processorShare = 1e9;
    Proxy::StorePage hosts;
    hosts.asOf = Proxy::RowVersion(1);
    constexpr int hostCount = 40;
    for (int count = 0; count < hostCount; ++count) {
        hosts.rows.push_back(
            { "host-2" + std::to_string(count), hosts.asOf, Proxy::HostDirectory::encode(home), false });
    }
    fixture.proxy.tableRead(start, Proxy::StoreTable::Hosts, hosts);
    fixture.proxy.sessionOpened(start, session, callerRequest("key-1"));
    REQUIRE(fixture.delegate.forwarded.contains(session));
    fixture.apply(5, json::array({ organisation("miny420", { "key-2" }), organisation("lomi221", { "key-3" }) }));

    fixture.proxy.forwardFailed(start, session, HostName("host-20"));
    const bool isAnswered = fixture.delegate.refused.contains(session) || fixture.delegate.closed.contains(session);
    CHECK(isAnswered);
}

TEST_CASE("No key of a caller is kept, given to a peer or logged", "[platform][organisations]")
{
    Fixture fixture;
    fixture.proxy.sessionOpened(start, session, callerRequest("key-1"));
    fixture.proxy.sessionOpened(start, Proxy::SessionId(8), callerRequest("key-9"));
    fixture.apply(5, json::array({ organisation("lomi221", { "key-3" }) }));
    auto text = Proxy::encodeSnapshot(fixture.proxy.tables()) + fixture.proxy.dump(start);
    for (const auto& record : fixture.delegate.records) {
        for (const auto& field : record.fields)
            text += field.value;
    }
    for (const auto* const key : { "key-1", "key-2", "key-3", "key-9" })
        CHECK(text.find(key) == std::string::npos);
    const auto catalog
        = fixture.decoder.readCatalog(fixture.proxy.tables().at(Proxy::StoreTable::Configuration).rows.at("config"));
    REQUIRE(catalog);
    CHECK((*catalog)->organisations.findByKey(Config::KeyDigest::of("key-3")) == OrganisationName("lomi221"));
}

TEST_CASE("A configuration with keys that is not JSON is rejected without quoting them", "[platform][organisations]")
{
    Proxy::StorePage page;
    page.rows.push_back({ "config", Proxy::RowVersion(1), R"({"Tenants": [{"ApiKeys": ["key-1"]} key-2)", false });
    redactKeys(page);
    const auto catalog = RowDecoder().readCatalog(page.rows.front());
    REQUIRE_FALSE(catalog);
    CHECK(catalog.error().describe().find("key-") == std::string::npos);
}

TEST_CASE("A key opens sessions exactly while the newest configuration gives it to one organisation",
    "[platform][organisations]")
{
    rc::prop("for any sequence of configurations", [] {
        using Owners = std::vector<std::vector<unsigned>>;
        const auto versions = *rc::gen::container<std::vector<Owners>>(
            rc::gen::container<Owners>(3, rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4U))));
        Fixture fixture;
        std::uint64_t version = 4;
        std::uint64_t nextSession = 100;
        for (const auto& owners : versions) {
            auto list = json::array();
            std::map<unsigned, std::set<std::size_t>> ownersOf;
            for (std::size_t index = 0; index < owners.size(); ++index) {
                std::vector<std::string> keys;
                for (const auto key : owners[index]) {
                    keys.push_back("key-" + std::to_string(key));
                    ownersOf[key].insert(index);
                }
                list.push_back(organisation("organisation-" + std::to_string(index), keys));
            }
            fixture.apply(++version, list);
            for (unsigned key = 0; key < 4; ++key) {
                const Proxy::SessionId id(++nextSession);
                fixture.proxy.sessionOpened(start, id, callerRequest("key-" + std::to_string(key)));
                RC_ASSERT(fixture.delegate.accepted.contains(id) == (ownersOf[key].size() == 1));
            }
        }
    });
}
