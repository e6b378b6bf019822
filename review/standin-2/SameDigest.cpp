// Two callers share a host. Each prepares a statement under the same name and runs it. The second caller has chosen its
// shape so that its XXH64 digest is that of the first one's.

#include "Site.h"

#include <cctype>

using namespace Review;

namespace {

constexpr int rounds = 20;
constexpr auto database = "maps";
constexpr std::uint64_t prime1 = 0x9E3779B185EBCA87ULL;
constexpr std::uint64_t prime2 = 0xC2B2AE3D27D4EB4FULL;
constexpr std::uint64_t prime4 = 0x85EBCA77C2B2AE63ULL;
constexpr std::uint64_t prime5 = 0x27D4EB2F165667C5ULL;
/// Both shapes consist of two words of this many bytes.
constexpr std::size_t wordBytes = 8;

std::uint64_t rotate(std::uint64_t value, unsigned bits)
{
    return value << bits | value >> (64U - bits);
}

/// @return the inverse of an odd number modulo 2^64.
std::uint64_t invert(std::uint64_t number)
{
    auto inverse = number;
    for (int step = 0; step < 6; ++step)
        inverse *= 2 - number * inverse;
    return inverse;
}

std::uint64_t mix(std::uint64_t word)
{
    return rotate(word * prime2, 31) * prime1;
}

std::uint64_t unmix(std::uint64_t mixed)
{
    return rotate(mixed * invert(prime1), 33) * invert(prime2);
}

std::uint64_t wordAt(const std::string& text, std::size_t at)
{
    std::uint64_t word = 0;
    std::memcpy(&word, text.data() + at, wordBytes);
    return word;
}

/// The state of XXH64 after the first word of a text of two words.
std::uint64_t stateAfterFirst(std::uint64_t seed, std::uint64_t word)
{
    return rotate((seed + prime5 + 2 * wordBytes) ^ mix(word), 27) * prime1 + prime4;
}

/// @return another text of letters and digits with the same XXH64 digest.
std::string findSameDigest(const std::string& shape, std::uint64_t seed)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
    std::mt19937_64 random(seed);
    const auto wanted = stateAfterFirst(seed, wordAt(shape, 0)) ^ mix(wordAt(shape, wordBytes));
    for (;;) {
        std::string text(wordBytes, 'a');
        for (auto& letter : text)
            letter = letters[random() % letters.size()];
        const auto second = unmix(wanted ^ stateAfterFirst(seed, wordAt(text, 0)));
        std::string rest(wordBytes, 'a');
        std::memcpy(rest.data(), &second, wordBytes);
        const bool isPlain = std::all_of(
            rest.begin(), rest.end(), [](unsigned char letter) { return letter < 128 && std::isalnum(letter); });
        if (isPlain)
            return text + rest;
    }
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
    std::mutex mutex;
    std::map<std::string, std::string> ranShapes;
    for (auto* const server : { &primary, &first, &second }) {
        server->onRun = [&](const std::string& id, const std::string& shape, const std::string&) {
            const Lock lock(mutex);
            ranShapes[id] = shape;
        };
        store.write("servers", server->id(), server->entry("zone-a"));
    }
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
    auto process = std::make_unique<Host>("front-1", drawNetwork() + "1", store.address(), cloud.address(), folder);
    const auto& host = *process;
    while (!host.isReady()) {
        if (nowMs() > 15'000)
            return couldNotRun;
        sleepMs(100);
    }
    sleepMs(2000);
    int ran = 0;
    for (const std::string access : { "READ", "WRITE" }) {
        const std::string shape = access == "READ" ? "air-by-district1" : "post-reading-v01";
        const auto same = findSameDigest(shape, access == "READ" ? 1 : 2);
        const auto other = hasTrouble() ? same : std::string(same.rbegin(), same.rend());
        record.write("caller one prepares " + access + " " + shape + ", caller two prepares " + access + " " + other);
        for (int round = 0; round < rounds; ++round) {
            Caller one(host, database, "one-" + std::to_string(round), ledger);
            Caller two(host, database, "two-" + std::to_string(round), ledger);
            const auto use = [&](Caller& caller, const std::string& prepared) {
                const auto made = caller.query("PREPARE s1 " + access + " " + prepared);
                const auto id = caller.send(
                    "EXECUTE s1 " + std::to_string(round) + (access == "WRITE" ? " data" : ""), false);
                const auto answer = caller.receive();
                const Lock lock(mutex);
                record.write(caller.name() + " " + id + " prepared " + prepared + ", answered "
                    + (made.error.empty() ? "DONE" : made.error) + "; the server ran " + ranShapes[id] + ", answered "
                    + (answer.error.empty() ? "DONE " + answer.signature : answer.error));
                if (!made.error.empty() || !answer.error.empty() || !answer.isComplete)
                    return;
                ++ran;
                if (ranShapes[id] != prepared)
                    verdict.broken("PINNED: " + id + " of " + caller.name() + " runs the shape " + ranShapes[id]
                        + ", its caller prepared " + prepared);
            };
            use(one, shape);
            use(two, other);
        }
    }
    record.write("statements that ran " + std::to_string(ran) + ", rules broken " + std::to_string(verdict.count()));
    process.reset();
    // Threads of the stand-ins still run.
    std::_Exit(ran == 0 ? couldNotRun : verdict.count() > 0 ? ruleBroken : ruleHeld);
}
