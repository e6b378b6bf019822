#include "limit/AllotmentModel.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Limit;
using namespace std::chrono_literals;

namespace {

std::map<OrganisationName, AllotmentLimit> mixedLimits()
{
    return { { OrganisationName("large"), { 200, 100 } }, { OrganisationName("middle"), { 30, 15 } },
        { OrganisationName("small"), { 6, 4 } }, { OrganisationName("tiny"), { 1, 1 } } };
}

/// @return a run in which everything goes wrong, at rates that depend on the seed.
AllotmentModelSettings troubledSettings(RandomEngine::result_type seed)
{
    RandomEngine random(seed);
    const auto upTo = [&random](double most) { return std::uniform_real_distribution<double>(0, most)(random); };
    AllotmentModelSettings settings;
    // With few hosts each share is large, so that one which two hosts use shows.
    settings.hosts = 2 + random() % (seed % 2 ? 3 : 14);
    settings.limits = mixedLimits();
    settings.load = 0.8 + upTo(5);
    settings.loadPeriod = random() % 3 ? Duration {} : 4s + Duration(random() % 12'000'000);
    settings.hostsPerOrganisation = 1 + random() % settings.hosts;
    settings.duration = 60s;
    // Each kind of fault is absent in half of the runs, as many faults at once leave few permits to use twice.
    const auto sometimes = [&random, &upTo](double most) { return random() % 2 ? upTo(most) : 0.0; };
    settings.faults = { sometimes(0.4), sometimes(0.2), sometimes(0.2), 8s, sometimes(1), sometimes(1), sometimes(0.3),
        sometimes(0.03), sometimes(0.2), 6s, random() % 4 == 0 };
    return settings;
}

} // namespace

// Guards against permits that two hosts use: after a lease or grant that two hosts count differently, a restart, a
// pause, a partition, a late or doubled datagram, a joining host, or a changed limit.
TEST_CASE("No window exceeds the organisations' limits whatever fails", "[limit][allotments]")
{
    double worst = 0;
    for (RandomEngine::result_type seed = 1; seed <= 300; ++seed) {
        AllotmentModel model(troubledSettings(seed), seed);
        model.run();
        const auto window = model.worstWindow();
        INFO("seed " << seed << ", organisation " << window.organisation << ", admitted " << window.admitted
                     << ", allowed " << window.allowed);
        CHECK(window.admitted <= window.allowed);
        worst = std::max(worst, window.admitted / window.allowed);
    }
    // The faults must leave enough permits that a share used twice would show.
    CHECK(worst > 0.9);
}

// Guards against limits that refuse callers below their limit, as static parts of a limit on many hosts would.
TEST_CASE("Demand below the limit is admitted in calm periods", "[limit][allotments]")
{
    for (RandomEngine::result_type seed = 1; seed <= 10; ++seed) {
        AllotmentModelSettings settings;
        settings.hosts = 30;
        settings.hostsPerOrganisation = 12;
        settings.limits = mixedLimits();
        settings.load = 1 / 1.6;
        AllotmentModel model(settings, seed);
        model.run();
        const auto totals = model.totalsFrom(10s);
        const auto datagramsPerHostSecond = static_cast<double>(totals.datagrams) / (50.0 * 30);
        INFO("seed " << seed << ", refused" << model.describeRefusals(10s) << ", datagrams for each host and second "
                     << datagramsPerHostSecond);
        CHECK(static_cast<double>(totals.refused) <= 0.005 * static_cast<double>(totals.asked));
        CHECK(datagramsPerHostSecond < 6);
    }
}

// Guards against a mechanism that keeps to the limit by wasting permits, or never recovers from faults.
TEST_CASE("Demand above the limit gets what the limit allows", "[limit][allotments]")
{
    for (RandomEngine::result_type seed = 1; seed <= 10; ++seed) {
        AllotmentModelSettings settings;
        settings.limits = { { OrganisationName("large"), { 200, 100 } } };
        settings.load = 5;
        AllotmentModel model(settings, seed);
        model.run();
        const auto totals = model.totalsFrom(10s);
        INFO("seed " << seed << ", asked " << totals.asked << ", refused " << totals.refused);
        CHECK(totals.asked - totals.refused >= 0.98 * 200 * 50);
    }
}

// Guards against permits that are lost for long after the coordinator ended or the network was parted.
TEST_CASE("Demand below the limit is mostly admitted when hosts end or are parted", "[limit][allotments]")
{
    std::size_t asked = 0;
    std::size_t refused = 0;
    for (RandomEngine::result_type seed = 1; seed <= 20; ++seed) {
        AllotmentModelSettings settings;
        settings.limits = mixedLimits();
        settings.load = 1 / 1.6;
        settings.faults.loss = 0.01;
        settings.faults.crashesPerSecond = 0.1;
        settings.faults.partitionsPerSecond = seed % 2 ? 0.02 : 0;
        AllotmentModel model(settings, seed);
        model.run();
        const auto totals = model.totalsFrom(10s);
        asked += totals.asked;
        refused += totals.refused;
    }
    INFO("asked " << asked << ", refused " << refused);
    CHECK(static_cast<double>(refused) < 0.1 * static_cast<double>(asked));
}
