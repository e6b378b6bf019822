#include "load/TableSetup.h"

#include <nlohmann/json.hpp>

#include <set>

namespace Auburnpost::Load {

namespace {

    constexpr std::uint32_t attemptLimit = 60;
    constexpr Duration attemptInterval = std::chrono::milliseconds(500);
    constexpr Duration answerTimeout = std::chrono::seconds(5);
    constexpr int statusOk = 200;
    constexpr auto createTableSql = "CREATE TABLE IF NOT EXISTS load_facts(item INTEGER, fact TEXT)";
    constexpr auto createIndexSql = "CREATE INDEX IF NOT EXISTS load_facts_item ON load_facts(item)";

} // namespace

TableSetup::TableSetup(Standin::EventLoop& loop, std::vector<HostEndpoint> hosts, std::string run)
    : m_loop(loop)
    , m_client(loop.base(), answerTimeout)
    , m_hosts(std::move(hosts))
    , m_run(std::move(run))
{
}

void TableSetup::start(
    const std::vector<OrganisationAccess>& organisations, std::function<void(const std::string&)> done)
{
    m_done = std::move(done);
    std::set<DatabaseName> known;
    for (const auto& organisation : organisations) {
        for (const auto& database : organisation.databases) {
            if (!known.insert(database).second)
                continue;
            m_steps.push_back({ organisation, database, createTableSql });
            m_steps.push_back({ organisation, database, createIndexSql });
        }
    }
    runNext();
}

void TableSetup::runNext()
{
    if (m_steps.empty()) {
        m_done("");
        return;
    }
    const auto& step = m_steps.front();
    const nlohmann::json body { { "database", step.database.value() }, { "access", "write" }, { "sql", step.sql } };
    const auto& host = m_hosts[m_attempts % m_hosts.size()];
    HttpRequest request { host.callers, "/v1/" + step.organisation.name.value() + "/statements",
        { { "Authorization", "Bearer " + step.organisation.key },
            { "Idempotency-Key", "setup-" + m_run + "-" + std::to_string(m_stepNumber) } },
        body.dump() };
    m_client.send(std::move(request), [this](const HttpAnswer& answer) { onAnswer(answer); });
}

void TableSetup::onAnswer(const HttpAnswer& answer)
{
    if (answer.status == statusOk) {
        m_steps.pop_front();
        ++m_stepNumber;
        runNext();
        return;
    }
    if (++m_attempts >= attemptLimit)
        m_done("status " + std::to_string(answer.status) + " " + answer.body);
    else
        m_loop.runAfter(attemptInterval, [this] { runNext(); });
}

} // namespace Auburnpost::Load
