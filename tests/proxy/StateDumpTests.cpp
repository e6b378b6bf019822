#include "proxy/Proxy.h"
#include "proxy/StateDump.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr Instant start { 100s };

/// Opens each connection and answers each status query and fence when asked to.
struct FakeDelegate final : ProxyDelegate {
    std::map<ConnectionId, TargetName> opened;
    std::vector<std::pair<ConnectionId, TargetRequest>> sent;
    std::map<std::string, LogRecord> removals;

    void acceptSession(SessionId) override { }
    void refuseSession(SessionId, const Session::Failure&) override { }
    void answer(SessionId, const Session::Answer&) override { }
    void forwardSession(SessionId, const SessionRequest&, const HostEntry&) override { }
    void stateRoute(SessionId, const StatedRoute&) override { }
    void stateVersion(SessionId, ConfigVersion) override { }
    void endForwardedSession(SessionId) override { }
    void closeSession(SessionId) override { }
    void openConnection(ConnectionId id, const TargetRecord& target, const OrganisationName&,
        const std::optional<SocketAddress>&) override
    {
        opened[id] = target.name;
    }
    void closeConnection(ConnectionId) override { }
    void send(ConnectionId id, const std::vector<TargetRequest>& requests) override
    {
        for (const auto& request : requests)
            sent.emplace_back(id, request);
    }
    void readTable(StoreTable, const std::string&, Duration, StoreCallSlot) override { }
    void followTable(StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void followFeeder(const SocketAddress&, StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void cancelCall(StoreTable, StoreCallSlot) override { }
    void answerFeed(RequestId, const std::optional<FeedPage>&) override { }
    void writeHost(const HostName&, const std::string&) override { }
    void readLease(const GroupName&) override { }
    void writeLease(const GroupName&, const PromotionLease&, RowVersion) override { }
    void readMembers(const GroupName&, const std::string&) override { }
    void promote(const GroupName&, const TargetName&, RowVersion, Instant) override { }
    void queryPeer(const SocketAddress&) override { }
    void queryVersion(const SocketAddress&, ConfigVersion, Duration) override { }
    void sendDatagram(const SocketAddress&, std::string_view) override { }
    void log(const LogRecord& record) override
    {
        if (record.event == LogEvent::TargetRemoved)
            removals[record.fields.at(1).value] = record;
    }
    void measure(std::string_view, double) override { }
};

/// Reads a row of the configuration as one group, and a row of a target as "PORT" or "PORT leaving".
struct FakeReader final : RowReader {
    [[nodiscard]] Expected<std::optional<Catalog>> readCatalog(const StoreRow& row) const override
    {
        Catalog catalog;
        catalog.version = ConfigVersion(row.version.value());
        catalog.groups[GroupName("group")] = { 50, 1 };
        return std::optional(catalog);
    }
    [[nodiscard]] Expected<TargetRecord> readTarget(const StoreRow& row) const override
    {
        TargetRecord record;
        record.name = TargetName(row.key);
        record.group = GroupName("group");
        record.address = { "10.0.0.1", static_cast<std::uint16_t>(std::stoul(row.value)) };
        record.isLeaving = row.value.ends_with("leaving");
        return record;
    }
};

/// A proxy that follows a group of the primary p and the replicas r and s.
struct Fixture {
    Instant now { start };
    FakeDelegate delegate;
    FakeReader reader;
    Auburnpost::Proxy::Proxy proxy { now, {}, reader, delegate, 1 };
    std::map<TargetName, Term> fences;
    bool isDemoted { false };

    Fixture()
    {
        proxy.tick(now);
        proxy.tableRead(now, StoreTable::Configuration, page({ { "config", RowVersion(1), "", false } }, 10));
        proxy.tableRead(now, StoreTable::Targets,
            page({ { "p", RowVersion(2), "1", false }, { "r", RowVersion(3), "2", false },
                     { "s", RowVersion(4), "3", false } },
                10));
        run(300ms);
    }

    static StorePage page(std::vector<StoreRow> rows, std::uint64_t asOf)
    {
        return { std::move(rows), RowVersion(asOf), false, false };
    }
    void run(Duration length)
    {
        for (const auto end = now + length; now < end; now += Auburnpost::Proxy::Proxy::tickInterval) {
            for (const auto& [id, target] : std::exchange(delegate.opened, {})) {
                m_targets[id] = target;
                proxy.connectionOpened(now, id, {});
            }
            for (const auto& [id, request] : std::exchange(delegate.sent, {}))
                reply(id, request);
            proxy.tick(now);
        }
    }
    [[nodiscard]] Json dump() const { return Json::parse(proxy.dump(now)); }
    [[nodiscard]] Json group() const { return dump().at("groups").at("group"); }

private:
    void reply(ConnectionId id, const TargetRequest& request)
    {
        const auto& target = m_targets.at(id);
        if (const auto* const fence = std::get_if<FenceReplica>(&request))
            fences[target] = fence->term;
        isDemoted = isDemoted || std::holds_alternative<DemotePrimary>(request);
        TargetReply reply { Session::Success {}, Session::TransactionState::Idle, {}, {} };
        reply.status = TargetStatus {};
        reply.status->isPrimary = target == TargetName("p") && !isDemoted;
        reply.status->term = Term(2);
        reply.status->received = { Term(2), Position(reply.status->isPrimary || isDemoted ? 9 : 8) };
        reply.status->fencedTerm = fences[target];
        proxy.replied(now, id, reply);
    }

    std::map<ConnectionId, TargetName> m_targets;
};

} // namespace

TEST_CASE("The state shows each member's role, log and fence, and the age of the list", "[proxy][dump]")
{
    Fixture test;
    const auto group = test.group();
    CHECK(group.at("primary") == "p");
    CHECK(group.at("term") == 2);
    CHECK(group.at("counted") == 3);
    CHECK(group.at("fences_needed") == 2);
    CHECK(group.at("promotion") == "Idle");
    CHECK(group.at("promotion_calls").empty());
    CHECK(group.at("departed") == "-");
    CHECK(group.at("primary_end") == "2.9");
    CHECK(group.at("primary_end_age_ms") <= 300);
    const auto& primary = group.at("members").at("p");
    CHECK(primary.at("role") == "primary");
    CHECK(primary.at("log_end") == "2.9");
    CHECK(primary.at("log_end_age_ms") <= 300);
    CHECK(primary.at("fence") == 0);
    CHECK(primary.at("leaving") == false);
    CHECK(group.at("members").at("r").at("role") == "replica");
    CHECK(group.at("members").at("r").at("log_end") == "2.8");
    const auto& load = group.at("members").at("r").at("load");
    CHECK(load.at("service_ms") == toMilliseconds(TargetLoad::defaultService));
    CHECK(load.at("network_ms") <= 10);
    CHECK(load.at("others") == 0);
    CHECK(load.at("failure_rate") == 0);
    CHECK(load.at("paused") == false);
    CHECK(load.at("share") == 1);
    CHECK(test.dump().at("targets_list") == Json { { "from", "store" }, { "as_of", 10 }, { "age_ms", 300 } });

    SECTION("the list is as old as the last answer of the store, even one without a change")
    {
        test.proxy.tableFollowed(test.now, StoreTable::Targets, Fixture::page({}, 12));
        CHECK(test.dump().at("targets_list") == Json { { "from", "store" }, { "as_of", 12 }, { "age_ms", 0 } });
    }
    SECTION("a list from a peer names the peer")
    {
        TableStates tables;
        tables[StoreTable::Targets] = { RowVersion(15), { { "p", { "p", RowVersion(2), "1", false } } } };
        test.proxy.peerAnswered(test.now, { "10.0.0.9", 7 }, tables);
        CHECK(test.dump().at("targets_list") == Json { { "from", "10.0.0.9:7" }, { "as_of", 15 }, { "age_ms", 300 } });
    }
}

TEST_CASE("The state shows why a primary is not used", "[proxy][dump]")
{
    Fixture test;
    test.run(100ms);
    CHECK(test.group().at("primary_doubt").at("doubt") == "started");
    test.proxy.leaseRead(test.now, GroupName("group"), PromotionLeaseRow {});
    CHECK_FALSE(test.group().contains("primary_doubt"));
}

TEST_CASE("The state shows a promotion call until its effect, with its token, candidate and age", "[proxy][dump]")
{
    Fixture test;
    test.proxy.tableFollowed(
        test.now, StoreTable::Targets, Fixture::page({ { "p", RowVersion(11), "1 leaving", false } }, 11));
    test.run(200ms);
    test.proxy.leaseRead(test.now, GroupName("group"), PromotionLeaseRow {});
    test.proxy.leaseWritten(test.now, GroupName("group"), std::optional(RowVersion(20)));
    test.run(300ms);
    test.proxy.leaseWritten(test.now, GroupName("group"), std::optional(RowVersion(21)));
    test.run(100ms);
    const auto group = test.group();
    REQUIRE(group.at("promotion") == "Calling");
    const auto& calls = group.at("promotion_calls");
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().at("candidate") == "r");
    CHECK(calls.front().at("token") == 21);
    CHECK(calls.front().at("log_end") == "2.9");
    CHECK(calls.front().at("call_ms") <= 400);
    CHECK(calls.front().at("given_up") == false);
    CHECK(group.at("members").at("p").at("role") == "replica");
    CHECK(group.at("pending_promotion").at("candidate") == "r");
    CHECK(group.at("members").at("p").at("leaving") == true);
}

