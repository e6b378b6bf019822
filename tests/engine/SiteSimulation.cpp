#include "engine/SiteSimulation.h"

#include "config/KeyDigest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Auburnpost {

using namespace std::chrono_literals;

namespace {

    constexpr std::uint16_t peersBase = 1000;
    constexpr std::uint16_t gossipBase = 2000;
    constexpr std::uint16_t targetBase = 3000;
    constexpr const char* databaseName = "sizing-core-1";
    constexpr const char* organisationName = "kandy-tailors";
    constexpr const char* callerKey = "a key for the tests";
    constexpr std::size_t connectionCap = 50;
    constexpr Duration connectTime = 10ms;
    constexpr Duration connectTimeout = 2s;
    constexpr Duration tickTime = 10ms;
    constexpr Duration stallRetryInterval = 20ms;

    const char* dataCentreOf(std::size_t index)
    {
        constexpr std::array names { "west-colombo", "central-kandy", "south-galle" };
        return names[index % names.size()];
    }

    SocketAddress local(std::uint16_t port)
    {
        return { "127.0.0.1", port };
    }

    std::string targetName(std::size_t index)
    {
        return "target-" + std::string(1, static_cast<char>('a' + index));
    }

} // namespace

SiteSimulation::SiteSimulation(const Options& options)
    : m_options(options)
    , m_random(options.seed)
    , m_network(m_queue, m_random)
    , m_callers(options.callers)
{
    m_queue.runUntil(Instant(1s));
    for (std::size_t index = 0; index < targetCount; ++index) {
        m_targets.push_back(std::make_unique<TargetNode>(TargetName(targetName(index))));
        m_targets.back()->lag = options.replicationLag;
    }
    m_targets.front()->target.bootstrap();
    m_hosts.resize(options.hosts);
    for (std::size_t index = 0; index < options.hosts; ++index) {
        m_hosts[index].name = "host-" + std::to_string(index);
        startHost(index);
    }
    replicateLogs();
    checkReadiness();
    m_queue.after(2s, [this] {
        for (std::size_t caller = 0; caller < m_callers.size(); ++caller)
            startJob(caller);
    });
}

SiteSimulation::~SiteSimulation() = default;

Config::Settings SiteSimulation::settingsOf(std::size_t host) const
{
    Config::Settings settings;
    settings.host = { HostName(m_hosts[host].name), DataCentreName(dataCentreOf(host)) };
    const auto offset = static_cast<std::uint16_t>(host);
    settings.listen = { local(1), local(2), local(peersBase + offset), local(gossipBase + offset) };
    settings.platform = { local(3), 1s, 2s, 15s, 10s };
    for (std::size_t other = 0; other < m_hosts.size(); ++other)
        settings.seeds.hosts.push_back(local(static_cast<std::uint16_t>(gossipBase + other)));
    settings.session.signingKey = "0123456789abcdef";
    settings.limits.defaultTimeout = 5s;
    settings.limits.maxTimeout = 60s;
    settings.limits.queueLength = 1024;
    settings.limits.transactionIdle = 10s;
    settings.limits.transactionMax = 30s;
    settings.limits.stopTimeout = 30s;
    settings.group.probeInterval = 100ms;
    settings.group.suspectAfter = 600ms;
    settings.group.operationTimeout = 2s;
    settings.group.rankSpacing = 300ms;
    settings.member = { 100ms, 400ms, 1500ms };
    return settings;
}

std::string SiteSimulation::documentText() const
{
    using nlohmann::json;
    auto targets = json::array();
    for (std::size_t index = 0; index < targetCount; ++index)
        targets.push_back({ { "name", targetName(index) },
            { "address", local(static_cast<std::uint16_t>(targetBase + index)).toString() },
            { "data_centre", dataCentreOf(index) } });
    const json placement { { "databases",
        { { databaseName,
            { { "targets", targets }, { "connection_cap", connectionCap }, { "slots", 3 }, { "homes", 3 } } } } } };
    const json organisations { { organisationName,
        { { "databases", { databaseName } }, { "keys", { Config::KeyDigest::of(callerKey).toString() } } } } };
    return json {
        { "sections",
            { { "placement", placement }, { "organisations", organisations },
                { "staleness", { { "default_ms", 10000 } } }, { "maintenance", json::parse(m_maintenance) } } }
    }.dump();
}

