#include "process/LeavingCallers.h"

#include "process/LineCaller.h"

namespace Auburnpost::Test {

namespace {

    constexpr std::size_t callersPerHost = 4;
    /// Of ten transactions, those that are left, and those that end with a rollback.
    constexpr unsigned leftOfTen = 5;
    constexpr unsigned rolledBackOfTen = 2;
    /// The longest pause before a statement, and before a caller leaves after one that it sent.
    constexpr unsigned maxPauseMs = 15;

} // namespace

LeavingCallers::LeavingCallers(ConfigSite& site, std::vector<std::string> databases, std::uint64_t seed)
    : m_site(site)
    , m_databases(std::move(databases))
{
    for (std::size_t number = 0; number < site.size() * callersPerHost; ++number) {
        auto& caller = m_callers.emplace_back();
        caller.host = number % site.size();
        caller.number = number;
        caller.random.seed(static_cast<unsigned>(seed * 1000 + number));
        caller.thread = std::thread([this, &caller] { run(caller); });
    }
}

LeavingCallers::~LeavingCallers()
{
    stop();
}

void LeavingCallers::stop()
{
    m_isStopping = true;
    for (auto& caller : m_callers) {
        if (caller.thread.joinable())
            caller.thread.join();
    }
}

void LeavingCallers::run(Caller& caller)
{
    while (!m_isStopping) {
        runTransaction(caller);
        std::this_thread::sleep_for(std::chrono::milliseconds(caller.random() % maxPauseMs));
    }
}

void LeavingCallers::runTransaction(Caller& caller)
{
    auto& random = caller.random;
    std::vector<std::string> statements { "BEGIN", "WRITE item data", "READ item", "WRITE item data" };
    const bool commits = random() % 10 >= rolledBackOfTen;
    statements.emplace_back(commits ? "COMMIT" : "ROLLBACK");
    const auto last = random() % 10 < leftOfTen ? random() % statements.size() : statements.size();
    const auto owner = "tx-" + std::to_string(caller.number) + "." + std::to_string(++caller.transactions);
    LineCaller session(m_site.host(caller.host).port(), m_databases[random() % m_databases.size()]);
    for (std::size_t index = 0; index < statements.size() && session.isOpen(); ++index) {
        const auto pause = std::chrono::milliseconds(random() % maxPauseMs);
        if (!session.send(owner + "-" + std::to_string(index), statements[index]))
            return;
        if (index == last) {
            ++m_left;
            std::this_thread::sleep_for(pause);
            return;
        }
        if (!session.receive().error.empty())
            return;
        std::this_thread::sleep_for(pause);
    }
    if (commits && session.isOpen())
        ++m_committed;
}

} // namespace Auburnpost::Test
