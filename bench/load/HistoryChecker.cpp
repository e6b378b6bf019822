#include "load/HistoryChecker.h"

namespace Auburnpost::Load {

namespace {

    std::uint32_t countInLogs(const Fact& fact, const FinalLogs& logs)
    {
        std::uint32_t times = 0;
        for (const auto& [database, facts] : logs) {
            if (const auto found = facts.find(fact); found != facts.end())
                times += found->second;
        }
        return times;
    }

    bool isInOwnLog(const HistoryEvent& write, const FinalLogs& logs)
    {
        const auto log = logs.find(write.database);
        return log != logs.end() && log->second.contains(write.fact);
    }

    void checkWrite(const HistoryEvent& write, const FinalLogs& logs, std::vector<Violation>& violations)
    {
        const auto report = [&](Rule rule, const std::string& observation) {
            violations.push_back({ rule,
                write.kind + " of fact " + write.fact.value() + " to " + write.database.value() + " " + observation });
        };
        const auto times = countInLogs(write.fact, logs);
        if (write.outcome == Outcome::Done && !isInOwnLog(write, logs))
            report(Rule::LostWrite, "was acknowledged and is not in the log");
        if (times > 1)
            report(Rule::DoubledWrite, "is " + std::to_string(times) + " times in the logs");
        if (write.outcome == Outcome::NotRun && times > 0)
            report(Rule::RanDespiteNotRun, "was refused as not run and is in a log");
    }

} // namespace

std::vector<Violation> checkHistory(const std::vector<HistoryEvent>& history, const FinalLogs& logs)
{
    std::vector<Violation> violations;
    ReadChecker reads;
    for (const auto& event : history) {
        if (!event.isWrite)
            continue;
        reads.recordOutcome(event);
        checkWrite(event, logs, violations);
    }
    for (const auto& event : history) {
        const auto found = reads.check(event);
        violations.insert(violations.end(), found.begin(), found.end());
    }
    return violations;
}

} // namespace Auburnpost::Load
