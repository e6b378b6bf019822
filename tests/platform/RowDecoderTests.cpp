#include "platform/RowDecoder.h"
#include "platform/SettingsReader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace Auburnpost;
using namespace Auburnpost::Platform;
using namespace Auburnpost::Proxy;
using nlohmann::json;

namespace {

StoreRow row(std::string key, const json& value)
{
    return { std::move(key), RowVersion(7), value.dump(), false };
}

json recordJson()
{
    return { { "Service", "finy74a" }, { "Address", "10.3.64.36:8227" }, { "Zone", "south-galle" }, { "Version", "v1" },
        { "Slots", 3 }, { "State", "ready" }, { "Sequence", 1 }, { "ColdRemainingMs", 0 }, { "born", 1788612291107 },
        { "DatabaseRole", "primary" } };
}

json configurationJson()
{
    return { { "Version", 4 },
        { "Routes",
            { { { "Name", "r-1" }, { "Host", "noda340" }, { "Kind", "bounded_staleness" }, { "TimeoutMs", 2000 },
                { "Priority", 2 }, { "Service", "finy74a" }, { "MaxStalenessMs", 1500 } } } },
        { "Services", { { { "Name", "finy74a" }, { "ConnectionLimit", 48 }, { "SyncReplicas", 1 } } } },
        { "Limits", { { "TxIdleMs", 3000 } } } };
}

} // namespace

TEST_CASE("The operators' configuration is decoded into routes and groups", "[platform]")
{
    const RowDecoder decoder;
    const auto catalog = decoder.readCatalog(row("config", configurationJson()));
    REQUIRE(catalog);
    REQUIRE(*catalog);
    CHECK((*catalog)->version == ConfigVersion(4));
    const auto& route = (*catalog)->routes.at(DatabaseName("noda340"));
    CHECK(route.group == GroupName("finy74a"));
    CHECK(route.consistency == Consistency::BoundedStaleness);
    CHECK(route.statementTimeout == std::chrono::seconds(2));
    CHECK(route.maxStaleness == std::chrono::milliseconds(1500));
    CHECK((*catalog)->groups.at(GroupName("finy74a")).connectionLimit == 48);
    CHECK((*catalog)->groups.at(GroupName("finy74a")).syncReplicas == 1);
    CHECK((*catalog)->transactionIdleLimit == std::chrono::seconds(3));
}

TEST_CASE("No more than one replica is relied on to have an acknowledged commit", "[platform]")
{
    const RowDecoder decoder;
    const auto [configured, relied]
        = GENERATE(table<std::size_t, std::size_t>({ { 0, 0 }, { 1, 1 }, { 2, 1 }, { 4, 1 } }));
    auto configuration = configurationJson();
    configuration["Services"][0]["SyncReplicas"] = configured;
    const auto catalog = decoder.readCatalog(row("config", configuration));
    REQUIRE(catalog);
    REQUIRE(*catalog);
    CHECK((*catalog)->groups.at(GroupName("finy74a")).syncReplicas == relied);
}

TEST_CASE("Other rows of the operators hold no configuration, and a malformed configuration is an error", "[platform]")
{
    const RowDecoder decoder;
    const auto other = decoder.readCatalog(row("notes", configurationJson()));
    REQUIRE(other);
    CHECK_FALSE(*other);
    CHECK_FALSE(decoder.readCatalog({ "config", RowVersion(1), "{", false }));
    auto incomplete = configurationJson();
    incomplete["Routes"][0].erase("Service");
    CHECK_FALSE(decoder.readCatalog(row("config", incomplete)));
}

TEST_CASE("A route of an unknown kind gets the strictest consistency", "[platform]")
{
    auto strange = configurationJson();
    strange["Routes"][0]["Kind"] = "eventual";
    const auto catalog = RowDecoder().readCatalog(row("config", strange));
    REQUIRE(catalog);
    CHECK((*catalog)->routes.at(DatabaseName("noda340")).consistency == Consistency::Current);
}

TEST_CASE("A target's record is decoded, and a malformed one is an error", "[platform]")
{
    const RowDecoder decoder;
    const auto record = decoder.readTarget(row("i-1", recordJson()));
    REQUIRE(record);
    CHECK(record->name == TargetName("i-1"));
    CHECK(record->address == SocketAddress { "10.3.64.36", 8227 });
    CHECK(record->reportsPrimary);
    CHECK(record->incarnation == TargetIncarnation(1788612291107));

    for (const auto* const field : { "Service", "Address", "Zone", "Slots", "State", "born", "DatabaseRole" }) {
        INFO(field);
        auto without = recordJson();
        without.erase(field);
        CHECK_FALSE(decoder.readTarget(row("i-1", without)));
        auto otherType = recordJson();
        otherType[field] = json::array({ 1 });
        CHECK_FALSE(decoder.readTarget(row("i-1", otherType)));
    }
    auto strange = recordJson();
    strange["State"] = "sleeping";
    CHECK_FALSE(decoder.readTarget(row("i-1", strange)));
    CHECK_FALSE(decoder.readTarget({ "i-1", RowVersion(1), "\xff\xfe", false }));
}