void SiteSimulation::setMaintenance(const std::string& json)
{
    m_maintenance = json;
    ++m_documentVersion;
}

void SiteSimulation::startHost(std::size_t host)
{
    auto& node = m_hosts[host];
    ++node.incarnation;
    ++node.generation;
    node.exitStatus.reset();
    node.engine = std::make_unique<Engine>(m_queue.now(), settingsOf(host), Incarnation(node.incarnation), m_random());
    tickHost(host, node.generation);
}

void SiteSimulation::tickHost(std::size_t host, std::uint64_t generation)
{
    if (m_hosts[host].generation != generation || !m_hosts[host].engine)
        return;
    post(host, Tick {});
    onHost(host, tickTime, [this, host, generation] { tickHost(host, generation); });
}

void SiteSimulation::onHost(std::size_t host, Duration delay, std::function<void()> task)
{
    const auto generation = m_hosts[host].generation;
    m_queue.after(delay, [this, host, generation, task = std::move(task)] {
        if (m_hosts[host].generation != generation || !m_hosts[host].engine)
            return;
        if (m_network.isFrozen(m_hosts[host].name))
            onHost(host, stallRetryInterval, task);
        else
            task();
    });
}

void SiteSimulation::post(std::size_t host, Event event)
{
    if (!m_hosts[host].engine)
        return;
    for (auto& action : m_hosts[host].engine->onEvent(m_queue.now(), std::move(event)))
        perform(host, std::move(action));
}

void SiteSimulation::perform(std::size_t host, Action action)
{
    std::visit([this, host](const auto& alternative) { perform(host, alternative); }, action);
}

// Targets

std::optional<std::size_t> SiteSimulation::targetByName(const TargetName& name) const
{
    for (std::size_t index = 0; index < targetCount; ++index) {
        if (m_targets[index]->target.name() == name)
            return index;
    }
    return std::nullopt;
}

bool SiteSimulation::isCut(std::size_t host, std::size_t target) const
{
    return m_hostTargetCuts.contains({ host, target });
}

void SiteSimulation::perform(std::size_t host, const OpenConnection& open)
{
    const auto index = *targetByName(open.target);
    const auto connection = open.connection;
    m_hosts[host].links[connection] = { index, m_targets[index]->generation, false, {}, {} };
    const auto reportLoss = [this, host, connection](ErrorCode code) {
        if (m_hosts[host].links.erase(connection))
            post(host, TargetConnectionLost { connection, { code, "connect", "target", "not opened" } });
    };
    onHost(host, connectTime, [this, host, index, connection, reportLoss] {
        auto& node = *m_targets[index];
        const auto found = m_hosts[host].links.find(connection);
        if (found == m_hosts[host].links.end())
            return;
        if (isCut(host, index) || m_network.isFrozen(node.target.name().value())) {
            onHost(host, connectTimeout, [reportLoss] { reportLoss(ErrorCode::DeadlineExceeded); });
            return;
        }
        if (!node.alive || node.target.connections() >= connectionCap) {
            reportLoss(node.alive ? ErrorCode::TooManyConnections : ErrorCode::ConnectionRefused);
            return;
        }
        // Connection ids are unique within a host only; the upper digits identify the host to the target.
        node.target.connect(ConnectionId(host * 1000000 + connection.value()));
        found->second.open = true;
        found->second.targetGeneration = node.generation;
        post(host, TargetConnected { connection, node.target.targetStatus() });
    });
}

void SiteSimulation::perform(std::size_t host, const CloseConnection& close)
{
    const auto link = m_hosts[host].links.extract(close.connection);
    if (!link || !link.mapped().open)
        return;
    const auto target = link.mapped().target;
    const ConnectionId id(host * 1000000 + close.connection.value());
    m_queue.after(1ms, [this, target, id] { m_targets[target]->target.disconnect(id); });
}

