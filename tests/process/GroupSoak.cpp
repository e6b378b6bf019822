#include "process/GroupSoak.h"

#include "process/GroupCallers.h"
#include "process/GroupCheck.h"
#include "process/GroupDriver.h"
#include "process/SchedulingWatch.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <map>

namespace Auburnpost::Test {

namespace {

    /// Of each kind.
    constexpr std::size_t printedViolations = 6;

    /// @return the moment in the time of the hosts' logs.
    std::string clockTime(Moment moment)
    {
        constexpr auto perSecond = 1000;
        const auto time = std::chrono::system_clock::now()
            - std::chrono::duration_cast<std::chrono::system_clock::duration>(
                std::chrono::steady_clock::now() - moment);
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
        const std::time_t seconds = ms / perSecond;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char text[16];
        const auto length = std::strftime(text, sizeof text, "%H:%M:%S", &parts);
        return std::string(text, length) + "." + std::to_string(perSecond + ms % perSecond).substr(1);
    }

    void printDetails(const GroupCheck& check, const GroupHistory& history, const std::vector<Disturbance>& faults)
    {
        std::map<GroupViolation::Kind, std::size_t> printed;
        for (const auto& violation : check.violations()) {
            if (printed[violation.kind]++ < printedViolations)
                std::cout << "  " << nameOf(violation.kind) << " at " << clockTime(violation.at) << ": "
                          << violation.text << "\n";
        }
        for (const auto& order : history.orders)
            std::cout << "  order: " << clockTime(order.at) << " " << order.member << " by " << order.holder << "\n";
        for (const auto& promotion : history.promotions)
            std::cout << "  promotion: " << clockTime(promotion.at) << " " << promotion.member << " to term "
                      << promotion.term << " with " << history.log.position(promotion.log).toString() << "\n";
        for (const auto& fault : faults)
            std::cout << "  fault: " << clockTime(fault.from) << " to " << clockTime(fault.until) << " " << fault.cause
                      << "\n";
    }

} // namespace

std::size_t GroupSoak::run(std::uint64_t seed) const
{
    GroupSite site(hosts, seed);
    GroupDriver driver(site, faults, seed);
    SchedulingWatch watch;
    GroupHistory history;
    history.readYourWritesStaleness = GroupSite::readYourWritesStaleness;
    history.boundedStaleness = GroupSite::boundedStaleness;
    {
        GroupCallers callers(site, seed);
        driver.runFor(time);
        history.statements = callers.stop();
    }
    site.group().handOver(history);
    const auto gaps = watch.stop();
    const GroupCheck check(history);
    const auto answered = std::count_if(history.statements.begin(), history.statements.end(),
        [](const CallerStatement& statement) { return statement.succeeded; });
    std::cout << "seed " << seed << ": " << hosts << " hosts, " << time.count() / 1000
              << " s; faults: " << driver.faultCounts() << "; " << history.promotions.size() << " promotions, "
              << history.statements.size() << " statements, " << answered << " answered, " << check.checkedRuns()
              << " runs checked, " << check.acknowledgedCommits() << " commits acknowledged, " << gaps.size()
              << " gaps of the stand-ins; " << check.count(GroupViolation::Kind::Stale) << " stale, "
              << check.count(GroupViolation::Kind::Lost) << " lost, " << check.count(GroupViolation::Kind::Twice)
              << " twice, " << check.count(GroupViolation::Kind::Token) << " tokens used twice, "
              << driver.hostsEndedByThemselves() << " hosts ended by themselves" << std::endl;
    const auto violations = check.violations().size() + driver.hostsEndedByThemselves();
    if (violations == 0 && !std::getenv("GROUP_SOAK_DETAILS"))
        return 0;
    site.folder().keep();
    std::cout << "  logs: " << site.folder().path() << "\n";
    printDetails(check, history, driver.faults());
    std::cout << std::flush;
    return violations;
}

} // namespace Auburnpost::Test
