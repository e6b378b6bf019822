#pragma once

#include "process/ChildProcess.h"
#include "process/Crowd.h"
#include "process/ProcessState.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <future>

namespace Auburnpost::Test {

/// Drives the crowd for a while, then checks the process and, with the crowd still connected, one ordinary request.
/// The figures are printed, so that a run shows how far they are from the bounds.
template <typename Site> void checkHost(const Site& site, Crowd& crowd, std::size_t memoryMb, std::size_t descriptors)
{
    using namespace std::chrono_literals;
    constexpr auto crowdTime = 4s;
    constexpr auto step = 100ms;
    constexpr std::size_t kibibytesPerMebibyte = 1024;
    std::size_t peakDescriptors = 0;
    const auto drive = [&] {
        crowd.runFor(step);
        peakDescriptors = std::max(peakDescriptors, openDescriptors(site.pid()));
    };
    for (auto elapsed = 0ms; elapsed < crowdTime; elapsed += step)
        drive();
    auto request = std::async(std::launch::async, [&site] { return eventually([&] { return site.servesRequest(); }); });
    while (request.wait_for(0ms) != std::future_status::ready)
        drive();
    const auto peakKb = peakMemoryKb(site.pid());
    WARN("peak memory " << peakKb << " KiB, descriptors " << peakDescriptors);
    CHECK(isRunning(site.pid()));
    CHECK(peakKb <= memoryMb * kibibytesPerMebibyte);
    CHECK(peakDescriptors <= descriptors);
    CHECK(request.get());
}

} // namespace Auburnpost::Test