void SiteSimulation::perform(std::size_t host, const TargetCommand& command)
{
    auto& link = m_hosts[host].links[command.connection];
    link.lastToTarget = std::max(link.lastToTarget, m_queue.now() + m_network.between(300us, 1500us));
    const auto generation = m_hosts[host].generation;
    m_queue.after(link.lastToTarget - m_queue.now(),
        [this, host, command, generation] { deliverToTarget(host, command, generation); });
}

void SiteSimulation::deliverToTarget(std::size_t host, const TargetCommand& command, std::uint64_t hostGeneration)
{
    if (m_hosts[host].generation != hostGeneration)
        return;
    const auto found = m_hosts[host].links.find(command.connection);
    if (found == m_hosts[host].links.end()
        || found->second.targetGeneration != m_targets[found->second.target]->generation)
        return;
    const auto index = found->second.target;
    auto& node = *m_targets[index];
    if (isCut(host, index) || m_network.isFrozen(node.target.name().value())) {
        m_queue.after(stallRetryInterval,
            [this, host, command, hostGeneration] { deliverToTarget(host, command, hostGeneration); });
        return;
    }
    auto sent = command;
    sent.connection = ConnectionId(host * 1000000 + command.connection.value());
    const auto hostConnection = command.connection;
    node.target.execute(m_queue.now(), sent, [this, host, hostConnection, hostGeneration](TargetAnswer answer) {
        answer.connection = hostConnection;
        const auto link = m_hosts[host].links.find(hostConnection);
        if (m_hosts[host].generation != hostGeneration || link == m_hosts[host].links.end())
            return;
        if (m_queue.now() < m_answerLossEnd && m_network.chance(m_answerLossShare)) {
            dropLink(host, hostConnection);
            return;
        }
        auto& last = link->second.lastToHost;
        last = std::max(last, m_queue.now() + m_network.between(300us, 1500us));
        m_queue.after(last - m_queue.now(), [this, host, hostConnection, answer, hostGeneration] {
            deliverToHost(host, hostConnection, answer, hostGeneration);
        });
    });
}

void SiteSimulation::deliverToHost(std::size_t host, ConnectionId connection, Event event, std::uint64_t hostGeneration)
{
    const auto found = m_hosts[host].links.find(connection);
    if (m_hosts[host].generation != hostGeneration || found == m_hosts[host].links.end())
        return;
    if (isCut(host, found->second.target) || m_network.isFrozen(m_hosts[host].name)) {
        m_queue.after(stallRetryInterval, [this, host, connection, event, hostGeneration] {
            deliverToHost(host, connection, event, hostGeneration);
        });
        return;
    }
    post(host, std::move(event));
}

void SiteSimulation::dropLinks(std::size_t target)
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        std::vector<ConnectionId> lost;
        for (const auto& [connection, link] : m_hosts[host].links) {
            if (link.target == target && link.open)
                lost.push_back(connection);
        }
        for (const auto connection : lost)
            dropLink(host, connection);
    }
}

void SiteSimulation::dropLink(std::size_t host, ConnectionId connection)
{
    const auto target = m_hosts[host].links[connection].target;
    m_queue.after(0us, [this, target, id = ConnectionId(host * 1000000 + connection.value())] {
        m_targets[target]->target.disconnect(id);
    });
    onHost(host, 1ms, [this, host, connection] {
        if (m_hosts[host].links.erase(connection))
            post(host,
                TargetConnectionLost { connection, { ErrorCode::ConnectionLost, "connection", "target", "reset" } });
    });
}

