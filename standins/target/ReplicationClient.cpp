#include "target/ReplicationClient.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace Auburnpost::Standin {

namespace {

    using Json = nlohmann::json;

    constexpr auto retryDelay = std::chrono::milliseconds(20);
    constexpr timeval answerTimeout { 1, 0 };

    LogPoint readPoint(const Json& json)
    {
        return { Term(json.at(0).get<std::uint64_t>()), Position(json.at(1).get<std::uint64_t>()) };
    }

    Json pointToJson(const LogPoint& point)
    {
        return { point.term.value(), point.position.value() };
    }

    std::string readBody(evhttp_request* request)
    {
        evbuffer* const buffer = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(buffer), '\0');
        evbuffer_copyout(buffer, body.data(), body.size());
        return body;
    }

} // namespace

ReplicationClient::ReplicationClient(EventLoop& loop, Target& target)
    : m_loop(loop)
    , m_target(target)
    , m_pullTimer(loop, [this] { pull(); })
    , m_applyTimer(loop, [this] { applyDue(); })
{
    m_target.changed.connect([this] { update(); });
    m_target.faultsChanged.connect([this] { update(); });
    update();
}

ReplicationClient::PrimaryConnection::~PrimaryConnection()
{
    evhttp_connection_free(connection);
}

bool ReplicationClient::canPull() const
{
    const GroupState& group = m_target.group();
    return group.role == TargetRole::Replica && !m_target.faults().isCut(group.following.value());
}

void ReplicationClient::update()
{
    const TargetName primary = canPull() ? m_target.group().following : TargetName();
    // Entries from a primary with a term below the fenced term must not be applied.
    if (m_target.group().role != TargetRole::Replica || m_target.group().fencedTerm > m_leaderTerm)
        m_received.clear();
    if (primary != m_primary) {
        m_primary = primary;
        disconnect();
        if (primary != TargetName())
            m_pullTimer.start(Duration::zero());
    }
    if (!m_received.empty())
        m_applyTimer.start(Duration::zero());
}

void ReplicationClient::disconnect()
{
    m_inFlight = false;
    m_pullTimer.stop();
    if (!m_connection)
        return;
    // Freed from the event loop, since this function may run inside a callback of the connection.
    m_connection->client = nullptr;
    m_loop.runAfter(Duration::zero(), [old = std::exchange(m_connection, nullptr)] {});
}

void ReplicationClient::connect()
{
    const SocketAddress& address = m_target.settings().members.at(m_primary);
    m_connection = std::make_shared<PrimaryConnection>();
    m_connection->client = this;
    m_connection->connection = evhttp_connection_base_new(m_loop.base(), nullptr, address.ip.c_str(), address.port);
    evhttp_connection_set_timeout_tv(m_connection->connection, &answerTimeout);
}

void ReplicationClient::pull()
{
    if (!canPull() || m_inFlight)
        return;
    if (!m_connection)
        connect();
    m_inFlight = true;
    m_pullAfter = lastReceived();
    const Json body { { "peer", m_target.settings().name.value() },
        { "data_centre", m_target.settings().dataCentre.value() }, { "after", pointToJson(m_pullAfter) },
        { "applied", pointToJson(m_target.log().end()) } };
    const std::string text = body.dump();
    evhttp_request* const request = evhttp_request_new(onAnswer, m_connection.get());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "target");
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
    evhttp_make_request(m_connection->connection, request, EVHTTP_REQ_POST, "/replicate");
}

void ReplicationClient::onAnswer(evhttp_request* request, void* argument)
{
    if (!static_cast<PrimaryConnection*>(argument)->client)
        return;
    ReplicationClient& client = *static_cast<PrimaryConnection*>(argument)->client;
    client.m_inFlight = false;
    const bool answered = request && evhttp_request_get_response_code(request) == 200;
    const std::string body = answered ? readBody(request) : "";
    if (!answered)
        client.disconnect();
    client.m_pullTimer.start(answered ? Duration::zero() : Duration(retryDelay));
    if (answered)
        client.handleAnswer(body);
}

void ReplicationClient::handleAnswer(const std::string& body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded())
        return;
    const Term leading(json.at("leading").get<std::uint64_t>());
    if (!leading.value()) {
        m_pullTimer.start(retryDelay);
        return;
    }
    if (!m_target.acceptLeader(leading))
        return;
    m_leaderTerm = leading;
    if (!json.at("match").get<bool>()) {
        truncateToCommonPoint(body);
        return;
    }
    // A new term has dropped the entries received before the pull was sent; the next pull requests them again.
    if (m_pullAfter != lastReceived())
        return;
    for (const Json& entry : json.at("entries"))
        m_received.push_back({ EventLoop::now(), LogEntry::fromJson(entry) });
    applyDue();
}

void ReplicationClient::truncateToCommonPoint(const std::string& body)
{
    const Json json = Json::parse(body);
    m_received.clear();
    TermStarts starts;
    for (const Json& start : json.at("term_starts"))
        starts.push_back(readPoint(start));
    const LogPoint agreed = m_target.log().lastCommonPoint(starts, readPoint(json.at("end")));
    if (agreed != m_target.log().end())
        m_target.truncate(agreed);
}

void ReplicationClient::applyDue()
{
    while (!m_received.empty() && canPull()) {
        const auto wait = m_received.front().at + lag() - EventLoop::now();
        if (wait > Duration::zero()) {
            m_applyTimer.start(wait);
            return;
        }
        LogEntry entry = std::move(m_received.front().entry);
        m_received.pop_front();
        m_target.replicate(std::move(entry));
    }
}

LogPoint ReplicationClient::lastReceived() const
{
    return m_received.empty() ? m_target.log().end() : m_received.back().entry.point;
}

Duration ReplicationClient::lag() const
{
    return m_target.faults().lag.value_or(m_target.settings().replicationLag);
}

} // namespace Auburnpost::Standin
