#include "proxy/HostDirectory.h"
#include "proxy/PeerSnapshot.h"
#include "proxy/PromotionLeaseCodec.h"
#include "proxy/StoreFollower.h"
#include "proxy/TargetDirectory.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

struct CallRecorder final : StoreDelegate {
    std::size_t reads { 0 };
    std::vector<std::string> readFrom;
    std::size_t follows { 0 };
    RowVersion after;

    void readTable(StoreTable, const std::string& fromKey, Duration, StoreCallSlot) override
    {
        ++reads;
        readFrom.push_back(fromKey);
    }
    std::size_t hostWrites { 0 };

    void followFeeder(const SocketAddress&, StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void cancelCall(StoreTable, StoreCallSlot) override { }
    void writeHost(const HostName&, const std::string&) override { ++hostWrites; }
    void followTable(StoreTable, RowVersion version, Duration, Duration, StoreCallSlot) override
    {
        ++follows;
        after = version;
    }
};

StoreRow row(const std::string& key, std::uint64_t version, bool isDeleted = false)
{
    return { key, RowVersion(version), "value", isDeleted };
}

StorePage page(std::vector<StoreRow> rows, std::uint64_t asOf, bool hasMore = false)
{
    return { std::move(rows), RowVersion(asOf), hasMore, false };
}

Expected<StorePage> noAnswer()
{
    return fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");
}

TargetRecord target(const std::string& name, std::uint16_t port, std::uint64_t incarnation)
{
    TargetRecord result;
    result.name = TargetName(name);
    result.group = GroupName("group");
    result.address = { "10.0.0.1", port };
    result.incarnation = TargetIncarnation(incarnation);
    return result;
}

} // namespace

TEST_CASE("A table is read completely and then followed", "[proxy][store]")
{
    CallRecorder calls;
    RandomEngine random { 1 };
    const auto times = TableTimes::forTargets({});
    StoreContact contact;
    StoreFollower follower(StoreTable::Targets, times, contact, calls);
    follower.tick(start);
    CHECK(calls.reads == 1);
    CHECK_FALSE(follower.tableRead(start, random, page({ row("a", 3) }, 5, true)));
    CHECK(calls.readFrom.back() == std::string("a\0", 2));
    CHECK(follower.tableRead(start, random, page({ row("b", 4) }, 6)));
    CHECK(follower.state().rows.size() == 2);
    // The pages may have different versions, so changes made between them have to be delivered by the long poll.
    CHECK(follower.state().asOf == RowVersion(5));

    follower.tick(start);
    CHECK(calls.follows == 1);
    CHECK(calls.after == RowVersion(5));
    CHECK(follower.tableFollowed(start, random, page({ row("a", 7, true), row("c", 8) }, 8)));
    CHECK(follower.state().rows.count("a") == 0);
    CHECK(follower.state().rows.count("c") == 1);

    SECTION("a row is never replaced by an older version")
    {
        CHECK_FALSE(follower.tableFollowed(start, random, page({ row("c", 6) }, 8)));
        CHECK(follower.state().rows.at("c").version == RowVersion(8));
    }
    SECTION("the table is read again when the store no longer has the history of changes")
    {
        StorePage gone;
        gone.isHistoryUnavailable = true;
        CHECK_FALSE(follower.tableFollowed(start, random, gone));
        follower.tick(start);
        CHECK(calls.reads == 3);
    }
    SECTION("the known rows are kept while the store does not answer")
    {
        CHECK_FALSE(follower.tableFollowed(start, random, noAnswer()));
        CHECK_FALSE(follower.calls().isConnected);
        CHECK(follower.state().rows.size() == 2);
        follower.tick(start);
        CHECK(calls.follows == 1);
        follower.tick(start + times.maxRetryDelay());
        CHECK(calls.follows == 2);
    }
    SECTION("a peer's table is adopted only if it is newer")
    {
        const SocketAddress peer { "10.0.0.9", 7 };
        CHECK_FALSE(follower.adopt({ RowVersion(8), {} }, peer));
        CHECK(follower.adopt({ RowVersion(9), { { "d", row("d", 9) } } }, peer));
        CHECK(follower.state().rows.count("d") == 1);
        CHECK(follower.origin().peer == peer);
        CHECK(follower.origin().confirmedAt == start);
        CHECK(follower.origin().asOf == RowVersion(9));

        // An answer to a poll from before the adoption does not confirm the newer copy.
        CHECK_FALSE(follower.tableFollowed(start + 1s, random, page({}, 8)));
        CHECK(follower.origin().peer == peer);
        CHECK_FALSE(follower.tableFollowed(start + 2s, random, page({}, 9)));
        CHECK_FALSE(follower.origin().peer);
        CHECK(follower.origin().confirmedAt == start + 2s);
    }
}