void SiteSimulation::replicateLogs()
{
    for (std::size_t to = 0; to < targetCount; ++to) {
        auto& replica = *m_targets[to];
        if (replica.alive)
            replica.target.expireWaits(m_queue.now());
        const auto from = targetByName(replica.target.following());
        if (!replica.alive || !from || !m_targets[*from]->alive || m_targetCuts.contains({ *from, to }))
            continue;
        const auto& primary = m_targets[*from]->target;
        if (primary.targetStatus().role != TargetRole::Primary || m_network.isFrozen(primary.name().value()))
            continue;
        const auto term = primary.targetStatus().end.term;
        // Equal terms at one index mean equal logs up to it, as in Raft.
        const auto& ownLog = replica.target.log();
        const auto& log = primary.log();
        auto prefix = std::min(ownLog.size(), log.size());
        while (prefix > 0 && ownLog[prefix - 1].term != log[prefix - 1].term)
            --prefix;
        if (prefix == ownLog.size() && prefix == log.size() && replica.target.targetStatus().fencedTerm == term)
            continue;
        std::vector<FakeLogEntry> entries(log.begin() + static_cast<std::ptrdiff_t>(prefix), log.end());
        m_queue.after(replica.lag + 500us,
            [this, to, name = primary.name(), term, prefix, entries = std::move(entries),
                generation = replica.generation] {
                if (m_targets[to]->generation == generation
                    && !m_network.isFrozen(m_targets[to]->target.name().value()))
                    m_targets[to]->target.replicate(m_queue.now(), name, term, prefix, entries);
            });
    }
    m_queue.after(5ms, [this] { replicateLogs(); });
}

// Messages between hosts, and the platform

std::optional<std::size_t> SiteSimulation::hostByPort(std::uint16_t port) const
{
    const std::size_t index = port >= gossipBase ? port - gossipBase : port - peersBase;
    return index < m_hosts.size() ? std::optional(index) : std::nullopt;
}

void SiteSimulation::perform(std::size_t host, const SendToPeer& send)
{
    const auto to = hostByPort(send.address.port);
    if (!to)
        return;
    m_network.send(m_hosts[host].name, m_hosts[*to].name,
        [this, to = *to, bytes = send.bytes] { post(to, PeerReceived { bytes }); });
}

void SiteSimulation::perform(std::size_t host, const SendGossip& send)
{
    const auto to = hostByPort(send.address.port);
    if (!to)
        return;
    const auto from = local(static_cast<std::uint16_t>(gossipBase + host));
    m_network.send(m_hosts[host].name, m_hosts[*to].name, [this, to = *to, from, bytes = send.bytes] {
        post(to, GossipReceived { from, bytes });
    });
}

void SiteSimulation::perform(std::size_t host, const PlatformCall& call)
{
    if (m_isPlatformDown) {
        onHost(host, call.timeout, [this, host, id = call.id] {
            post(host, PlatformAnswer { id, fail(ErrorCode::PlatformUnavailable, "call", "platform", "no answer") });
        });
        return;
    }
    PlatformReply reply { 200, "", std::nullopt };
    if (call.path == "/table/config/document") {
        reply.body = documentText();
        reply.version = m_documentVersion;
    } else if (call.path == "/table/config") {
        reply.body
            = nlohmann::json { { "rows", { { { "row", "document" }, { "version", m_documentVersion } } } } }.dump();
    } else {
        reply.body = R"({"hosts":[]})";
    }
    onHost(host, 2ms, [this, host, id = call.id, reply] { post(host, PlatformAnswer { id, reply }); });
}

void SiteSimulation::perform(std::size_t host, const ExitProcess& exitProcess)
{
    m_hosts[host].exitStatus = exitProcess.exitStatus;
    m_queue.after(0us, [this, host, generation = m_hosts[host].generation] {
        if (m_hosts[host].generation == generation)
            killHost(host);
    });
}

const std::string& SiteSimulation::dump(std::size_t host)
{
    m_dump = m_hosts[host].engine ? m_hosts[host].engine->dump(m_queue.now()) : "down";
    return m_dump;
}

std::optional<std::size_t> SiteSimulation::primaryIndex() const
{
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < targetCount; ++index) {
        const auto targetStatus = m_targets[index]->target.targetStatus();
        if (targetStatus.role == TargetRole::Primary
            && (!found || targetStatus.end.term > m_targets[*found]->target.targetStatus().end.term))
            found = index;
    }
    return found;
}

void SiteSimulation::run(Duration duration)
{
    m_queue.runUntil(m_queue.now() + duration);
}

} // namespace Auburnpost
