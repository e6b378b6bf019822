#include "load/FailoverRun.h"
#include "load/PrimaryLogs.h"
#include "load/RunName.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, endpoints, "", "endpoints.json of the running site");
ABSL_FLAG(std::string, fault, "", "kill, freeze, cut (the primary), store_outage, host_kill or host_freeze");
ABSL_FLAG(std::string, database, "", "database whose writes are measured");
ABSL_FLAG(
    std::uint64_t, seed, 1, "seed for the choice of hosts that receive writes and of the host that the fault affects");
ABSL_FLAG(std::string, history, "", "output file for the history of the probe's writes");
ABSL_FLAG(std::string, organisations, "",
    "comma-separated list of NAME or NAME:KEY:DATABASE[+DATABASE]; default: all in endpoints.json");
ABSL_FLAG(
    bool, store_down, false, "the platform's store is unavailable from before the fault until the fault is healed");

namespace {

using namespace Auburnpost;
using namespace Auburnpost::Load;

constexpr int exitNoRecovery = 1;
constexpr int exitUsage = 2;

int failWith(const Error& error)
{
    std::cerr << "auburnpost_faults: " << error.describe() << '\n';
    return exitUsage;
}

Expected<FailoverRun::Settings> readSettings(RandomEngine& random)
{
    FailoverRun::Settings settings;
    auto endpoints = Endpoints::read(absl::GetFlag(FLAGS_endpoints));
    if (!endpoints)
        return tl::unexpected(endpoints.error());
    if (const auto text = absl::GetFlag(FLAGS_organisations); !text.empty()) {
        auto organisations = chooseOrganisations(text, endpoints->organisations);
        if (!organisations)
            return tl::unexpected(organisations.error());
        endpoints->organisations = std::move(*organisations);
    }
    settings.database = DatabaseName(absl::GetFlag(FLAGS_database));
    const auto fault = FaultKind::find(absl::GetFlag(FLAGS_fault));
    if (!fault)
        return tl::unexpected(fault.error());
    const auto primary = fetchPrimary(*endpoints, settings.database);
    if (!primary)
        return tl::unexpected(primary.error());
    settings.fault = *fault;
    settings.subject = chooseSubject(*fault, *endpoints, *primary, random);
    settings.endpoints = std::move(*endpoints);
    settings.run = makeRunName(absl::GetFlag(FLAGS_seed));
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.isStoreDown = absl::GetFlag(FLAGS_store_down);
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "injects one fault and measures the time until writes succeed again; see docs/LOAD.md");
    absl::ParseCommandLine(argc, argv);
    RandomEngine random(absl::GetFlag(FLAGS_seed));
    const auto settings = readSettings(random);
    if (!settings)
        return failWith(settings.error());
    std::ofstream history;
    if (const auto path = absl::GetFlag(FLAGS_history); !path.empty())
        history.open(path);
    Standin::EventLoop loop;
    FailoverRun run(loop, *settings, random);
    if (history.is_open())
        run.onEvent([&](const HistoryEvent& event) { history << event.toLine() << '\n'; });
    const auto result = run.measure();
    if (!result)
        return failWith(result.error());
    std::cout << *result << '\n';
    return run.hasRecovered() ? 0 : exitNoRecovery;
}
