// Callers hold their sessions open and prepare statements, each under a new name, as the protocol lets them. The
// platform's stand-in does what DEPLOY.md says of memory: it kills a process that exceeds MemoryMb and starts it again.

#include "Site.h"

using namespace Review;

namespace {

constexpr int hostCount = 2;
constexpr int rounds = 3;
constexpr int callersOfEachHost = 40;
constexpr int namesOfEachCaller = 300;
/// A message may have 1 MiB.
constexpr std::size_t shapeBytes = 16UL * 1024;
constexpr long memoryKb = 182L * 1024;
constexpr auto database = "maps";

long residentKb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stol(line.substr(6));
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return couldNotRun;
    signal(SIGPIPE, SIG_IGN);
    const std::string folder = argv[2];
    Record record(argv[1]);
    Verdict verdict(record);
    Ledger ledger;
    Store store;
    Listener cloud([](Socket& socket) {
        serveHttp(socket, [](const HttpCall&) { return std::pair(429, std::string("{}")); });
    });
    ServerOptions options;
    options.oneWayMs = 1;
    Server primary("i-p", true, options, ledger, verdict, record);
    Server first("i-r1", false, options, ledger, verdict, record);
    Server second("i-r2", false, options, ledger, verdict, record);
    for (const auto* const server : { &primary, &first, &second })
        store.write("servers", server->id(), server->entry("zone-a"));
    store.write("op", "config",
        Json { { "Version", 7 },
            { "Routes",
                { { { "Name", "r-1" }, { "Host", database }, { "PathPrefix", "/" }, { "Kind", "primary" },
                    { "TimeoutMs", 800 }, { "LatencyTargetMs", 600 }, { "Priority", 1 }, { "Service", Server::service },
                    { "Attempts", 2 } } } },
            { "Services",
                { { { "Name", Server::service }, { "HealthPath", "/health" },
                    { "ConnectionLimit", options.connectionLimit }, { "Protocol", "h1" }, { "Tls", false },
                    { "SyncReplicas", 1 } } } },
            { "Limits", { { "TxIdleMs", 3000 } } } }
            .dump());
    const auto network = drawNetwork();
    int killed = 0;
    long largest = 0;
    std::set<int> killedHosts;
    for (int round = 0; round < rounds; ++round) {
        for (int number = 1; number <= hostCount; ++number) {
            // Between two rounds the process starts anew, killed or not.
            const auto host = std::make_unique<Host>("front-" + std::to_string(number),
                network + std::to_string(number), store.address(), cloud.address(), folder);
            for (int attempt = 0; !host->isReady(); ++attempt) {
                if (attempt > 100) {
                    record.write("a host did not get ready");
                    std::_Exit(couldNotRun);
                }
                sleepMs(100);
            }
            std::vector<std::unique_ptr<Caller>> callers;
            int prepared = 0;
            bool isKilled = false;
            for (int index = 0; index < callersOfEachHost && !isKilled; ++index) {
                callers.push_back(
                    std::make_unique<Caller>(*host, database, "caller-" + std::to_string(index), ledger));
                auto& caller = *callers.back();
                for (int name = 0; name < namesOfEachCaller && caller.isOpen(); ++name) {
                    const auto text = "s" + std::to_string(name);
                    const auto answer
                        = caller.query("PREPARE " + text + " READ " + std::string(shapeBytes, 'a' + name % 26));
                    prepared += answer.isComplete && answer.error.empty() ? 1 : 0;
                    // Without the trouble each name is given up before the next one is prepared.
                    if (!hasTrouble())
                        (void)caller.query("FORGET " + text);
                }
                const auto resident = residentKb(host->pid());
                largest = std::max(largest, resident);
                isKilled = resident > memoryKb;
            }
            record.write("front-" + std::to_string(number) + ": " + std::to_string(callers.size())
                + " sessions prepared " + std::to_string(prepared) + " statements, all answered DONE; the process has "
                + std::to_string(residentKb(host->pid())) + " KiB of " + std::to_string(memoryKb)
                + (isKilled ? " and is killed" : ""));
            if (isKilled) {
                ++killed;
                killedHosts.insert(number);
            }
        }
    }
    // Two hosts at least, three times.
    if (killedHosts.size() >= 2 && killed >= 3 * static_cast<int>(killedHosts.size()))
        verdict.broken("Fault: the processes of " + std::to_string(killedHosts.size()) + " hosts ended "
            + std::to_string(killed) + " times for memory over the limit, with no disturbance there");
    record.write("largest process " + std::to_string(largest) + " KiB, killed " + std::to_string(killed)
        + ", rules broken " + std::to_string(verdict.count()));
    // Threads of the stand-ins still run.
    std::_Exit(verdict.count() > 0 ? ruleBroken : ruleHeld);
}
