#include "proxy/HostDirectory.h"
#include "proxy/PeerSnapshot.h"
#include "proxy/RecordedProxy.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

const StoreEra firstEra(1);
const StoreEra secondEra(2);
/// The bounds of the deployments in which the store may turn single hosts away: the configuration's, and the time by
/// which the store's trouble may stretch it.
constexpr Duration stretchedBound = 4000ms + 15000ms;
/// Timeout of a request for a peer's tables.
constexpr Duration peerTimeout = 600ms;

SocketAddress peerAddress(std::size_t index)
{
    return { "10.2.0." + std::to_string(index + 1), 8080 };
}

/// A host that the store has turned away since it answered last, and peers that answer as late as they may.
struct TurnedAwayHost : RecordedProxy {
    static constexpr std::size_t seeds = 3;

    TurnedAwayHost()
        : RecordedProxy(settings())
    {
    }

    static ProxySettings settings()
    {
        ProxySettings made;
        made.host = HostName("host-9");
        made.peers = peerAddress(9);
        for (std::size_t index = 0; index < seeds; ++index)
            made.seeds.push_back(peerAddress(index));
        return made;
    }
    /// @return the configuration as a peer has it, with the database "bills" from version 12 on.
    [[nodiscard]] TableStates tablesOf(const SocketAddress& peer) const
    {
        const RowVersion version(isTurnedAway(peer) ? 110 : 120, firstEra);
        const std::string value(isTurnedAway(peer) ? "10 orders group" : "12 orders group bills group");
        const TableState state { version, { { "config", { "config", version, value, false } } } };
        return { { StoreTable::Configuration, state } };
    }
    [[nodiscard]] bool isTurnedAway(const SocketAddress& peer) const
    {
        return std::find(turnedAway.begin(), turnedAway.end(), peer) != turnedAway.end();
    }
    [[nodiscard]] bool hasChange()
    {
        open(++m_sessions, "bills");
        return delegate.accepted.contains(SessionId(m_sessions));
    }
    /// @return the time until the host knows the change, at most the limit.
    Duration timeUntilChange(Duration limit)
    {
        const auto begin = now;
        while (now - begin < limit && !hasChange()) {
            for (const auto& call : std::exchange(delegate.tableCalls, {}))
                m_calls.emplace_back(now + call.timeout, call);
            for (const auto& asked : std::exchange(delegate.queriedPeers, {}))
                m_queries.emplace_back(now + peerTimeout, asked);
            now += Auburnpost::Proxy::Proxy::tickInterval;
            finishCalls();
            finishQueries();
            proxy.tick(now);
        }
        return now - begin;
    }

    std::vector<SocketAddress> turnedAway;

private:
    void finishCalls()
    {
        const auto isOver = [this](const auto& call) { return call.first <= now; };
        const auto over = std::stable_partition(m_calls.begin(), m_calls.end(), std::not_fn(isOver));
        const std::vector<std::pair<Instant, ProxyRecorder::TableCall>> ended(over, m_calls.end());
        m_calls.erase(over, m_calls.end());
        const auto refusal = fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");
        for (const auto& [endsAt, call] : ended) {
            if (call.isRead)
                proxy.tableRead(now, call.table, refusal);
            else
                proxy.tableFollowed(now, call.table, refusal);
        }
    }
    void finishQueries()
    {
        for (auto query = m_queries.begin(); query != m_queries.end();) {
            if (query->first > now) {
                ++query;
                continue;
            }
            proxy.peerAnswered(now, query->second, tablesOf(query->second));
            query = m_queries.erase(query);
        }
    }

    std::vector<std::pair<Instant, ProxyRecorder::TableCall>> m_calls;
    std::vector<std::pair<Instant, SocketAddress>> m_queries;
    std::uint64_t m_sessions { 100 };
};

} // namespace

TEST_CASE(
    "A host that the store turns away learns a change from its last seed within the stretched bound", "[proxy][age]")
{
    TurnedAwayHost host;
    // The host asks the seeds in turn from the second one on.
    host.turnedAway = { peerAddress(1), peerAddress(2) };
    const auto poll = TableTimes::forConfiguration({}).pollTimeout();
    const auto seeds = TurnedAwayHost::seeds * Auburnpost::Proxy::Proxy::peerQueryInterval + peerTimeout;
    const auto limit = poll + Auburnpost::Proxy::Proxy::peerDelay + seeds + 2 * Auburnpost::Proxy::Proxy::tickInterval;
    CHECK(limit < stretchedBound);
    CHECK(toMilliseconds(host.timeUntilChange(stretchedBound)) <= toMilliseconds(limit));
}

