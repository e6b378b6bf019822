#include "load/Workload.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Load {

namespace {

    constexpr auto insertSql = "INSERT INTO load_facts(item, fact) VALUES($1, $2)";
    constexpr auto selectSql = "SELECT item, fact FROM load_facts WHERE item = $1";

} // namespace

std::string Operation::body() const
{
    nlohmann::json json { { "database", event.database.value() }, { "access", event.isWrite ? "write" : "read" },
        { "sql", event.isWrite ? insertSql : selectSql }, { "params", { event.item } } };
    if (event.isWrite)
        json["params"].push_back(event.fact.value());
    if (event.maxAge)
        json["max_age_ms"] = toMilliseconds(*event.maxAge);
    return json.dump();
}

Workload::Workload(Mix mix, WorkloadSettings settings)
    : m_mix(std::move(mix))
    , m_settings(std::move(settings))
{
}

Operation Workload::next(Instant scheduled, RandomEngine& random)
{
    const auto number = acquireSession(random);
    auto& session = m_sessions.at(number);
    const auto& kind = drawKind(random);
    const auto location = drawLocation(kind, session, random);
    Operation operation { &kind, &m_settings.organisations[session.organisation], session.token, {} };
    auto& event = operation.event;
    event.session = number;
    event.kind = kind.name;
    event.isWrite = kind.access != Access::Read;
    event.database = location.database;
    event.item = location.item;
    event.invoked = scheduled;
    event.maxAge = kind.maxAge;
    if (event.isWrite)
        event.fact = Fact(m_settings.run + "-" + std::to_string(++m_lastFact));
    if (kind.access == Access::KeyedWrite)
        event.key = "key-" + event.fact.value();
    return operation;
}

void Workload::completeRequest(const HistoryEvent& event, const std::string& token)
{
    auto& session = m_sessions.at(event.session);
    if (!token.empty())
        session.token = token;
    if (event.isWrite && event.outcome == Outcome::Done)
        session.written.push_back({ event.database, event.item });
    if (--session.requestsLeft == 0)
        m_sessions.erase(event.session);
    else
        m_idle.push_back(event.session);
}

SessionNumber Workload::acquireSession(RandomEngine& random)
{
    if (m_sessions.size() >= m_settings.sessions && !m_idle.empty()) {
        std::swap(m_idle[drawIndex(m_idle.size(), random)], m_idle.back());
        const auto number = m_idle.back();
        m_idle.pop_back();
        return number;
    }
    const SessionNumber number(++m_lastSession);
    m_sessions[number] = { drawIndex(m_settings.organisations.size(), random), "", {}, m_settings.requestsPerSession };
    return number;
}

const RequestKind& Workload::drawKind(RandomEngine& random)
{
    std::vector<double> weights;
    for (const auto& kind : m_mix.kinds)
        weights.push_back(kind.weight);
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    return m_mix.kinds[draw(random)];
}

Workload::ItemLocation Workload::drawLocation(const RequestKind& kind, const Session& session, RandomEngine& random)
{
    if (kind.readsOwnItem && !session.written.empty())
        return session.written[drawIndex(session.written.size(), random)];
    const auto& databases = m_settings.organisations[session.organisation].databases;
    std::uniform_int_distribution<std::int64_t> item(1, m_settings.items);
    return { databases[drawIndex(databases.size(), random)], item(random) };
}

std::size_t Workload::drawIndex(std::size_t size, RandomEngine& random)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

} // namespace Auburnpost::Load
