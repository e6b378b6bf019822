#include "target/ControlServer.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Standin {

namespace {

    using Json = nlohmann::json;

    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int notFound = 404;

    void replyError(const HttpExchange& exchange, int status, const std::string& reason)
    {
        exchange.reply(status, Json { { "error", reason } }.dump());
    }

} // namespace

ControlServer::ControlServer(EventLoop& loop, Target& target, PgServer& server)
    : m_target(target)
    , m_server(server)
    , m_replication(loop, target)
    , m_http(loop, [this](const HttpExchange& exchange) { handle(exchange); })
{
}

void ControlServer::handle(const HttpExchange& exchange)
{
    using Handler = void (ControlServer::*)(const HttpExchange&);
    static const std::map<std::string, Handler> handlers { { "POST /faults", &ControlServer::setFaults },
        { "POST /leaving", &ControlServer::setLeaving }, { "GET /state", &ControlServer::replyState },
        { "GET /log", &ControlServer::replyLog }, { "POST /replicate", &ControlServer::replicate } };
    const auto found = handlers.find(exchange.method() + " " + exchange.path());
    if (found == handlers.end())
        replyError(exchange, notFound, "there is no such call");
    else
        (this->*found->second)(exchange);
}

void ControlServer::setFaults(const HttpExchange& exchange)
{
    auto faults = FaultPlan::parse(exchange.body());
    if (faults && faults->outage)
        faults = fail(ErrorCode::BadRequest, "read faults", "", "outage is a fault of the platform");
    if (!faults) {
        replyError(exchange, badRequest, faults.error().message);
        return;
    }
    m_target.setFaults(std::move(*faults));
    exchange.reply(ok, "{}");
}

void ControlServer::setLeaving(const HttpExchange& exchange)
{
    const Json json = Json::parse(exchange.body(), nullptr, false);
    if (!json.is_object() || !json.contains("leaving") || !json["leaving"].is_boolean()) {
        replyError(exchange, badRequest, "the body must be {\"leaving\": true or false}");
        return;
    }
    m_target.leaving = json["leaving"].get<bool>();
    exchange.reply(ok, "{}");
}

void ControlServer::replyState(const HttpExchange& exchange)
{
    const GroupState& group = m_target.group();
    const LogPoint end = m_target.log().end();
    const TargetCounters& counters = m_target.counters;
    const Json state { { "name", m_target.settings().name.value() },
        { "database", m_target.settings().database.value() }, { "role", toString(group.role) },
        { "fenced_term", group.fencedTerm.value() }, { "candidate", group.candidate },
        { "following", group.following.value() }, { "term", end.term.value() }, { "position", end.position.value() },
        { "leaving", m_target.leaving }, { "connections", m_server.admittedCount() },
        { "connections_by_host", m_server.admittedByPeer() }, { "replicas_applied", m_replication.applied() },
        { "counters",
            { { "statements", counters.statements }, { "commits", counters.commits },
                { "refused_connections", counters.refusedConnections },
                { "peak_connections", counters.peakConnections }, { "peak_slots", counters.peakSlots } } } };
    exchange.reply(ok, state.dump());
}

void ControlServer::replyLog(const HttpExchange& exchange)
{
    Json entries = Json::array();
    for (const LogEntry& entry : m_target.log().entries())
        entries.push_back(entry.toJson());
    exchange.reply(ok, Json { { "entries", entries } }.dump());
}

void ControlServer::replicate(const HttpExchange& exchange)
{
    m_replication.handle(exchange);
}

} // namespace Auburnpost::Standin
