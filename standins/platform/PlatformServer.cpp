#include "platform/PlatformServer.h"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Auburnpost::Standin {

namespace {

    using Json = nlohmann::json;

    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr int preconditionFailed = 412;
    constexpr int unavailable = 503;

    constexpr auto documentTable = "config";
    constexpr auto documentRow = "document";

    std::vector<std::string> splitPath(const std::string& path)
    {
        std::vector<std::string> parts;
        std::istringstream stream(path);
        for (std::string part; std::getline(stream, part, '/');) {
            if (!part.empty())
                parts.push_back(part);
        }
        return parts;
    }

    std::optional<std::uint64_t> parseVersion(const std::optional<std::string>& text)
    {
        std::uint64_t version = 0;
        if (!text)
            return std::nullopt;
        const auto [rest, problem] = std::from_chars(text->data(), text->data() + text->size(), version);
        return problem == std::errc {} && rest == text->data() + text->size() ? std::optional(version) : std::nullopt;
    }

    std::string errorBody(const std::string& reason)
    {
        return Json { { "error", reason } }.dump();
    }

    // The host's name in "HOST/DATA-CENTRE".
    std::string callerOf(const HttpExchange& exchange)
    {
        const std::string agent = exchange.header("User-Agent").value_or("");
        return agent.substr(0, agent.find('/'));
    }

} // namespace