TEST_CASE(
    "The state shows the number of the record of members, and the members on it that are not listed", "[proxy][dump]")
{
    Fixture test;
    CHECK(test.group().at("member_record")
        == Json { { "number", 0 }, { "problem", "none" }, { "unlisted", Json::array() } });
    test.proxy.tableFollowed(
        test.now, StoreTable::Targets, Fixture::page({ { "p", RowVersion(11), "1 leaving", false } }, 11));
    test.run(200ms);
    PromotionLeaseRow row { RowVersion(17), PromotionLease { HostName("other"), 0, {} }, 1000 };
    row.lease->members = MemberRecord {
        { { TargetName("p"), { "10.0.0.1", 1 }, {} }, { TargetName("lapsed"), { "10.0.0.1", 9 }, {} } }, 1, Term(2)
    };
    test.proxy.leaseRead(test.now, GroupName("group"), row);
    CHECK(test.group().at("member_record")
        == Json { { "number", 17 }, { "problem", "none" }, { "unlisted", { "lapsed" } } });
    CHECK(test.group().at("members").at("lapsed").at("listed") == false);
    CHECK(test.group().at("counted") == 4);
}

TEST_CASE("The removal of a target is logged with the version of the list and whether the target was leaving",
    "[proxy][dump]")
{
    Fixture test;
    test.proxy.tableFollowed(test.now, StoreTable::Targets,
        Fixture::page({ { "r", RowVersion(11), "2 leaving", false }, { "s", RowVersion(12), "", true } }, 12));
    test.proxy.tableFollowed(test.now, StoreTable::Targets, Fixture::page({ { "r", RowVersion(13), "", true } }, 13));
    CHECK(test.delegate.removals.at("r").fields.at(2).value == "yes");
    CHECK(test.delegate.removals.at("r").fields.at(3).value == "13");
    test.run(TargetDirectory::maxMissingTimeout + 100ms);
    CHECK(test.delegate.removals.at("s").fields.at(2).value == "no");
    const auto group = test.group();
    const auto& lapsed = group.at("members").at("s");
    CHECK(lapsed.at("listed") == false);
    CHECK(lapsed.at("unlisted_ms") <= 100);
    CHECK(lapsed.at("ended") == false);
    CHECK(test.group().at("departed").get<std::string>().find("r/left/2.8/") == 0);
    CHECK(test.group().at("departed").get<std::string>().find("s/lapsed/2.8/") != std::string::npos);
}