// The settings name three hosts at most, and the store may turn all of them away.
TEST_CASE("A host that the store turns away learns a change although all of its seeds are turned away", "[proxy][age]")
{
    TurnedAwayHost host;
    RecordedProxy::Rows records;
    for (std::size_t index = 0; index < 9; ++index) {
        const auto name = "host-" + std::to_string(index);
        const HostEntry entry { HostName(name), DataCentreName("east"), { "10.2.0.9", 7440 }, { "10.2.0.9", 7455 }, 1.0,
            peerAddress(index) };
        records[name] = HostDirectory::encode(entry);
    }
    host.read(StoreTable::Hosts, { 110, firstEra }, records);
    host.turnedAway = { peerAddress(0), peerAddress(1), peerAddress(2) };
    CHECK(toMilliseconds(host.timeUntilChange(stretchedBound + 1s)) <= toMilliseconds(stretchedBound));
}

// Guards against a snapshot of the store's rows by which a starting host decides by an older configuration.
TEST_CASE("A host's tables hold the configuration that it applies after the store came back from an older copy",
    "[proxy][age]")
{
    RecordedProxy host;
    host.change(StoreTable::Configuration, { 120, firstEra }, { { "config", "12 orders group bills group" } });
    host.returnStore({ 115, secondEra }, { { "config", "10 orders group" } }, RecordedProxy::members());
    RecordedProxy started({}, false);
    SECTION("which it gives to a peer")
    {
        started.proxy.peerAnswered(started.now, peerAddress(0), host.proxy.tables());
    }
    SECTION("which it feeds to a follower")
    {
        host.proxy.feedRequested(host.now, RequestId(1), StoreTable::Configuration, {}, Duration {});
        REQUIRE(host.delegate.feedAnswers.size() == 1);
        REQUIRE(host.delegate.feedAnswers.front());
        started.proxy.feederAnswered(
            started.now, peerAddress(0), StoreTable::Configuration, *host.delegate.feedAnswers.front());
    }
    started.open(1, "bills");
    CHECK(started.delegate.accepted.contains(SessionId(1)));
}

TEST_CASE("A host that starts after the store came back from an older copy applies the configuration of its peers",
    "[proxy][age]")
{
    RecordedProxy known;
    known.change(StoreTable::Configuration, { 120, firstEra }, { { "config", "12 orders group bills group" } });
    const RecordedProxy::Rows older { { "config", "10 orders group" } };
    known.returnStore({ 115, secondEra }, older, RecordedProxy::members());

    RecordedProxy started(TurnedAwayHost::settings(), false);
    started.read(StoreTable::Configuration, { 115, secondEra }, older);
    started.read(StoreTable::Targets, { 115, secondEra }, RecordedProxy::members());
    const auto end = started.now + TimeBounds {}.recovery;
    while (started.now < end) {
        started.run(Auburnpost::Proxy::Proxy::tickInterval);
        for (const auto& peer : std::exchange(started.delegate.queriedPeers, {}))
            started.proxy.peerAnswered(started.now, peer, known.proxy.tables());
    }
    started.open(1, "bills");
    CHECK(started.delegate.accepted.contains(SessionId(1)));
}

