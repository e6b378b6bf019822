#include "common/EventLoop.h"
#include "load/Endpoints.h"
#include "load/HistoryChecker.h"
#include "load/PrimaryLogs.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, history, "", "history file written by auburnpost_load");
ABSL_FLAG(std::string, endpoints, "", "endpoints.json of the running site; the logs are read from its primaries");
ABSL_FLAG(std::vector<std::string>, logs, {}, "DATABASE=FILE,... with the logs, instead of --endpoints");

namespace {

using namespace Auburnpost;
using namespace Auburnpost::Load;

constexpr int exitViolations = 1;
constexpr int exitUsage = 2;
constexpr std::size_t maxShownViolations = 50;

int failWith(const Error& error)
{
    std::cerr << "auburnpost_history: " << error.describe() << '\n';
    return exitUsage;
}

Expected<std::vector<HistoryEvent>> readHistory(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(ErrorCode::BadSettings, "read history", path, "the file can't be opened");
    std::vector<HistoryEvent> history;
    for (std::string line; std::getline(file, line);) {
        auto event = HistoryEvent::fromLine(line);
        if (!event)
            return tl::unexpected(event.error());
        history.push_back(std::move(*event));
    }
    return history;
}

Expected<FinalLogs> readLogFiles(const std::vector<std::string>& list)
{
    FinalLogs logs;
    for (const auto& item : list) {
        const auto separator = item.find('=');
        if (separator == std::string::npos)
            return fail(ErrorCode::BadSettings, "read logs", item, "expected DATABASE=FILE");
        std::ifstream file(item.substr(separator + 1));
        std::ostringstream text;
        text << file.rdbuf();
        auto facts = readLogFacts(text.str());
        if (!facts)
            return tl::unexpected(facts.error());
        logs.emplace(DatabaseName(item.substr(0, separator)), std::move(*facts));
    }
    return logs;
}

Expected<FinalLogs> readLogs()
{
    if (const auto files = absl::GetFlag(FLAGS_logs); !files.empty())
        return readLogFiles(files);
    const auto endpoints = Endpoints::read(absl::GetFlag(FLAGS_endpoints));
    if (!endpoints)
        return tl::unexpected(endpoints.error());
    return fetchPrimaryLogs(*endpoints);
}

void printCounts(const std::vector<HistoryEvent>& history)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& event : history)
        ++counts[std::string(event.isWrite ? "write " : "read ") + std::string(toString(event.outcome))];
    for (const auto& [name, count] : counts)
        std::cout << name << ' ' << count << '\n';
}

int report(const std::vector<Violation>& violations)
{
    for (std::size_t index = 0; index < std::min(violations.size(), maxShownViolations); ++index)
        std::cout << "violation " << toString(violations[index].rule) << ": " << violations[index].message << '\n';
    std::cout << "violations " << violations.size() << '\n';
    return violations.empty() ? 0 : exitViolations;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("checks a history against the final logs; see docs/LOAD.md");
    absl::ParseCommandLine(argc, argv);
    const auto history = readHistory(absl::GetFlag(FLAGS_history));
    if (!history)
        return failWith(history.error());
    const auto logs = readLogs();
    if (!logs)
        return failWith(logs.error());
    printCounts(*history);
    return report(checkHistory(*history, *logs));
}
