// Callers of a busy database leave right after they have sent the COMMIT of a transaction. The server refuses some of
// these commits for lack of room (BUSY), so that their transactions stay open on the server connection.

#include "Site.h"

using namespace Review;

namespace {

constexpr int hostCount = 8;
constexpr int callersOfEachHost = 12;
constexpr long runMs = 85'000;
/// Share of the commits after which the caller leaves, in percent, as the site of the largest share has it.
constexpr int leavePercent = 20;
/// Callers leave for this long, the length that the site file gives give_up, three times in a run.
constexpr long leaveMs = 5'500;
constexpr long leaveIntervalMs = 10'000;
constexpr auto database = "orders";

std::atomic<long> trafficStartedAt { 0 };

bool isLeaveTime()
{
    return (nowMs() - trafficStartedAt) % leaveIntervalMs < leaveMs;
}

struct Totals {
    std::atomic<int> answered { 0 };
    std::atomic<int> left { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> acknowledgedWrites { 0 };
};

class Load {
public:
    Load(const Host& host, int number, Ledger& ledger, Totals& totals, Record& record)
        : m_host(host)
        , m_number(number)
        , m_ledger(ledger)
        , m_totals(totals)
        , m_record(record)
        , m_random(static_cast<unsigned>(number))
    {
    }

    void run(const std::atomic<bool>& isOver)
    {
        while (!isOver) {
            Caller caller(m_host, database,
                "caller-" + std::to_string(m_number) + "." + std::to_string(++m_sessions), m_ledger);
            while (caller.isOpen() && !isOver) {
                if (draw(100) < 50 ? !runTransaction(caller) : !runSingle(caller))
                    break;
            }
            caller.leave();
            sleepMs(20);
        }
    }

    /// Items of single writes that were acknowledged.
    std::vector<std::string> acknowledged;

private:
    int draw(int below) { return static_cast<int>(m_random() % static_cast<unsigned>(below)); }
    std::string newItem() { return "i" + std::to_string(m_number) + "x" + std::to_string(++m_items); }

    bool isServed(const Answer& answer, char state)
    {
        if (!answer.error.empty())
            ++m_totals.refused;
        else if (answer.isComplete)
            ++m_totals.answered;
        return answer.isComplete && answer.error.empty() && answer.state == state;
    }

    bool runSingle(Caller& caller)
    {
        if (draw(100) < 70) {
            const auto answer = caller.query("READ " + std::to_string(draw(2000)));
            return isServed(answer, 'I') || answer.state == 'I';
        }
        const auto item = newItem();
        const auto answer = caller.query("WRITE " + item + " data");
        if (answer.isComplete && answer.error.empty()) {
            acknowledged.push_back(item);
            ++m_totals.acknowledgedWrites;
            if (answer.state != 'I')
                m_record.write(caller.name() + " gets DONE for its single write of " + item + " with state "
                    + answer.state);
        }
        return isServed(answer, 'I') || answer.state == 'I';
    }

    bool runTransaction(Caller& caller)
    {
        if (!isServed(caller.query("BEGIN"), 'T'))
            return false;
        if (!isServed(caller.query("WRITE " + newItem() + " data", true), 'T'))
            return false;
        if (!isServed(caller.query("READ " + std::to_string(draw(2000)), true), 'T'))
            return false;
        const bool leaves = hasTrouble() && isLeaveTime() && draw(100) < leavePercent;
        const auto id = caller.send("COMMIT", true);
        if (!leaves)
            return isServed(caller.receive(), 'I');
        sleepMs(5 + draw(25));
        ++m_totals.left;
        m_record.write(caller.name() + " leaves after sending the commit " + id);
        caller.leave();
        return false;
    }

    const Host& m_host;
    int m_number;
    Ledger& m_ledger;
    Totals& m_totals;
    Record& m_record;
    std::mt19937 m_random;
    int m_sessions { 0 };
    int m_items { 0 };
};

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
    Listener cloud([&record](Socket& socket) {
        serveHttp(socket, [&record](const HttpCall& call) {
            record.write("promotion called: " + call.body + "; this test loses no primary, so it is refused");
            return std::pair(429, std::string("{}"));
        });
    });
    const ServerOptions options;
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
    std::vector<std::unique_ptr<Host>> hosts;
    for (int number = 1; number <= hostCount; ++number)
        hosts.push_back(std::make_unique<Host>("front-" + std::to_string(number), network + std::to_string(number),
            store.address(), cloud.address(), folder));
    for (const auto& host : hosts) {
        while (!host->isReady()) {
            if (nowMs() > 15'000) {
                record.write("a host did not get ready");
                return couldNotRun;
            }
            sleepMs(100);
        }
    }
    sleepMs(2000);
    record.write(std::string("start of traffic, ") + (hasTrouble() ? "callers leave at commits" : "no caller leaves"));
    trafficStartedAt = nowMs();
    Totals totals;
    std::atomic<bool> isOver { false };
    std::vector<std::unique_ptr<Load>> loads;
    std::vector<std::thread> threads;
    for (int number = 0; number < hostCount * callersOfEachHost; ++number) {
        loads.push_back(std::make_unique<Load>(*hosts[number % hostCount], number, ledger, totals, record));
        threads.emplace_back([&load = *loads.back(), &isOver] { load.run(isOver); });
    }
    sleepMs(runMs);
    isOver = true;
    for (auto& thread : threads)
        thread.join();
    hosts.clear();
    sleepMs(500);
    // Not a break of the rule LOST as written, which speaks of promoted servers; the rule that counts is PINNED.
    int lost = 0;
    for (const auto& load : loads) {
        for (const auto& item : load->acknowledged) {
            if (Server::isCommitted(item))
                continue;
            ++lost;
            record.write("lost: the single write of " + item + " was acknowledged with a MAC and is not committed");
        }
    }
    record.write("answered " + std::to_string(totals.answered) + ", refused " + std::to_string(totals.refused)
        + ", callers that left " + std::to_string(totals.left) + ", acknowledged single writes "
        + std::to_string(totals.acknowledgedWrites) + ", BUSY from the primary " + std::to_string(primary.refusals())
        + ", of these for commits " + std::to_string(primary.refusedCommits()) + ", acknowledged writes lost "
        + std::to_string(lost) + ", rules broken " + std::to_string(verdict.count()));
    // Threads of the stand-ins still run.
    std::_Exit(totals.answered == 0 ? couldNotRun : verdict.count() > 0 ? ruleBroken : ruleHeld);
}