TEST_CASE("Versions of different eras of the store are not compared by their numbers", "[proxy][store]")
{
    CallRecorder calls;
    RandomEngine random { 1 };
    const auto times = TableTimes::forTargets({});
    const SocketAddress peer { "10.0.0.9", 7 };
    const auto inEra = [](std::uint64_t era, std::uint64_t number, const std::string& key) {
        const RowVersion version(number, StoreEra(era));
        return StorePage { { { key, version, "value", false } }, version, false, false };
    };
    StoreContact contact;
    StoreFollower follower(StoreTable::Targets, times, contact, calls);
    follower.tick(start);
    REQUIRE(follower.tableRead(start, random, inEra(1, 120, "old")));
    follower.tick(start);

    SECTION("a poll's answer of a later era is not merged, and the table is read again")
    {
        CHECK_FALSE(follower.tableFollowed(start, random, inEra(2, 130, "new")));
        CHECK(follower.state().rows.count("new") == 0);
        follower.tick(start);
        CHECK(calls.reads == 2);
        CHECK(follower.tableRead(start, random, inEra(2, 90, "new")));
        CHECK(follower.state().rows.count("old") == 0);
        CHECK(follower.state().asOf == RowVersion(90, StoreEra(2)));
        // A peer that has not noticed the return yet.
        CHECK_FALSE(follower.adopt({ RowVersion(125, StoreEra(1)), {} }, peer));
    }
    SECTION("a late answer of an earlier era counts as a failed call")
    {
        CHECK(follower.adopt({ RowVersion(90, StoreEra(2)), {} }, peer));
        CHECK_FALSE(follower.tableFollowed(start, random, inEra(1, 130, "late")));
        CHECK_FALSE(follower.calls().isConnected);
        CHECK(follower.state().rows.empty());
    }
    SECTION("a read whose pages are of different eras counts as a failed call")
    {
        StorePage gone;
        gone.isHistoryUnavailable = true;
        gone.asOf = RowVersion(0, StoreEra(2));
        CHECK_FALSE(follower.tableFollowed(start, random, gone));
        follower.tick(start);
        auto first = inEra(2, 90, "first");
        first.hasMore = true;
        CHECK_FALSE(follower.tableRead(start, random, first));
        CHECK_FALSE(follower.tableRead(start, random, inEra(3, 95, "second")));
        CHECK_FALSE(follower.calls().isConnected);
        CHECK(follower.state().rows.count("old") == 1);
    }
    SECTION("a read that is older than the copy counts as a failed call, so that calls are not repeated at once")
    {
        StorePage gone;
        gone.isHistoryUnavailable = true;
        gone.asOf = RowVersion(0, StoreEra(1));
        CHECK_FALSE(follower.tableFollowed(start, random, gone));
        follower.tick(start);
        CHECK_FALSE(follower.tableRead(start, random, inEra(1, 110, "stale")));
        CHECK_FALSE(follower.calls().isConnected);
        follower.tick(start);
        CHECK(calls.reads == 2);
    }
}

TEST_CASE("A poll that was sent before a copy of a later era was adopted does not hide the changes before its version",
    "[proxy][store]")
{
    CallRecorder calls;
    RandomEngine random { 1 };
    const auto inEra = [](std::uint64_t era, std::uint64_t number, const std::string& key) {
        const RowVersion version(number, StoreEra(era));
        return StorePage { { { key, version, "value", false } }, version, false, false };
    };
    StoreContact contact;
    StoreFollower follower(StoreTable::Targets, TableTimes::forTargets({}), contact, calls);
    follower.tick(start);
    REQUIRE(follower.tableRead(start, random, inEra(1, 120, "old")));
    follower.tick(start);
    REQUIRE(calls.after == RowVersion(120, StoreEra(1)));
    REQUIRE(follower.adopt({ RowVersion(100, StoreEra(2)), {} }, { "10.0.0.9", 7 }));

    // Changes 101 to 120 of the later era are neither in the copy nor in the answer.
    follower.tableFollowed(start, random, inEra(2, 125, "new"));
    follower.tick(start);
    CHECK(calls.reads == 2);
}

