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

    // Returns HOST of the User-Agent "HOST/DATA-CENTRE".
    std::string callingHost(const HttpExchange& exchange)
    {
        const std::string agent = exchange.header("User-Agent").value_or("");
        return agent.substr(0, agent.find('/'));
    }

} // namespace

PlatformServer::PlatformServer(EventLoop& loop, PlatformSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_readLimit(m_settings.readsPerSecond)
    , m_writeLimit(m_settings.writesPerSecond)
    , m_random(m_settings.seed)
    , m_hosts(loop, m_settings, m_faults)
    , m_service(loop, [this](const HttpExchange& exchange) { receive(exchange); })
    , m_control(loop, [this](const HttpExchange& exchange) { handleControl(exchange); })
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

bool PlatformServer::isStalled(const HttpExchange& exchange) const
{
    return m_faults.outage || m_faults.isCut(callingHost(exchange));
}

void PlatformServer::receive(const HttpExchange& exchange)
{
    if (isStalled(exchange)) {
        ++m_counters["stalled"];
        m_stalledRequests.push_back(exchange);
        return;
    }
    m_loop.runAfter(m_settings.answerTime + m_faults.slow, [this, exchange] { respond(exchange); });
}

void PlatformServer::respond(const HttpExchange& exchange)
{
    if (isStalled(exchange)) {
        m_stalledRequests.push_back(exchange);
        return;
    }
    const Answer answer
        = dispatch({ exchange.method(), splitPath(exchange.path()), exchange.body(), exchange.header("If-Match") });
    if (std::bernoulli_distribution(m_faults.loseAnswers)(m_random)) {
        ++m_counters["lost_answers"];
        exchange.drop();
        return;
    }
    exchange.reply(answer.status, answer.body, answer.headers);
}

PlatformServer::Answer PlatformServer::dispatch(const Request& request)
{
    const bool isRead = request.method == "GET";
    ++m_counters[isRead ? "reads" : "writes"];
    if (!(isRead ? m_readLimit : m_writeLimit).admit(EventLoop::now())) {
        ++m_counters["over_limit"];
        return { unavailable, errorBody("over the rate limit"), {} };
    }
    const std::size_t partCount = request.path.size();
    const std::string resource = partCount ? request.path.front() : "";
    if (resource == "table" && partCount == 3)
        return isRead ? getRow(request) : putRow(request);
    if (resource == "table" && partCount == 2 && isRead)
        return listRows(request);
    if (resource == "objects" && partCount == 2)
        return isRead ? getObject(request) : putObject(request);
    if (resource == "hosts" && partCount == 1 && isRead)
        return listHosts(request);
    return { notFound, errorBody("there is no such call"), {} };
}

PlatformServer::Answer PlatformServer::getRow(const Request& request) const
{
    const auto row = m_store.row(request.path[1], request.path[2]);
    if (!row)
        return { notFound, errorBody("there is no such row"), {} };
    return { ok, row->value, { { "Version", std::to_string(row->version) } } };
}

PlatformServer::Answer PlatformServer::putRow(const Request& request)
{
    const auto expected = parseVersion(request.ifMatch);
    if (!expected)
        return { badRequest, errorBody("If-Match must be a version"), {} };
    const auto result = m_store.put(request.path[1], request.path[2], request.body, *expected);
    const std::map<std::string, std::string> headers { { "Version", std::to_string(result.version) } };
    if (!result.accepted)
        return { preconditionFailed, errorBody("the row has another version"), headers };
    return { ok, "{}", headers };
}

PlatformServer::Answer PlatformServer::listRows(const Request& request) const
{
    Json rows = Json::array();
    for (const auto& [name, row] : m_store.rows(request.path[1]))
        rows.push_back({ { "row", name }, { "version", row.version } });
    return { ok, Json { { "rows", rows } }.dump(), {} };
}

PlatformServer::Answer PlatformServer::getObject(const Request& request) const
{
    const auto object = m_store.object(request.path[1]);
    return object ? Answer { ok, *object, {} } : Answer { notFound, errorBody("there is no such object"), {} };
}

PlatformServer::Answer PlatformServer::putObject(const Request& request)
{
    m_store.putObject(request.path[1], request.body);
    return { ok, "{}", {} };
}

PlatformServer::Answer PlatformServer::listHosts(const Request&) const
{
    const auto states = m_hosts.publishedStates();
    Json hosts = Json::array();
    for (const ListedHost& host : m_hosts.hosts()) {
        const auto state = states.find(host.name.value());
        if (state != states.end())
            hosts.push_back({ { "name", host.name.value() }, { "data_centre", host.dataCentre.value() },
                { "gossip", host.gossip.toString() }, { "peers", host.peers.toString() }, { "state", state->second } });
    }
    return { ok, Json { { "hosts", hosts } }.dump(), {} };
}

void PlatformServer::handleControl(const HttpExchange& exchange)
{
    const std::string request = exchange.method() + " " + exchange.path();
    if (request == "POST /faults")
        setFaults(exchange);
    else if (request == "GET /state")
        replyState(exchange);
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
    // A stalled request is never answered: its connection is closed once the fault is over.
    std::erase_if(m_stalledRequests, [this](const HttpExchange& stalled) {
        if (isStalled(stalled))
            return false;
        stalled.drop();
        return true;
    });
    exchange.reply(ok, "{}");
}

void PlatformServer::replyState(const HttpExchange& exchange) const
{
    Json tables = Json::object();
    for (const auto& [name, row] : m_store.rows(documentTable))
        tables[name] = row.version;
    const Json state { { "role", "platform" }, { "hosts", m_hosts.publishedStates() },
        { "hosts_found", m_hosts.detectedStates() }, { "config_versions", tables }, { "counters", m_counters } };
    exchange.reply(ok, state.dump());
}

} // namespace Auburnpost::Standin