PlatformServer::PlatformServer(EventLoop& loop, PlatformSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_reads(m_settings.readsPerSecond)
    , m_writes(m_settings.writesPerSecond)
    , m_random(m_settings.seed)
    , m_hosts(loop, m_settings, m_faults)
    , m_service(loop, [this](const HttpExchange& exchange) { take(exchange); })
    , m_control(loop, [this](const HttpExchange& exchange) { control(exchange); })
{
}

Expected<void> PlatformServer::loadDocument()
{
    if (m_settings.documentFile.empty())
        return {};
    const std::ifstream file(m_settings.documentFile);
    if (!file)
        return fail(ErrorCode::BadSettings, "read document", "", m_settings.documentFile + " can't be read");
    std::ostringstream content;
    content << file.rdbuf();
    m_store.put(documentTable, documentRow, content.str(), 0);
    return {};
}

Expected<void> PlatformServer::listen()
{
    if (auto listening = m_control.listen(m_settings.control); !listening)
        return listening;
    return m_service.listen(m_settings.address);
}

bool PlatformServer::stalls(const HttpExchange& exchange) const
{
    return m_faults.outage || m_faults.isCut(callerOf(exchange));
}

void PlatformServer::take(const HttpExchange& exchange)
{
    if (stalls(exchange)) {
        ++m_counters["stalled"];
        m_stalled.push_back(exchange);
        return;
    }
    m_loop.after(m_settings.answerTime + m_faults.slow, [this, exchange] { serve(exchange); });
}

void PlatformServer::serve(const HttpExchange& exchange)
{
    if (stalls(exchange)) {
        m_stalled.push_back(exchange);
        return;
    }
    const Answer answer
        = run({ exchange.method(), splitPath(exchange.path()), exchange.body(), exchange.header("If-Match") });
    if (std::bernoulli_distribution(m_faults.loseAnswers)(m_random)) {
        ++m_counters["lost_answers"];
        exchange.drop();
        return;
    }
    exchange.reply(answer.status, answer.body, answer.headers);
}

PlatformServer::Answer PlatformServer::run(const Call& call)
{
    const bool reads = call.method == "GET";
    ++m_counters[reads ? "reads" : "writes"];
    if (!(reads ? m_reads : m_writes).admit(EventLoop::now())) {
        ++m_counters["over_limit"];
        return { unavailable, errorBody("over the rate limit"), {} };
    }
    const std::size_t depth = call.path.size();
    const std::string area = depth ? call.path.front() : "";
    if (area == "table" && depth == 3)
        return reads ? getRow(call) : putRow(call);
    if (area == "table" && depth == 2 && reads)
        return listRows(call);
    if (area == "objects" && depth == 2)
        return reads ? getObject(call) : putObject(call);
    if (area == "hosts" && depth == 1 && reads)
        return listHosts(call);
    return { notFound, errorBody("there is no such call"), {} };
}

PlatformServer::Answer PlatformServer::getRow(const Call& call) const
{
    const auto row = m_store.row(call.path[1], call.path[2]);
    if (!row)
        return { notFound, errorBody("there is no such row"), {} };
    return { ok, row->value, { { "Version", std::to_string(row->version) } } };
}

PlatformServer::Answer PlatformServer::putRow(const Call& call)
{
    const auto expected = parseVersion(call.ifMatch);
    if (!expected)
        return { badRequest, errorBody("If-Match must be a version"), {} };
    const auto result = m_store.put(call.path[1], call.path[2], call.body, *expected);
    const std::map<std::string, std::string> headers { { "Version", std::to_string(result.version) } };
    if (!result.accepted)
        return { preconditionFailed, errorBody("the row has another version"), headers };
    return { ok, "{}", headers };
}

PlatformServer::Answer PlatformServer::listRows(const Call& call) const
{
    Json rows = Json::array();
    for (const auto& [name, row] : m_store.rows(call.path[1]))
        rows.push_back({ { "row", name }, { "version", row.version } });
    return { ok, Json { { "rows", rows } }.dump(), {} };
}

PlatformServer::Answer PlatformServer::getObject(const Call& call) const
{
    const auto object = m_store.object(call.path[1]);
    return object ? Answer { ok, *object, {} } : Answer { notFound, errorBody("there is no such object"), {} };
}

PlatformServer::Answer PlatformServer::putObject(const Call& call)
{
    m_store.putObject(call.path[1], call.body);
    return { ok, "{}", {} };
}

PlatformServer::Answer PlatformServer::listHosts(const Call&) const
{
    const auto states = m_hosts.visible();
    Json hosts = Json::array();
    for (const ListedHost& host : m_hosts.hosts()) {
        const auto state = states.find(host.name.value());
        if (state != states.end())
            hosts.push_back({ { "name", host.name.value() }, { "data_centre", host.dataCentre.value() },
                { "gossip", host.gossip.toString() }, { "peers", host.peers.toString() }, { "state", state->second } });
    }
    return { ok, Json { { "hosts", hosts } }.dump(), {} };
}

void PlatformServer::control(const HttpExchange& exchange)
{
    const std::string call = exchange.method() + " " + exchange.path();
    if (call == "POST /faults")
        setFaults(exchange);
    else if (call == "GET /state")
        showState(exchange);
    else
        exchange.reply(notFound, errorBody("there is no such call"));
}

void PlatformServer::setFaults(const HttpExchange& exchange)
{
    auto faults = FaultPlan::parse(exchange.body());
    if (faults && faults->crash)
        faults = fail(ErrorCode::BadRequest, "read faults", "", "crash is a fault of a target");
    if (!faults) {
        exchange.reply(badRequest, errorBody(faults.error().message));
        return;
    }
    m_faults = std::move(*faults);
    // What stalled is never answered: its connection ends once the fault is over.
    std::erase_if(m_stalled, [this](const HttpExchange& stalled) {
        if (stalls(stalled))
            return false;
        stalled.drop();
        return true;
    });
    exchange.reply(ok, "{}");
}

void PlatformServer::showState(const HttpExchange& exchange) const
{
    Json tables = Json::object();
    for (const auto& [name, row] : m_store.rows(documentTable))
        tables[name] = row.version;
    const Json state { { "role", "platform" }, { "hosts", m_hosts.visible() }, { "hosts_found", m_hosts.found() },
        { "config_versions", tables }, { "counters", m_counters } };
    exchange.reply(ok, state.dump());
}

} // namespace Auburnpost::Standin
