#include "engine/SiteSimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace Auburnpost;
using namespace std::chrono_literals;

namespace {

/// Number of random schedules; AUBURNPOST_SCHEDULES sets it for a longer run.
std::uint64_t scheduleCount()
{
    const auto* text = std::getenv("AUBURNPOST_SCHEDULES");
    return text ? std::strtoull(text, nullptr, 10) : 20;
}

std::uint64_t firstSeed()
{
    const auto* text = std::getenv("AUBURNPOST_FIRST_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
}

void runSchedule(std::uint64_t seed)
{
    SiteSimulation site({ seed });
    site.run(4s);
    const auto faultCount = std::uniform_int_distribution<int>(2, 8)(site.random());
    for (int fault = 0; fault < faultCount; ++fault) {
        site.injectRandomFault();
        site.run(std::uniform_int_distribution<int>(20, 1500)(site.random()) * 1ms);
    }
    site.healAll();
    site.run(9s);
    const auto before = site.checker().count(SiteChecker::ReportedOutcome::Acknowledged);
    site.run(3s);
    const auto after = site.checker().count(SiteChecker::ReportedOutcome::Acknowledged);
    site.finish();
    INFO("seed " << seed);
    CHECK(site.checker().violation().empty());
    INFO(site.checker().violation());
    CHECK(site.checker().violation() == "");
    CHECK(after > before);
}

} // namespace

TEST_CASE("A site without faults acknowledges writes, serves consistent reads and loses nothing", "[engine][site]")
{
    SiteSimulation site({ 1 });
    site.run(10s);
    site.finish();
    CHECK(site.checker().violation() == "");
    CHECK(site.checker().count(SiteChecker::ReportedOutcome::Acknowledged) > 200);
    CHECK(site.checker().count(SiteChecker::ReportedOutcome::Unknown) == 0);
    CHECK(site.checker().count(SiteChecker::ReportedOutcome::NotRun) == 0);
    CHECK(site.checker().reads() > 200);
}

TEST_CASE("Random faults break no guarantee given to a caller", "[engine][site][schedules]")
{
    for (auto seed = firstSeed(); seed < firstSeed() + scheduleCount(); ++seed)
        runSchedule(seed);
}

TEST_CASE("No acknowledged write is lost when the primary is killed", "[engine][site]")
{
    SiteSimulation site({ 7 });
    site.run(4s);
    site.killPrimary();
    const auto before = site.checker().count(SiteChecker::ReportedOutcome::Acknowledged);
    site.run(3s);
    CHECK(site.checker().count(SiteChecker::ReportedOutcome::Acknowledged) > before + 20);
    site.finish();
    CHECK(site.checker().violation() == "");
}

TEST_CASE("Callers that reach only a replaced primary get neither acknowledgements nor stale reads", "[engine][site]")
{
    // Each host in turn is the one that still reaches the replaced primary.
    for (std::size_t host = 0; host < 4; ++host) {
        SiteSimulation site({ 21 + host });
        site.run(4s);
        site.isolate(host, 0);
        site.run(5s);
        REQUIRE(site.primaryIndex() != std::optional<std::size_t>(0));
        const auto acknowledged = site.checker().count(SiteChecker::ReportedOutcome::Acknowledged);
        const auto reads = site.checker().reads();
        site.restrictCallersTo(host);
        // Answers of the other hosts that are still in flight arrive first.
        site.run(3s);
        const auto lateReads = site.checker().reads() - reads;
        const auto late = site.checker().count(SiteChecker::ReportedOutcome::Acknowledged) - acknowledged;
        INFO("host " << host << ": " << late << " acknowledgements, " << lateReads << " reads");
        site.run(3s);
        CHECK(site.checker().count(SiteChecker::ReportedOutcome::Acknowledged) == acknowledged + late);
        site.restrictCallersTo(std::nullopt);
        site.healAll();
        site.run(6s);
        CHECK(site.checker().count(SiteChecker::ReportedOutcome::Acknowledged) > acknowledged + late);
        site.finish();
        CHECK(site.checker().violation() == "");
    }
}

TEST_CASE("A planned shutdown of a host under load fails no request", "[engine][site][stop]")
{
    for (std::size_t host = 0; host < 4; ++host) {
        SiteSimulation site({ 31 + host });
        site.run(4s);
        site.stopHost(host);
        site.run(10s);
        REQUIRE(site.exitStatus(host) == std::optional<int>(0));
        site.restartHost(host);
        site.run(4s);
        site.finish();
        CHECK(site.checker().violation() == "");
        CHECK(site.checker().count(SiteChecker::ReportedOutcome::Unknown) == 0);
        CHECK(site.checker().count(SiteChecker::ReportedOutcome::NotRun) == 0);
    }
}

TEST_CASE("A planned switchover or a leaving target fails no request", "[engine][site][switch]")
{
    for (std::uint64_t seed = 41; seed < 45; ++seed) {
        SiteSimulation site({ seed });
        site.run(4s);
        SECTION("switchover to a named target")
        {
            site.setMaintenance(R"({"switches":[{"database":"sizing-core-1","to":"target-b"}]})");
            site.run(6s);
            CHECK(site.primaryIndex() == std::optional<std::size_t>(1));
        }
        SECTION("leaving primary")
        {
            site.setMaintenance(R"({"leaving_targets":["target-a"]})");
            site.run(6s);
            CHECK(site.primaryIndex() != std::optional<std::size_t>(0));
        }
        SECTION("leaving replica")
        {
            site.setMaintenance(R"({"leaving_targets":["target-c"]})");
            site.run(6s);
            CHECK(site.primaryIndex() == std::optional<std::size_t>(0));
        }
        site.finish();
        CHECK(site.checker().violation() == "");
        CHECK(site.checker().count(SiteChecker::ReportedOutcome::Unknown) == 0);
        CHECK(site.checker().count(SiteChecker::ReportedOutcome::NotRun) == 0);
    }
}

TEST_CASE("A primary is replaced and writes continue while the platform is down", "[engine][site]")
{
    SiteSimulation site({ 51 });
    site.run(4s);
    site.setPlatformDown(true);
    site.run(3s);
    site.killPrimary();
    const auto before = site.checker().count(SiteChecker::ReportedOutcome::Acknowledged);
    site.run(5s);
    CHECK(site.checker().count(SiteChecker::ReportedOutcome::Acknowledged) > before + 20);
    site.killHost(0);
    site.run(2s);
    site.restartHost(0);
    site.run(5s);
    site.finish();
    CHECK(site.checker().violation() == "");
}