TEST_CASE("Snapshots and leases can be encoded and decoded", "[proxy][store]")
{
    rc::prop("a decoded snapshot equals the encoded tables",
        [](const std::map<std::string, std::string>& values, std::uint64_t number, std::uint64_t era) {
            const RowVersion asOf(number, StoreEra(era));
            TableStates tables;
            for (const auto table : followedTables)
                tables[table].asOf = asOf;
            for (const auto& [key, value] : values) {
                // Keys are text, values arbitrary bytes.
                const auto name = std::to_string(std::hash<std::string> {}(key));
                tables[StoreTable::Targets].rows[name] = { name, asOf, value, false };
            }
            const auto back = decodeSnapshot(encodeSnapshot(tables));
            RC_ASSERT(back.has_value());
            RC_ASSERT(back->at(StoreTable::Targets).asOf == asOf);
            RC_ASSERT(back->at(StoreTable::Targets).rows.size() == tables[StoreTable::Targets].rows.size());
            for (const auto& [key, row] : tables[StoreTable::Targets].rows)
                RC_ASSERT(back->at(StoreTable::Targets).rows.at(key).value == row.value
                    && back->at(StoreTable::Targets).rows.at(key).version == row.version);
        });
    rc::prop("the decoders handle arbitrary bytes without an exception", [](const std::string& bytes) {
        (void)decodeSnapshot(bytes);
        (void)decodePromotionLease(bytes);
    });
    const auto lease = decodePromotionLease(encodePromotionLease({ HostName("front-1"), 77, {} }));
    REQUIRE(lease);
    CHECK(lease->holder == HostName("front-1"));
    CHECK(lease->expiresAtMs == 77);
}

TEST_CASE(
    "A target whose record expired stays in use until running targets have registered again", "[proxy][directory]")
{
    TargetDirectory directory;
    directory.update(start, { target("a", 1, 1), target("b", 2, 1) });
    directory.update(start + 1s, { target("a", 1, 1) });
    CHECK(directory.members(GroupName("group")).size() == 2);

    SECTION("it registers in time")
    {
        CHECK(directory.update(start + 2s, { target("a", 1, 1), target("b", 2, 1) }).isEmpty());
        CHECK(directory.expire(start + 10s).isEmpty());
    }
    SECTION("it is removed after the timeout")
    {
        CHECK(directory.expire(start + 2s).isEmpty());
        const auto changes = directory.expire(start + 1s + directory.missingTimeout());
        REQUIRE(changes.removed.size() == 1);
        CHECK(changes.removed.front().name == TargetName("b"));
    }
    SECTION("also while another record has its address, which may not be a target's")
    {
        directory.update(start + 2s, { target("a", 1, 1), target("b-again", 2, 5) });
        CHECK(directory.members(GroupName("group")).size() == 3);
        CHECK(directory.expire(start + 1s + directory.missingTimeout()).removed.size() == 1);
    }
}

TEST_CASE("A target that announced its shutdown is removed together with its record", "[proxy][directory]")
{
    TargetDirectory directory;
    auto leaving = target("b", 2, 1);
    leaving.isLeaving = true;
    directory.update(start, { target("a", 1, 1), leaving });
    const auto changes = directory.update(start + 1s, { target("a", 1, 1) });
    REQUIRE(changes.removed.size() == 1);
    CHECK(directory.members(GroupName("group")).size() == 1);
}

TEST_CASE("A record at the address of another one takes nothing away from it", "[proxy][directory]")
{
    TargetDirectory directory;
    auto foreign = target("foreign", 1, 99);
    foreign.group = GroupName("unknown");
    directory.update(start, { target("a", 1, 1), foreign });
    CHECK(directory.members(GroupName("group")).size() == 1);
    CHECK(directory.size() == 2);
}

