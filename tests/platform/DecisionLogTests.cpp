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
const Proxy::SessionId session { 7 };

Proxy::StorePage configurationPage(std::uint64_t version, const std::string& database)
{
    const json configuration { { "Version", version },
        { "Routes",
            { { { "Name", "r" }, { "Host", database }, { "Kind", "primary" }, { "TimeoutMs", 2000 },
                { "Service", "group" } } } },
        { "Services", { { { "Name", "group" }, { "ConnectionLimit", 48 }, { "SyncReplicas", 1 } } } },
        { "Limits", json::object() } };
    Proxy::StorePage page;
    page.asOf = Proxy::RowVersion(version);
    page.rows.push_back({ "config", page.asOf, configuration.dump(), false });
    return page;
}

Session::Statement read()
{
    Session::Statement statement;
    statement.kind = Session::StatementKind::Read;
    statement.text = "READ k";
    return statement;
}

std::map<std::string, std::string> fieldsOf(const SessionRecorder& recorder, LogEvent event)
{
    std::map<std::string, std::string> fields;
    for (const auto& record : recorder.records) {
        if (record.event != event)
            continue;
        for (const auto& field : record.fields)
            fields[field.name] = field.value;
    }
    return fields;
}

} // namespace

TEST_CASE("A refusal is logged with the version that decided it and when the host learnt of it", "[platform]")
{
    SessionRecorder delegate;
    const RowDecoder decoder;
    Proxy::Proxy proxy(start, Proxy::ProxySettings {}, decoder, delegate, 1);
    proxy.tableRead(start, Proxy::StoreTable::Configuration, configurationPage(4, "orders"));
    Proxy::SessionRequest request { DatabaseName("orders") };
    request.isForwarded = true;
    request.forwardedBy = HostName("host-3");
    proxy.sessionOpened(start, session, request);
    // Without ticks the time counts as a pause of the process.
    for (auto now = start; now < start + 1s; now += Proxy::Proxy::tickInterval)
        proxy.tick(now);
    proxy.tableFollowed(start + 1s, Proxy::StoreTable::Configuration, configurationPage(5, "profiles"));

    SECTION("of a statement on a session that was open before")
    {
        proxy.statementArrived(start + 3s, session, Session::StatementId("1a"), read());
        const auto fields = fieldsOf(delegate, LogEvent::StatementFailed);
        REQUIRE(fields.contains("id"));
        CHECK(fields.at("id") == "1a");
        CHECK(fields.at("outcome") == "unknown_database");
        CHECK(fields.at("version") == "5");
        CHECK(fields.at("known_ms") == "2000");
        CHECK(fields.at("confirmed_ms") == "2000");
        CHECK(fields.at("as_of") == "5");
        CHECK(fields.at("failures") == "0");
        CHECK(fields.at("call_ms") == "2000");
        CHECK(fields.at("forwarded_by") == "host-3");
    }
    SECTION("of a session")
    {
        proxy.sessionOpened(start + 3s, Proxy::SessionId(8), request);
        const auto fields = fieldsOf(delegate, LogEvent::SessionRefused);
        REQUIRE(fields.contains("version"));
        CHECK(fields.at("version") == "5");
        CHECK(fields.at("known_ms") == "2000");
        CHECK(fields.at("forwarded_by") == "host-3");
    }
    SECTION("of a statement that the state of the session does not permit")
    {
        Session::Statement commit;
        commit.kind = Session::StatementKind::Commit;
        proxy.statementArrived(start + 3s, session, Session::StatementId("1b"), commit);
        CHECK(fieldsOf(delegate, LogEvent::StatementFailed).at("id") == "1b");
    }
}

TEST_CASE("A session that waits in vain for a configuration is refused with a log line", "[platform]")
{
    SessionRecorder delegate;
    const RowDecoder decoder;
    Proxy::Proxy proxy(start, Proxy::ProxySettings {}, decoder, delegate, 1);
    proxy.sessionOpened(start, session, { DatabaseName("orders") });
    proxy.tick(start + Proxy::Proxy::acceptTimeout);
    CHECK(delegate.refused.at(session) == Session::FailureCode::Busy);
    CHECK(fieldsOf(delegate, LogEvent::SessionRefused).at("reason") == "busy");
}