// Guards against hosts that divide a rate limit by too few: a new host uses its share after listingDelay.
TEST_CASE("A host that failed to read the hosts' records knows a new host before that uses its share", "[proxy][age]")
{
    RecordedProxy host(TurnedAwayHost::settings());
    const HostEntry other { HostName("other"), DataCentreName("west"), { "10.2.0.2", 7440 }, { "10.2.0.2", 7455 } };
    const RecordedProxy::Rows records { { "other", HostDirectory::encode(other) } };
    const auto runUntilRead = [&host] {
        const auto reads = host.delegate.hostReads;
        while (host.delegate.hostReads == reads)
            host.run(Auburnpost::Proxy::Proxy::tickInterval);
    };
    for (int count = 0; count < 2; ++count) {
        host.read(StoreTable::Hosts, { 110, firstEra }, records);
        runUntilRead();
    }
    const auto failures = GENERATE(1, 2);
    CAPTURE(failures);
    // The new host writes its record just after this read, and the next ones have no answer.
    host.read(StoreTable::Hosts, { 110, firstEra }, records);
    const auto writtenAt = host.now;
    runUntilRead();
    for (int count = 0; count < failures; ++count) {
        host.run(host.delegate.hostReadTimeout);
        host.proxy.tableRead(
            host.now, StoreTable::Hosts, fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer"));
        runUntilRead();
    }
    const auto known = host.now + host.delegate.hostReadTimeout - writtenAt;
    CHECK(toMilliseconds(known) <= toMilliseconds(Limit::AllotmentTimes {}.listingDelay));
}

// Guards against a handed-on row of an earlier era whose number hides the edits that the store numbers below it.
TEST_CASE("An edit after the store came back from an older copy is applied by a host that took a peer's tables",
    "[proxy][age]")
{
    RecordedProxy host;
    host.change(StoreTable::Configuration, { 120, firstEra }, { { "config", "12 orders group bills group" } });
    host.returnStore({ 115, secondEra }, { { "config", "10 orders group" } }, RecordedProxy::members());
    RecordedProxy started;
    started.run(Auburnpost::Proxy::Proxy::tickInterval);
    const auto noAnswer = fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");
    started.proxy.tableFollowed(started.now, StoreTable::Configuration, noAnswer);
    SECTION("from a snapshot")
    {
        started.proxy.peerAnswered(started.now, peerAddress(0), decodeSnapshot(encodeSnapshot(host.proxy.tables())));
    }
    SECTION("from a feed")
    {
        host.proxy.feedRequested(host.now, RequestId(1), StoreTable::Configuration, {}, Duration {});
        REQUIRE(host.delegate.feedAnswers.size() == 1);
        REQUIRE(host.delegate.feedAnswers.front());
        started.proxy.feederAnswered(started.now, peerAddress(0), StoreTable::Configuration,
            decodeFeedPage(encodeFeedPage(*host.delegate.feedAnswers.front())));
    }
    // The store is polled after the version of the copy that was taken.
    started.run(TableTimes::forConfiguration({}).maxRetryDelay());
    started.change(StoreTable::Configuration, { 117, secondEra }, { { "config", "13 orders group invoices group" } });
    started.open(1, "invoices");
    CHECK(started.delegate.accepted.contains(SessionId(1)));
}

// Many hosts may start at the same time, and then know no more than the store tells them.
TEST_CASE("A host that starts after the store came back asks more peers than one that started as well", "[proxy][age]")
{
    const RecordedProxy::Rows older { { "config", "10 orders group" } };
    RecordedProxy known;
    known.change(StoreTable::Configuration, { 120, firstEra }, { { "config", "12 orders group bills group" } });
    known.returnStore({ 115, secondEra }, older, RecordedProxy::members());
    const auto start = [&older](RecordedProxy& host) {
        host.read(StoreTable::Configuration, { 115, secondEra }, older);
        host.read(StoreTable::Targets, { 115, secondEra }, RecordedProxy::members());
    };
    RecordedProxy alsoStarted({}, false);
    start(alsoStarted);

    RecordedProxy started(TurnedAwayHost::settings(), false);
    start(started);
    std::size_t asked = 0;
    const auto end = started.now + TimeBounds {}.recovery;
    while (started.now < end) {
        started.run(Auburnpost::Proxy::Proxy::tickInterval);
        for (const auto& peer : std::exchange(started.delegate.queriedPeers, {}))
            started.proxy.peerAnswered(
                started.now, peer, asked++ == 0 ? alsoStarted.proxy.tables() : known.proxy.tables());
    }
    started.open(1, "bills");
    CHECK(started.delegate.accepted.contains(SessionId(1)));
}

// Guards against a host that never asks again for a newer version of which it was told.
TEST_CASE("A newer configuration is requested again when the first query for it was lost", "[proxy][age]")
{
    RecordedProxy host;
    const HostEntry other { HostName("other"), DataCentreName("east"), { "10.2.0.9", 7440 }, { "10.2.0.9", 7455 }, 1.0,
        peerAddress(1) };
    host.read(StoreTable::Hosts, { 110, firstEra }, { { "other", HostDirectory::encode(other) } });
    // Without these answers a host that started lately queries others anyway.
    for (std::size_t answers = 0; answers < Auburnpost::Proxy::Proxy::startPeers; ++answers)
        host.proxy.peerAnswered(host.now, peerAddress(1), TableStates {});
    const auto queriesAfterStatement = [&host, &other] {
        host.delegate.queriedPeers.clear();
        host.proxy.versionStated(host.now, other.name, ConfigVersion(11));
        host.run(150ms);
        return host.delegate.queriedPeers.size();
    };
    CHECK(queriesAfterStatement() == 1);
    CHECK(queriesAfterStatement() == 0);
    host.run(peerTimeout);
    CHECK(queriesAfterStatement() == 1);
    const RowVersion version(120, firstEra);
    const TableState newer { version, { { "config", { "config", version, "11 orders group", false } } } };
    host.proxy.peerAnswered(host.now, peerAddress(1), TableStates { { StoreTable::Configuration, newer } });
    host.run(peerTimeout);
    CHECK(queriesAfterStatement() == 0);
}