TEST_CASE(
    "A host writes its record until it is acknowledged, and learns of other hosts from their records", "[proxy][hosts]")
{
    CallRecorder calls;
    const HostEntry self { HostName("a"), DataCentreName("east"), { "10.0.0.1", 7 }, { "10.0.0.1", 9 } };
    HostDirectory hosts(self, calls);
    hosts.tick(start);
    hosts.tick(start + HostDirectory::writeRetryInterval);
    CHECK(calls.hostWrites == 2);
    hosts.recordWritten(true);
    hosts.tick(start + 2 * HostDirectory::writeRetryInterval);
    CHECK(calls.hostWrites == 2);

    const HostEntry other { HostName("b"), DataCentreName("west"), { "10.0.0.2", 7 }, { "10.0.0.2", 9 } };
    const auto listed
        = page({ { "a", RowVersion(1), HostDirectory::encode(self), false },
                   { "b", RowVersion(2), HostDirectory::encode(other), false }, { "c", RowVersion(3), "\xff", false },
                   { "d", RowVersion(4), R"({"relay":3})", false } },
            4);
    CHECK(hosts.updateHosts(start, listed));
    CHECK(hosts.relays() == std::vector<SocketAddress> { other.relay });
    CHECK(hosts.hosts() == std::vector<HostEntry> { self, other });
    CHECK_FALSE(hosts.updateHosts(start, listed));
}

// Guards against hosts of two versions that read each other's records during a release.
TEST_CASE("A host's record states its processor share, and one without it counts as 1", "[proxy][hosts]")
{
    CallRecorder calls;
    HostDirectory hosts({ HostName("self"), DataCentreName("east"), { "10.0.0.1", 7 }, { "10.0.0.1", 9 } }, calls);
    const HostEntry small { HostName("b"), DataCentreName("west"), { "10.0.0.2", 7 }, { "10.0.0.2", 9 }, 0.084 };
    const auto record = [](const std::string& share) {
        return R"({"data_centre":"west","relay":"10.0.0.2:7","sessions":"10.0.0.2:9")" + share + "}";
    };
    CHECK(hosts.updateHosts(start,
        page({ { "b", RowVersion(1), HostDirectory::encode(small), false }, { "c", RowVersion(2), record(""), false },
                 { "d", RowVersion(3), record(R"(,"processor_share":0)"), false },
                 { "e", RowVersion(4), record(R"(,"processor_share":"half")"), false } },
            4)));
    REQUIRE(hosts.hosts().size() == 5);
    CHECK(hosts.hosts()[0] == small);
    for (std::size_t index = 1; index < 4; ++index)
        CHECK(hosts.hosts()[index].processorShare == 1.0);
}

TEST_CASE("Hosts whose records are not on the first page are known", "[proxy][hosts]")
{
    constexpr std::size_t pages = 3;
    constexpr std::size_t rowsPerPage = 500;
    CallRecorder calls;
    const HostEntry self { HostName("self"), DataCentreName("east"), { "10.0.0.1", 7 }, { "10.0.0.1", 9 } };
    HostDirectory hosts(self, calls);
    hosts.tick(start);

    auto now = start;
    for (std::size_t index = 0; index < pages; ++index) {
        std::vector<StoreRow> rows;
        for (std::size_t count = 0; count < rowsPerPage; ++count) {
            const auto number = index * rowsPerPage + count;
            const SocketAddress address { "10.0.1.1", static_cast<std::uint16_t>(number + 1) };
            const HostEntry other { {}, DataCentreName("west"), address, address };
            rows.push_back(
                { std::to_string(10000 + number), RowVersion(number + 1), HostDirectory::encode(other), false });
        }
        const auto lastKey = rows.back().key;
        const bool isLast = index + 1 == pages;
        now += HostDirectory::readTimeout;
        CHECK(hosts.updateHosts(now, page(rows, 9, !isLast)) == isLast);
        if (isLast)
            break;
        CHECK(calls.readFrom.back() == keyAfter(lastKey));
        // No second read starts while the next page is awaited.
        const auto reads = calls.reads;
        hosts.tick(now + HostDirectory::readTimeout);
        CHECK(calls.reads == reads);
    }
    CHECK(hosts.hosts().size() == pages * rowsPerPage + 1);
}
