#include "proxy/RecordedProxy.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

const StoreEra firstEra(1);
const StoreEra secondEra(2);
const SocketAddress peer { "10.2.0.1", 8080 };

} // namespace

TEST_CASE("A host never goes back to an older configuration than the one that it applies", "[proxy][age]")
{
    RecordedProxy host;
    host.change(StoreTable::Configuration, { 120, firstEra }, { { "config", "12 orders group bills group" } });
    host.open(1, "bills");
    REQUIRE(host.delegate.accepted.contains(SessionId(1)));
    const std::string older("11 orders group");

    SECTION("the store comes back from an older copy")
    {
        host.returnStore({ 115, secondEra }, { { "config", older } }, RecordedProxy::members());
    }
    SECTION("a peer has read the older copy of the store")
    {
        const TableState adopted { RowVersion(115, secondEra),
            { { "config", { "config", RowVersion(115, secondEra), older, false } } } };
        host.proxy.peerAnswered(host.now, peer, TableStates { { StoreTable::Configuration, adopted } });
    }
    SECTION("a feeder has read the older copy of the store")
    {
        FeedPage page { RowVersion(115, secondEra), 10ms, {} };
        page.table = TableState { page.asOf, { { "config", { "config", page.asOf, older, false } } } };
        host.proxy.feederAnswered(host.now, peer, StoreTable::Configuration, page);
    }
    host.open(2, "bills");
    CHECK(host.delegate.accepted.contains(SessionId(2)));
    host.send(1, Session::StatementKind::Read);
    CHECK(host.failureOf(1) != Session::FailureCode::UnknownDatabase);
}

TEST_CASE("A configuration that can't be read leaves the known one in force until the next one", "[proxy][age]")
{
    RecordedProxy host;
    host.change(StoreTable::Configuration, { 120, firstEra }, { { "config", "not a number" } });
    host.open(1, "orders");
    CHECK(host.delegate.accepted.contains(SessionId(1)));
    host.change(StoreTable::Configuration, { 121, firstEra }, { { "config", "12 bills group" } });
    host.open(2, "bills");
    CHECK(host.delegate.accepted.contains(SessionId(2)));
    host.open(3, "orders");
    CHECK(host.delegate.refused.contains(SessionId(3)));
}

TEST_CASE("An open session is served by the configuration of the moment", "[proxy][age]")
{
    RecordedProxy host;
    host.open(1, "orders");
    host.change(StoreTable::Configuration, { 120, firstEra }, { { "config", "12 bills group" } });
    host.send(1, Session::StatementKind::Read);
    CHECK(host.failureOf(1) == Session::FailureCode::UnknownDatabase);
    host.change(StoreTable::Configuration, { 121, firstEra }, { { "config", "13 orders other bills group" } });
    host.send(1, Session::StatementKind::Begin);
    CHECK_FALSE(host.failureOf(1));
}

TEST_CASE("A moved route applies from the next transaction on", "[proxy][age]")
{
    RecordedProxy host;
    auto targets = RecordedProxy::members();
    targets["o"] = "other 4";
    host.change(StoreTable::Targets, { 119, firstEra }, targets);
    host.run(600ms);
    host.open(1, "orders");
    host.send(1, Session::StatementKind::Begin);
    REQUIRE_FALSE(host.failureOf(1));
    host.change(StoreTable::Configuration, { 120, firstEra }, { { "config", "12 orders other" } });
    host.send(1, Session::StatementKind::Read);
    host.run(300ms);
    CHECK(host.ran == std::vector { GroupName("group") });
    host.send(1, Session::StatementKind::Rollback);
    host.run(600ms);
    host.send(1, Session::StatementKind::Read);
    host.run(300ms);
    CHECK(host.ran == std::vector { GroupName("group"), GroupName("other") });
}

// The process wakes with a poll that has failed meanwhile, and each further call is answered as late as it may be.
TEST_CASE("A host that wakes from a pause knows the configuration before its statements count again", "[proxy][age]")
{
    RecordedProxy host;
    const auto times = TableTimes::forConfiguration({});
    host.run(100ms);
    host.now += GENERATE(Duration(400ms), Duration(2500ms), Duration(5500ms));
    const auto wokeAt = host.now;
    const auto noAnswer = fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");
    host.delegate.tableCalls.clear();
    host.proxy.tableFollowed(host.now, StoreTable::Configuration, noAnswer);
    std::optional<Instant> sentAt;
    bool isProbed = false;
    while (!host.delegate.accepted.contains(SessionId(1)) && host.now < wokeAt + 10s) {
        host.run(Auburnpost::Proxy::Proxy::tickInterval);
        for (const auto& call : std::exchange(host.delegate.tableCalls, {}))
            sentAt = call.table == StoreTable::Configuration ? sentAt.value_or(host.now) : sentAt;
        if (!sentAt || host.now < *sentAt + times.callTimeout(0))
            continue;
        sentAt.reset();
        if (std::exchange(isProbed, true)) {
            host.read(StoreTable::Configuration, { 120, firstEra }, { { "config", "12 bills group" } });
        } else {
            StorePage gone;
            gone.isHistoryUnavailable = true;
            gone.asOf = RowVersion(0, firstEra);
            host.proxy.tableFollowed(host.now, StoreTable::Configuration, gone);
            // The read that follows has been sent.
            sentAt = host.now;
            host.delegate.tableCalls.clear();
        }
        host.open(1, "bills");
    }
    const auto elapsed = host.now - wokeAt;
    CHECK(elapsed <= 2 * times.callTimeout(0) + 4 * Auburnpost::Proxy::Proxy::tickInterval);
    CHECK(elapsed < TimeBounds {}.recovery);
}

// The answer lay in the socket during the pause, and is handled before the first tick after it.
TEST_CASE("An answer that was received before a pause does not confirm the configuration after it", "[proxy][age]")
{
    RecordedProxy host;
    host.run(300ms);
    constexpr Duration pause = 5s;
    host.now += pause;
    SECTION("an answer of the store")
    {
        host.change(StoreTable::Configuration, { 110, firstEra }, {});
    }
    SECTION("an answer of a feeder")
    {
        const FeedPage unchanged { RowVersion(110, firstEra), 10ms, {} };
        host.proxy.feederAnswered(host.now, peer, StoreTable::Configuration, unchanged);
    }
    host.proxy.feedRequested(host.now, RequestId(1), StoreTable::Configuration, RowVersion(100, firstEra), Duration {});
    REQUIRE(host.delegate.feedAnswers.size() == 1);
    const auto& answer = host.delegate.feedAnswers.front();
    CHECK(toMilliseconds(answer ? answer->age : pause) >= toMilliseconds(pause));
}
