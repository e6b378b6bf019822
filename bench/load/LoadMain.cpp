#include "load/LoadRunner.h"
#include "load/RunName.h"
#include "load/TableSetup.h"

#include <event2/event.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, endpoints, "", "endpoints.json of the running site");
ABSL_FLAG(std::string, mix, "ranwala", "ranwala or smokewatch");
ABSL_FLAG(double, rate, 100, "requests per second, summed over all hosts");
ABSL_FLAG(double, seconds, 10, "duration of the arrivals in seconds");
ABSL_FLAG(std::uint64_t, seed, 1, "seed for arrival times, request kinds, sessions, items and hosts");
ABSL_FLAG(std::string, history, "", "output file for the history, one JSON object per line");
ABSL_FLAG(std::string, table, "", "output file for the result table, which is also printed");
ABSL_FLAG(std::string, organisations, "",
    "comma-separated list of NAME or NAME:KEY:DATABASE[+DATABASE]; default: all in endpoints.json");
ABSL_FLAG(std::int64_t, items, 500, "number of items that are read and written, per database");
ABSL_FLAG(std::uint32_t, sessions, 200, "number of concurrent sessions");
ABSL_FLAG(std::uint32_t, timeout_ms, 2000, "time limit in milliseconds that each attempt states");
ABSL_FLAG(double, surge_at, 0, "start of the surge, in seconds from the start of the arrivals");
ABSL_FLAG(double, surge_seconds, 0, "duration of the surge in seconds");
ABSL_FLAG(double, surge_factor, 1, "factor by which --rate is multiplied during the surge");

namespace {

using namespace Auburnpost;
using namespace Auburnpost::Load;

constexpr int exitViolations = 1;
constexpr int exitUsage = 2;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

int failWith(const std::string& message)
{
    std::cerr << "auburnpost_load: " << message << '\n';
    return exitUsage;
}

LoadSettings loadSettings(const Endpoints& endpoints)
{
    LoadSettings settings;
    settings.hosts = endpoints.hosts;
    settings.ratePerSecond = absl::GetFlag(FLAGS_rate);
    settings.length = fromSeconds(absl::GetFlag(FLAGS_seconds));
    settings.surge = { fromSeconds(absl::GetFlag(FLAGS_surge_at)), fromSeconds(absl::GetFlag(FLAGS_surge_seconds)),
        absl::GetFlag(FLAGS_surge_factor) };
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.requestTimeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    return settings;
}

int run(const Endpoints& endpoints, const Mix& mix)
{
    Standin::EventLoop loop;
    WorkloadSettings workload;
    workload.organisations = endpoints.organisations;
    workload.run = makeRunName(absl::GetFlag(FLAGS_seed));
    workload.items = absl::GetFlag(FLAGS_items);
    workload.sessions = absl::GetFlag(FLAGS_sessions);
    std::ofstream history;
    if (const auto path = absl::GetFlag(FLAGS_history); !path.empty())
        history.open(path);
    TableSetup setup(loop, endpoints.hosts, workload.run);
    LoadRunner runner(loop, loadSettings(endpoints), Workload(mix, workload));
    if (history.is_open())
        runner.onEvent([&](const HistoryEvent& event) { history << event.toLine() << '\n'; });
    std::string problem;
    setup.start(workload.organisations, [&](const std::string& failure) {
        problem = failure;
        if (problem.empty())
            runner.start([&] { event_base_loopbreak(loop.base()); });
        else
            event_base_loopbreak(loop.base());
    });
    loop.run();
    if (!problem.empty())
        return failWith("the table of facts could not be created: " + problem);
    runner.table().print(std::cout);
    if (const auto path = absl::GetFlag(FLAGS_table); !path.empty()) {
        std::ofstream file(path);
        runner.table().print(file);
    }
    return runner.table().violations() ? exitViolations : 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("sends the requests of a workload and checks the answers; see docs/LOAD.md");
    absl::ParseCommandLine(argc, argv);
    auto endpoints = Endpoints::read(absl::GetFlag(FLAGS_endpoints));
    if (!endpoints)
        return failWith(endpoints.error().describe());
    if (const auto text = absl::GetFlag(FLAGS_organisations); !text.empty()) {
        auto organisations = chooseOrganisations(text, endpoints->organisations);
        if (!organisations)
            return failWith(organisations.error().describe());
        endpoints->organisations = std::move(*organisations);
    }
    const auto mix = Mix::find(absl::GetFlag(FLAGS_mix));
    if (!mix)
        return failWith(mix.error().describe());
    if (endpoints->hosts.empty() || endpoints->organisations.empty())
        return failWith("at least one host and one organisation are needed");
    if (absl::GetFlag(FLAGS_rate) <= 0)
        return failWith("--rate must be above 0");
    return run(*endpoints, *mix);
}
