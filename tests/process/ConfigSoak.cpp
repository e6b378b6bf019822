#include "process/ConfigSoak.h"

#include "process/ConfigCallers.h"
#include "process/ConfigCheck.h"
#include "process/LeavingCallers.h"
#include "process/ProcessState.h"
#include "process/ProxyLog.h"
#include "process/SchedulingWatch.h"

#include <algorithm>
#include <iostream>

namespace Auburnpost::Test {

namespace {

    constexpr std::size_t databaseCount = 8;
    /// Of each kind.
    constexpr std::size_t printedViolations = 6;

    std::vector<std::string> databaseNames()
    {
        std::vector<std::string> names;
        for (std::size_t index = 1; index <= databaseCount; ++index)
            names.push_back("db-" + std::to_string(index));
        return names;
    }

    ConfigDocument initialDocument(const std::vector<std::string>& databases)
    {
        ConfigDocument document;
        for (std::size_t index = 0; index < databases.size(); ++index)
            document.routes[databases[index]] = ConfigSite::groups[index % ConfigSite::groups.size()];
        return document;
    }

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
        const auto fraction = std::to_string(perSecond + ms % perSecond).substr(1);
        return std::string(text, length) + "." + fraction;
    }

    void print(const ConfigViolation& violation, const ConfigHistory& history)
    {
        const auto& request = *violation.request;
        const auto edit = std::find_if(history.edits.begin(), history.edits.end(),
            [&](const ConfigEdit& each) { return each.version == violation.oldestAllowed; });
        std::cout << "  " << (violation.isRegress ? "regress" : "late") << ": request " << request.id << " for "
                  << request.database << " at host-" << request.host + 1 << " sent " << clockTime(request.sentAt)
                  << " ended " << clockTime(request.endedAt) << ", "
                  << (request.group.empty() ? "refused as unknown" : "run by " + request.group) << ", as version "
                  << violation.handledBy << " allows; version " << violation.oldestAllowed;
        if (edit != history.edits.end())
            std::cout << " was acknowledged at " << clockTime(edit->acknowledgedAt);
        std::cout << "\n";
    }

    void print(const Disturbance& disturbance)
    {
        const auto host
            = disturbance.host == Disturbance::allHosts ? "all" : "host-" + std::to_string(disturbance.host + 1);
        std::cout << "  fault: " << host << " " << clockTime(disturbance.from) << " to " << clockTime(disturbance.until)
                  << " " << disturbance.cause << "\n";
    }

} // namespace

std::size_t ConfigSoak::run(std::uint64_t seed) const
{
    const auto databases = databaseNames();
    const auto document = initialDocument(databases);
    ConfigSite running(site, document);
    ConfigDriver driver(running, document, databases, faults, seed);
    SchedulingWatch watch;
    ConfigHistory history;
    std::size_t otherOutcomes = 0;
    std::size_t left = 0;
    std::size_t committed = 0;
    {
        ConfigCallers callers(running, databases, seed);
        LeavingCallers leaving(running, databases, seed);
        driver.runFor(time);
        leaving.stop();
        left = leaving.left();
        committed = leaving.committed();
        history.requests = callers.stop();
        otherOutcomes = callers.otherOutcomes();
    }
    history.edits = driver.edits();
    history.disturbances = driver.disturbances();
    const auto gaps = watch.stop();
    history.disturbances.insert(history.disturbances.end(), gaps.begin(), gaps.end());
    std::size_t forwarded = 0;
    std::size_t pauses = 0;
    std::size_t ended = 0;
    for (std::size_t host = 0; host < running.size(); ++host) {
        const auto log = ProxyLog::read(running.host(host).logPath(), host);
        forwarded += log.forwardedSessions;
        pauses += log.pauses.size();
        history.disturbances.insert(history.disturbances.end(), log.pauses.begin(), log.pauses.end());
        const auto pid = running.host(host).pid();
        if (pid && !isRunning(pid))
            ++ended;
    }
    const ConfigCheck check(history, {});
    const auto violations = check.violations();
    const auto late = std::count_if(
        violations.begin(), violations.end(), [](const ConfigViolation& violation) { return !violation.isRegress; });
    std::vector<std::string> misplaced;
    std::size_t refusedCommits = 0;
    for (const auto& target : running.targets()) {
        const auto ofTarget = target->transactions().violations();
        misplaced.insert(misplaced.end(), ofTarget.begin(), ofTarget.end());
        refusedCommits += target->transactions().refusedCommits();
    }
    std::cout << "seed " << seed << ": " << site.hosts << " hosts, " << site.dataCentres << " data centres, "
              << site.connectionLimit << " connections, " << time.count() / 1000
              << " s; faults: " << driver.faultCounts() << "; " << history.edits.size() << " edits, "
              << history.requests.size() << " requests (" << check.boundedRequests() << " under the bound), "
              << otherOutcomes << " other outcomes, " << forwarded << " sessions forwarded, " << pauses
              << " pauses in logs, " << gaps.size() << " gaps of the stand-ins; " << late << " late, "
              << violations.size() - static_cast<std::size_t>(late) << " regressed, " << ended
              << " hosts ended by themselves; " << committed << " transactions committed, " << left << " left, "
              << refusedCommits << " commits refused, " << misplaced.size() << " statements outside their transaction"
              << std::endl;
    if (violations.empty() && misplaced.empty() && ended == 0)
        return 0;
    running.folder().keep();
    std::cout << "  logs: " << running.folder().path() << "\n";
    std::size_t printed[2] {};
    for (const auto& violation : violations) {
        if (printed[violation.isRegress ? 1 : 0]++ < printedViolations)
            print(violation, history);
    }
    for (std::size_t index = 0; index < std::min(printedViolations, misplaced.size()); ++index)
        std::cout << "  transaction: " << misplaced[index] << "\n";
    for (const auto& disturbance : history.disturbances)
        print(disturbance);
    std::cout << std::flush;
    return violations.size() + misplaced.size() + ended;
}

} // namespace Auburnpost::Test
