#include "engine/SiteSimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace Auburnpost;
using namespace std::chrono_literals;

namespace {

/// Number of random schedules; a longer run sets AUBURNPOST_SCHEDULES.
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
    const auto strikes = std::uniform_int_distribution<int>(2, 8)(site.random());
    for (int strike = 0; strike < strikes; ++strike) {
        site.strike();
        site.run(std::uniform_int_distribution<int>(20, 1500)(site.random()) * 1ms);
    }
    site.healAll();
    site.run(9s);
    const auto before = site.checker().count(SiteChecker::Told::Acknowledged);
    site.run(3s);
    const auto after = site.checker().count(SiteChecker::Told::Acknowledged);
    site.finish();
    INFO("seed " << seed);
    CHECK(site.checker().violation().empty());
    INFO(site.checker().violation());
    CHECK(site.checker().violation() == "");
    CHECK(after > before);
}

} // namespace

TEST_CASE("A site without faults acknowledges, reads its own work and loses nothing", "[engine][site]")
{
    SiteSimulation site({ 1 });
    site.run(10s);
    site.finish();
    CHECK(site.checker().violation() == "");
    CHECK(site.checker().count(SiteChecker::Told::Acknowledged) > 200);
    CHECK(site.checker().count(SiteChecker::Told::Unknown) == 0);
    CHECK(site.checker().count(SiteChecker::Told::NotRun) == 0);
    CHECK(site.checker().reads() > 200);
}

TEST_CASE("Under random faults no promise to a caller is broken", "[engine][site][schedules]")
{
    for (auto seed = firstSeed(); seed < firstSeed() + scheduleCount(); ++seed)
        runSchedule(seed);
}

TEST_CASE("A killed primary costs no acknowledged write", "[engine][site]")
{
    SiteSimulation site({ 7 });
    site.run(4s);
    site.killPrimary();
    const auto before = site.checker().count(SiteChecker::Told::Acknowledged);
    site.run(3s);
    CHECK(site.checker().count(SiteChecker::Told::Acknowledged) > before + 20);
    site.finish();
    CHECK(site.checker().violation() == "");
}
