#include "proxy/RecordedProxy.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

} // namespace

TEST_CASE("An age above the limit is reported once until the copy is confirmed again", "[proxy][age]")
{
    CopyAge age;
    CHECK_FALSE(age.observe(start, {}, 2s));
    CHECK_FALSE(age.observe(start + 2s, start, 2s));
    CHECK(age.observe(start + 2100ms, start, 2s) == Duration(2100ms));
    CHECK_FALSE(age.observe(start + 5s, start, 2s));
    CHECK_FALSE(age.observe(start + 5s, start + 4s, 2s));
    CHECK(age.observe(start + 7s, start + 4s, 2s) == Duration(3s));
    CHECK(age.largest() == Duration(5s));
}

TEST_CASE("The log of one host tells how each call for a table failed", "[proxy][age]")
{
    RecordedProxy host;
    const auto times = TableTimes::forConfiguration({});
    ErrorCode code {};
    std::string sort;
    SECTION("it waited for a connection")
    {
        code = ErrorCode::NotSent;
        sort = "not_sent";
    }
    SECTION("it was sent and not answered")
    {
        code = ErrorCode::PlatformUnavailable;
        sort = "unanswered";
    }
    SECTION("it was answered with a status")
    {
        code = ErrorCode::PlatformRefused;
        sort = "status";
    }
    SECTION("its answer was rejected")
    {
        code = ErrorCode::BadMessage;
        sort = "rejected";
    }
    host.run(120ms);
    host.proxy.tableFollowed(host.now, StoreTable::Configuration, fail(code, "call", "store", "reason"));
    const auto fields = host.fieldsOf(LogEvent::PlatformOutage);
    CHECK(fields.at("table") == "configuration");
    CHECK(fields.at("failure") == sort);
    CHECK(fields.at("timeout_ms") == std::to_string(toMilliseconds(times.pollTimeout())));
    CHECK(fields.at("failures") == "1");
}

TEST_CASE("A copy older than half of its bound is logged once while calls fail", "[proxy][age]")
{
    RecordedProxy host;
    const auto limit = TimeBounds {}.configuration;
    SECTION("the call in progress is overdue")
    {
        host.run(limit);
    }
    SECTION("calls fail")
    {
        host.proxy.tableFollowed(host.now, StoreTable::Configuration, fail(ErrorCode::PlatformUnavailable, "", "", ""));
        host.run(limit);
    }
    CHECK(host.countOf(LogEvent::TableCopyOld, "configuration") == 1);
    CHECK(host.proxy.largestCopyAge(StoreTable::Configuration) >= limit - Auburnpost::Proxy::Proxy::tickInterval);
}

TEST_CASE("A copy is not reported as old while a poll waits for a change", "[proxy][age]")
{
    RecordedProxy host;
    std::map<StoreTable, Instant> answerAt;
    const auto end = host.now + 20s;
    while (host.now < end) {
        host.run(Auburnpost::Proxy::Proxy::tickInterval);
        for (const auto& call : std::exchange(host.delegate.tableCalls, {}))
            answerAt[call.table] = host.now + call.wait;
        for (const auto table : followedTables) {
            if (host.now >= answerAt[table])
                host.change(table, { 110, StoreEra(1) }, {});
        }
    }
    CHECK(host.countOf(LogEvent::TableCopyOld, "configuration") == 0);
    CHECK(host.delegate.cancelled.empty());
}

TEST_CASE("A copy older than its bound is logged although no call has failed", "[proxy][age]")
{
    RecordedProxy host;
    // With so many hosts in the data centre the tables are followed at another one, whose answer never comes.
    RecordedProxy::Rows hosts;
    for (std::size_t index = 0; index < FeederChoice::minHosts + FeederChoice::feeders; ++index) {
        const SocketAddress address { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
        const HostName name("host-" + std::to_string(index));
        hosts[name.value()] = HostDirectory::encode({ name, {}, address, address, 1.0, address });
    }
    host.proxy.tableRead(host.now, StoreTable::Hosts, RecordedProxy::page({ 110, StoreEra(1) }, hosts));
    host.run(60ms);
    host.change(StoreTable::Configuration, { 110, StoreEra(1) }, {});
    host.run(TimeBounds {}.configuration + 200ms);
    CHECK(host.countOf(LogEvent::TableCopyOld, "configuration") == 1);
    CHECK(host.countOf(LogEvent::PlatformOutage, "configuration") == 0);
}
