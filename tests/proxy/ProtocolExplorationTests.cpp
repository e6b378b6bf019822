#include "proxy/ProtocolExplorer.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iomanip>
#include <iostream>

using namespace Auburnpost::Proxy;

namespace {

using Check = ProtocolModel::Check;
using Start = ModelScenario::Start;

constexpr Check checks[] { Check::LostCommit, Check::WrongConfirmation, Check::WrongToken, Check::NoPrimary };

void printHeader()
{
    std::cout << std::left << std::setw(44) << "schedules" << std::right << std::setw(10) << "states" << std::setw(7)
              << "depth" << std::setw(11) << "recoveries" << std::setw(9) << "seconds";
    for (const auto check : checks)
        std::cout << std::setw(21) << toString(check);
    std::cout << "\n";
}

void print(const std::string& name, const ExplorationResult& result)
{
    constexpr double millisecondsPerSecond = 1000;
    std::cout << std::left << std::setw(44) << name << std::right << std::setw(10) << result.states << std::setw(7)
              << result.completeDepth << std::setw(11) << result.recoveries << std::setw(9) << std::fixed
              << std::setprecision(1) << static_cast<double>(result.duration.count()) / millisecondsPerSecond;
    for (const auto check : checks) {
        const auto& finding = result.of(check);
        const auto text = finding.count == 0
            ? std::string("-")
            : std::to_string(finding.count) + " (" + std::to_string(finding.schedule.size()) + " steps)";
        std::cout << std::setw(21) << text;
    }
    std::cout << std::endl;
}

/// @return the number in an environment variable, or @p fallback without it.
std::size_t setting(const char* name, std::size_t fallback)
{
    const auto* const text = std::getenv(name);
    return text ? std::strtoul(text, nullptr, 10) : fallback;
}

std::vector<ModelScenario> longScenarios()
{
    std::vector<ModelScenario> scenarios;
    const auto add = [&scenarios](const std::string& name, Start start, std::size_t members, std::size_t leaving,
                         std::size_t faults, std::size_t commits, std::size_t delays) {
        scenarios.push_back(
            { std::to_string(members) + " members, " + name, start, members, leaving, faults, commits, delays, 60 });
    };
    for (std::size_t members = 2; members <= 5; ++members) {
        add("primary leaves", Start::PrimaryLeaving, members, 0, 1, 1, 0);
        add("primary leaves, 1 delay", Start::PrimaryLeaving, members, 0, 1, 1, 1);
        add("primary crashes", Start::PrimaryCrashed, members, 0, 1, 1, 0);
        add("primary crashes, 1 delay", Start::PrimaryCrashed, members, 0, 1, 1, 1);
        add("primary is cut off", Start::PrimaryCut, members, 0, 1, 2, 0);
        if (members > 2)
            add("primary is cut off, 1 replica leaves", Start::PrimaryCut, members, 1, 1, 2, 0);
        if (members > 3)
            add("primary is cut off, 2 replicas leave", Start::PrimaryCut, members, 2, 2, 1, 0);
        add("established, 2 faults", Start::Established, members, 0, 2, 1, 0);
        if (members > 2)
            add("established, 1 replica leaves, 3 faults", Start::Established, members, 1, 3, 1, 0);
    }
    return scenarios;
}

} // namespace

TEST_CASE("Exploration of promotions, long run", "[.explore]")
{
    const std::chrono::seconds maxDuration(setting("EXPLORE_SECONDS", 20));
    const auto only = std::string(std::getenv("EXPLORE_ONLY") ? std::getenv("EXPLORE_ONLY") : "");
    std::vector<std::pair<std::string, std::string>> sequences;
    const auto report
        = [&](const std::string& name, const ProtocolExplorer& explorer, const ExplorationResult& result) {
              print(name, result);
              for (const auto check : checks) {
                  if (result.of(check).count > 0)
                      sequences.emplace_back(
                          name + ": " + std::string(toString(check)), explorer.describe(result.of(check).schedule));
              }
          };
    printHeader();
    for (const auto& scenario : longScenarios()) {
        if (scenario.name.find(only) == std::string::npos)
            continue;
        const ProtocolExplorer explorer(scenario, SIZE_MAX, maxDuration);
        report(scenario.name, explorer, explorer.explore());
    }
    for (std::size_t members = 2; members <= 5; ++members) {
        const ModelScenario scenario { std::to_string(members) + " members, random", Start::Established, members,
            members > 3 ? 1U : 0U, 4, 6, 3, 0 };
        if (scenario.name.find(only) == std::string::npos)
            continue;
        const ProtocolExplorer explorer(scenario, SIZE_MAX, maxDuration);
        report(scenario.name, explorer, explorer.playRandom(SIZE_MAX, 150, 1));
    }
    for (const auto& [name, text] : sequences)
        std::cout << "\n" << name << "\n" << text;
    CHECK(sequences.empty());
}
