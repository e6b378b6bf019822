#include "proxy/PromotionFixture.h"

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

// Guards against lost commits: on an old list a primary and its replicas may be missing.
TEST_CASE("No call is made before the members were read under the lease", "[proxy][promotion]")
{
    PromotionFixture group;
    group.acquireLease();
    CHECK(group.delegate.memberReads == 1);
    group.reportFenced();
    group.tick(30ms);
    group.record();
    group.reportFenced();
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);

    SECTION("a read that began before the lease was acquired is repeated")
    {
        group.tick(Promotion::leaseLifetime);
        group.tick(30ms);
        REQUIRE(group.promotion.state() == "Delaying");
        group.tick(Promotion::retryDelay);
        group.promotion.leaseRead(group.now, group.watcher, PromotionLeaseRow { RowVersion(7), {}, 9000 });
        group.promotion.leaseWritten(group.now, group.watcher, std::optional(RowVersion(8)));
        CHECK(group.delegate.memberReads == 1);
        group.promotion.membersRead(group.now, group.watcher, true);
        CHECK(group.delegate.memberReads == 2);
    }
    SECTION("a failed read is repeated")
    {
        group.promotion.membersRead(group.now, group.watcher, false);
        group.tick(Promotion::membersRetryInterval);
        CHECK(group.delegate.memberReads == 2);
    }
    SECTION("a member that only the store lists has to be fenced")
    {
        std::vector<TargetRecord> records;
        for (const auto& [name, member] : group.watcher.members())
            records.push_back(member.record);
        records.emplace_back();
        records.back().name = TargetName("t");
        records.back().address = { "10.0.0.1", 9 };
        group.watcher.setMembers(group.now, records);
        group.promotion.membersRead(group.now, group.watcher, true);
        group.reportFenced();
        group.tick(30ms);
        CHECK_FALSE(group.delegate.promoted);
        group.tick(Promotion::commandRetryInterval);
        CHECK(group.delegate.has("fence t"));
    }
}

// Guards against lost commits: until the call takes effect, a primary that answers may acknowledge with a member that
// joined after the list was read.
TEST_CASE(
    "A blocked primary that answers is demoted, and the members are read again, before the call", "[proxy][promotion]")
{
    PromotionFixture group;
    group.now += 100ms;
    group.reportStatus("p", makeStatus(true, 1, 20));
    group.now += 100ms;
    for (const auto* const name : { "r", "s" })
        group.reportStatus(name, makeStatus(false, 1, 8));
    group.acquireLease();
    REQUIRE(group.promotion.state() == "Fencing");
    group.promotion.membersRead(group.now, group.watcher, true);
    group.reportFenced();
    group.tick(30ms);
    CHECK(group.delegate.has("demote p"));
    CHECK(group.delegate.memberReads == 2);
    group.record();
    group.reportFenced();
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);
    group.promotion.membersRead(group.now, group.watcher, true);
    group.tick(30ms);
    CHECK_FALSE(group.delegate.promoted);
    group.reportStatus("p", makeStatus(false, 1, 20));
    group.tick(30ms);
    CHECK(group.delegate.promoted == TargetName("s"));
}

TEST_CASE("A failing read of the members is not repeated at the rate of the fences", "[proxy][promotion]")
{
    PromotionFixture group;
    group.acquireLease();
    while (group.promotion.state() == "Fencing") {
        group.promotion.membersRead(group.now, group.watcher, false);
        group.tick(Promotion::commandRetryInterval / 2);
    }
    CHECK(group.delegate.memberReads <= 4);
}

TEST_CASE("Fencing ends with the lease however late the ticks are", "[proxy][promotion]")
{
    PromotionFixture group;
    group.acquireLease();
    for (int step = 0; step < 100; ++step)
        group.tick(Promotion::commandRetryInterval);
    CHECK(group.promotion.state() != "Fencing");
}
