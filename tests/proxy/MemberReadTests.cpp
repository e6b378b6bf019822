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

    SECTION("a failed read is repeated")
    {
        group.promotion.membersRead(group.now, group.watcher, false);
        group.tick(Promotion::commandRetryInterval);
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
