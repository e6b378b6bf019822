#include "platform/RecordingDelegate.h"
#include "platform/RowDecoder.h"
#include "proxy/Proxy.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Platform;
using nlohmann::json;

namespace {

constexpr Instant start { std::chrono::seconds(100) };

Proxy::StorePage configurationPage()
{
    const json configuration { { "Version", 4 },
        { "Routes",
            { { { "Name", "r" }, { "Host", "database" }, { "Kind", "primary" }, { "TimeoutMs", 2000 },
                { "Service", "group" } } } },
        { "Services", { { { "Name", "group" }, { "ConnectionLimit", 48 }, { "SyncReplicas", 1 } } } },
        { "Limits", json::object() } };
    Proxy::StorePage page;
    page.rows.push_back({ "config", Proxy::RowVersion(1), configuration.dump(), false });
    page.asOf = Proxy::RowVersion(1);
    return page;
}

} // namespace

TEST_CASE("A refused message of a caller is logged, once for each session", "[platform]")
{
    RecordingDelegate delegate;
    const RowDecoder decoder;
    Proxy::Proxy proxy(start, Proxy::ProxySettings {}, decoder, delegate, 1);
    proxy.tableRead(start, Proxy::StoreTable::Configuration, configurationPage());
    for (const auto session : { Proxy::SessionId(7), Proxy::SessionId(8) }) {
        proxy.sessionOpened(start, session, { DatabaseName("database") });
        for (int count = 0; count < 3; ++count)
            proxy.malformedStatementArrived(start, session, { Session::FailureCode::Malformed, "unknown message" });
    }
    CHECK(delegate.fieldsOf(LogEvent::CallerMessageRefused, "session") == std::vector<std::string> { "7", "8" });
    CHECK(delegate.fieldsOf(LogEvent::CallerMessageRefused, "reason")
        == std::vector<std::string> { "unknown message", "unknown message" });
}
