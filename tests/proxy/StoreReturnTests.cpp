#include "proxy/HostDirectory.h"
#include "proxy/PromotionFixture.h"
#include "proxy/RecordedProxy.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

const StoreEra firstEra(1);
const StoreEra secondEra(2);

ProxySettings settings()
{
    ProxySettings made;
    made.host = HostName("self");
    made.dataCentre = DataCentreName("east");
    return made;
}

/// @return the record of another host.
RecordedProxy::Rows otherHost()
{
    const HostEntry other { HostName("other"), DataCentreName("west"), { "10.2.0.2", 7440 }, { "10.2.0.2", 7455 } };
    return { { "other", HostDirectory::encode(other) } };
}

} // namespace

// Guards against a host that is no home, feeder or relay of others any more, and does not know it.
TEST_CASE(
    "A host writes its record again when it is missing after the store came back from an older copy", "[proxy][return]")
{
    RecordedProxy host(settings());
    host.proxy.hostWritten(true);
    REQUIRE(host.delegate.hostWrites == 1);
    host.run(HostDirectory::readInterval);
    CHECK(host.delegate.hostWrites == 1);
    host.returnStore({ 105, secondEra }, { { "config", "10 orders group" } }, RecordedProxy::members());
    host.read(StoreTable::Hosts, { 105, secondEra }, otherHost());
    host.run(HostDirectory::writeRetryInterval);
    CHECK(host.delegate.hostWrites == 2);
}

// Guards against a host that others take for one of an earlier version, or reach at an earlier address.
TEST_CASE("A host replaces its earlier record after the store came back from an older copy", "[proxy][return]")
{
    RecordedProxy host(settings());
    host.proxy.hostWritten(true);
    host.run(HostDirectory::readInterval);
    REQUIRE(host.delegate.hostWrites == 1);
    host.returnStore({ 105, secondEra }, { { "config", "10 orders group" } }, RecordedProxy::members());
    const HostEntry earlier { HostName("self"), DataCentreName("east"), { "10.2.0.7", 1 }, { "10.2.0.7", 2 } };
    auto records = otherHost();
    records["self"] = HostDirectory::encode(earlier);
    host.read(StoreTable::Hosts, { 105, secondEra }, records);
    host.run(HostDirectory::writeRetryInterval);
    CHECK(host.delegate.hostWrites == 2);
}

// Guards against a promotion that counts by an older record and misses a member with an acknowledged commit.
TEST_CASE("The members are recorded again after the store came back from an older copy", "[proxy][return]")
{
    RecordedProxy host(settings());
    host.read(StoreTable::Hosts, { 110, firstEra }, otherHost());
    const GroupName group("group");
    for (const auto end = host.now + 10s; host.now < end && host.delegate.leaseReads == 0;)
        host.run(Auburnpost::Proxy::Proxy::tickInterval);
    REQUIRE(host.delegate.leaseReads == 1);
    host.proxy.leaseRead(host.now, group, PromotionLeaseRow { {}, {}, 1000 });
    REQUIRE(host.delegate.leaseWrites.size() == 1);
    host.proxy.leaseWritten(host.now, group, std::optional(RowVersion(120, firstEra)));
    host.run(30s);
    REQUIRE(host.delegate.leaseReads == 1);

    host.returnStore({ 105, secondEra }, { { "config", "10 orders group" } }, RecordedProxy::members());
    host.run(30s);
    CHECK(host.delegate.leaseReads > 1);
}

// Guards against two holders at a time: the lease that a host was granted before the return is not in the copy.
TEST_CASE("No lease is taken after the store came back from an older copy until the earlier ones have ended",
    "[proxy][return]")
{
    RecordedProxy host(settings());
    host.run(1s);
    host.returnStore({ 105, secondEra }, { { "config", "10 orders group" } }, RecordedProxy::members());
    const auto returnedAt = host.now;
    host.stop("p");
    const PromotionLeaseRow free { RowVersion(104, secondEra), PromotionLease { HostName("other"), 0, {} }, 1000 };
    std::optional<Instant> takenAt;
    std::size_t answered = 0;
    while (!takenAt && host.now < returnedAt + 2 * Promotion::leaseLifetime) {
        host.run(Auburnpost::Proxy::Proxy::tickInterval);
        if (host.delegate.leaseReads > answered) {
            answered = host.delegate.leaseReads;
            host.proxy.leaseRead(host.now, GroupName("group"), free);
        }
        if (!host.delegate.leaseWrites.empty())
            takenAt = host.now;
    }
    REQUIRE(takenAt);
    CHECK(toMilliseconds(*takenAt - returnedAt) >= toMilliseconds(Promotion::leaseLifetime));
}

// Guards against a version that was given out again: the condition held for another row content than the one read.
TEST_CASE("A lease that is written in a later era of the store than it was read is not held", "[proxy][return]")
{
    PromotionFixture group;
    group.promotion.start(group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
    group.tick(Promotion::startJitter);
    group.promotion.leaseRead(group.now, group.watcher, PromotionLeaseRow { RowVersion(120, firstEra), {}, 1000 });
    REQUIRE(group.delegate.writes == 1);
    group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(121, secondEra)));
    CHECK(group.delegate.commands.empty());
    group.tick(Promotion::retryDelay);
    CHECK(group.delegate.reads == 2);
}

TEST_CASE("A candidate that is recorded in a later era of the store than the lease was granted is not called for",
    "[proxy][return]")
{
    PromotionFixture group;
    group.promotion.start(group.now, group.watcher, group.random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
    group.tick(Promotion::startJitter);
    group.promotion.leaseRead(group.now, group.watcher, PromotionLeaseRow { RowVersion(120, firstEra), {}, 1000 });
    group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(121, firstEra)));
    group.reportFenced();
    group.promotion.membersRead(group.now, group.watcher, true);
    group.tick(30ms);
    REQUIRE(group.promotion.state() == "Recording");
    group.now += 10ms;
    group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(122, secondEra)));
    group.reportFenced();
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);
}

TEST_CASE(
    "A target that is ready again in an older copy of the store leaves again with its next record", "[proxy][return]")
{
    RecordedProxy host(settings());
    const auto isLeaving = [&host] {
        const auto state = nlohmann::json::parse(host.proxy.dump(host.now));
        return state.at("groups").at("group").at("members").at("r").at("leaving").get<bool>();
    };
    const RecordedProxy::Rows leaving { { "r", "group 2 leaving" } };
    host.run(300ms);
    host.change(StoreTable::Targets, { 120, firstEra }, leaving);
    CHECK(isLeaving());
    host.returnStore({ 115, secondEra }, { { "config", "10 orders group" } }, RecordedProxy::members());
    host.change(StoreTable::Targets, { 118, secondEra }, leaving);
    CHECK(isLeaving());
}
