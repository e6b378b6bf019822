#include "proxy/StoreCallCounts.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;

namespace {

tl::unexpected<Error> failed(ErrorCode code)
{
    return fail(code, "call", "store", "failed");
}

} // namespace

TEST_CASE("Calls to the store are counted by table, kind and outcome", "[proxy][store]")
{
    StoreCallCounts counts;
    CHECK(counts.dump().empty());

    SECTION("reads and polls")
    {
        StorePage changed;
        changed.rows.push_back({ "key", RowVersion(3), "value", false });
        StorePage gone;
        gone.isHistoryUnavailable = true;
        counts.recordRead(StoreTable::Hosts, StorePage {});
        counts.recordRead(StoreTable::Hosts, StorePage {});
        counts.recordRead(StoreTable::Hosts, failed(ErrorCode::PlatformUnavailable));
        counts.recordPoll(StoreTable::Targets, changed);
        counts.recordPoll(StoreTable::Targets, StorePage {});
        counts.recordPoll(StoreTable::Targets, gone);
        counts.recordPoll(StoreTable::Configuration, failed(ErrorCode::PlatformRefused));
        counts.recordPoll(StoreTable::Configuration, failed(ErrorCode::BadMessage));
        CHECK(counts.dump()
            == "store_calls_configuration_poll_refused count=2\n"
               "store_calls_hosts_read_done count=2\n"
               "store_calls_hosts_read_unanswered count=1\n"
               "store_calls_targets_poll_changed count=1\n"
               "store_calls_targets_poll_unchanged count=1\n"
               "store_calls_targets_poll_history_lost count=1\n");
    }
    SECTION("writes and leases")
    {
        counts.recordHostWrite(true);
        counts.recordHostWrite(false);
        counts.recordLeaseRead(PromotionLeaseRow {});
        counts.recordLeaseWrite(std::optional(RowVersion(4)));
        counts.recordLeaseWrite(std::optional<RowVersion> {});
        counts.recordLeaseWrite(failed(ErrorCode::PlatformUnavailable));
        CHECK(counts.dump()
            == "store_calls_hosts_write_done count=1\n"
               "store_calls_hosts_write_refused count=1\n"
               "store_calls_leases_read_done count=1\n"
               "store_calls_leases_write_done count=1\n"
               "store_calls_leases_write_conflict count=1\n"
               "store_calls_leases_write_unanswered count=1\n");
    }
}