TEST_CASE("The decoder accepts or refuses any bytes without a crash", "[platform]")
{
    rc::prop("any bytes are decoded or refused", [](const std::string& bytes) {
        const RowDecoder decoder;
        (void)decoder.readTarget({ "i-1", RowVersion(1), bytes, false });
        (void)decoder.readCatalog({ "config", RowVersion(1), bytes, false });
    });
}

TEST_CASE("All settings that a host needs are read, and the error names a missing field", "[platform]")
{
    const json settings { { "Node", "front-1" }, { "Zone", "west" }, { "Ip", "10.1.0.8" },
        { "Listen", { { "Front", "10.1.0.8:8784" }, { "Ready", "10.1.0.8:8785" }, { "Control", "10.1.0.8:8782" } } },
        { "InternalPorts", { 7440, 7455 } }, { "Seeds", { "10.1.0.8:8782", "10.2.0.6:8782" } },
        { "Limits", { { "FileDescriptors", 3010 } } }, { "Bounds", { { "GraceS", 6 } } },
        { "platform", { { "Address", "10.200.1.7:8783" } } }, { "Cloud", { { "Address", "10.200.0.160:8783" } } },
        { "Unknown", true } };
    constexpr std::uint16_t metricsPort = 9464;
    const auto read = readSettings(settings.dump(), metricsPort);
    REQUIRE(read);
    CHECK(read->host == HostName("front-1"));
    CHECK(read->callers == SocketAddress { "10.1.0.8", 8784 });
    CHECK(read->metrics == SocketAddress { "10.1.0.8", metricsPort });
    CHECK(read->relay == SocketAddress { "10.1.0.8", 7440 });
    CHECK(read->sessions == SocketAddress { "10.1.0.8", 7455 });
    CHECK(read->descriptors == 3010);
    CHECK(read->seeds.size() == 2);
    CHECK(read->stopTimeout == std::chrono::seconds(6));

    CHECK_FALSE(read->isFirstStart);
    auto first = settings;
    first["FirstStart"] = true;
    CHECK(readSettings(first.dump(), metricsPort)->isFirstStart);

    auto broken = settings;
    broken["platform"].erase("Address");
    const auto refused = readSettings(broken.dump(), metricsPort);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().message.find("Address") != std::string::npos);
    CHECK_FALSE(readSettings("nonsense", metricsPort));

    SECTION("the processor share is read, and is 1 where the deployment states none that is positive")
    {
        CHECK(read->processorShare == 1.0);
        auto shared = settings;
        shared["Limits"]["CpuShare"] = 0.25;
        CHECK(readSettings(shared.dump(), metricsPort)->processorShare == 0.25);
        for (const json& unusable : { json(0), json(-1), json("half"), json(nullptr) }) {
            shared["Limits"]["CpuShare"] = unusable;
            const auto own = readSettings(shared.dump(), metricsPort);
            REQUIRE(own);
            CHECK(own->processorShare == 1.0);
        }
    }
    SECTION("the time bounds of the deployment are read, and are the usual ones where it sets none")
    {
        CHECK(read->bounds == Proxy::TimeBounds {});
        auto bounded = settings;
        bounded["Bounds"]["ConfigPropagationMs"] = 2000;
        bounded["Bounds"]["StabilityWindowMs"] = 2500.5;
        bounded["Bounds"]["DrainMs"] = 3500;
        const auto own = readSettings(bounded.dump(), metricsPort);
        REQUIRE(own);
        CHECK(own->bounds.configuration == std::chrono::milliseconds(2000));
        CHECK(own->bounds.recovery == std::chrono::microseconds(2500500));
        CHECK(own->bounds.drain == std::chrono::milliseconds(3500));
        bounded["Bounds"]["DrainMs"] = 0;
        const auto empty = readSettings(bounded.dump(), metricsPort);
        REQUIRE_FALSE(empty);
        CHECK(empty.error().message.find("DrainMs") != std::string::npos);
    }
    SECTION("rate limits are enforced where the deployment sets all their rules")
    {
        CHECK_FALSE(read->allotments);
        auto limited = settings;
        limited["Bounds"]["QuotaWindowS"] = 5;
        limited["Bounds"]["QuotaOverage"] = 0.1;
        const auto partial = readSettings(limited.dump(), metricsPort);
        REQUIRE(partial);
        CHECK_FALSE(partial->allotments);
        limited["Bounds"]["QuotaSlack"] = 20;
        const auto whole = readSettings(limited.dump(), metricsPort);
        REQUIRE(whole);
        CHECK(whole->allotments == Limit::AllotmentRules { std::chrono::seconds(5), 0.1, 20 });
        limited["Bounds"]["QuotaWindowS"] = 0;
        CHECK_FALSE(readSettings(limited.dump(), metricsPort));
    }
}
