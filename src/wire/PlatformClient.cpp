#include "wire/PlatformClient.h"

#include "base/Invariant.h"
#include "wire/LoopTime.h"
#include "wire/SocketOptions.h"

#include <algorithm>
#include <charconv>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace Auburnpost::Wire {

namespace {

    constexpr ev_ssize_t headerBytesLimit = 64L * 1024;
    /// Above the timeout of any call, so that the call's own timer ends it.
    constexpr Duration connectionTimeout = std::chrono::hours(1);

    std::optional<std::uint64_t> readNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [rest, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (problem != std::errc {} || rest != text.data() + text.size())
            return {};
        return number;
    }

    evhttp_cmd_type commandOf(PlatformMethod method)
    {
        switch (method) {
        case PlatformMethod::Get:
            return EVHTTP_REQ_GET;
        case PlatformMethod::Put:
            return EVHTTP_REQ_PUT;
        case PlatformMethod::Post:
            return EVHTTP_REQ_POST;
        }
        return EVHTTP_REQ_GET;
    }

    std::string_view nameOf(PlatformMethod method)
    {
        constexpr std::string_view names[] { "GET ", "PUT ", "POST " };
        return names[static_cast<std::size_t>(method)];
    }

    /// Makes the end of the connection a reset, so that data in transit does not arrive after the call timed out.
    void resetOnClose(evhttp_connection* connection)
    {
        const linger reset { 1, 0 };
        const auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        // The error for a connection without a socket is ignored, as it has no data in transit.
        (void)setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }

    std::string readBody(evhttp_request* request)
    {
        auto* const buffer = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(buffer), '\0');
        evbuffer_remove(buffer, body.data(), body.size());
        return body;
    }

} // namespace

/// An unanswered call.
struct PlatformClient::PendingCall {
    PlatformClient* client { nullptr };
    PlatformCall call;
    /// Set while the call is in progress on a connection.
    evhttp_request* request { nullptr };
    evhttp_connection* connection { nullptr };
    /// The connection of a conditional call.
    std::unique_ptr<LineConnection> conditionalConnection;
    bool isSent { false };
    /// Whether an earlier call was answered on the connection, so that the connection may have died since.
    bool isConnectionReused { false };
    /// Reason why the call failed at its start, until it is reported from the loop.
    std::string failureReason;
    /// Fires at the call's timeout; activated at once to report failureReason.
    EventPointer timer;
};

struct PlatformClient::Callbacks {
    static void reply(evhttp_request* request, void* argument)
    {
        auto& pending = *static_cast<PendingCall*>(argument);
        pending.client->onReply(pending, request);
    }

    static void start(evutil_socket_t, short, void* client)
    {
        static_cast<PlatformClient*>(client)->startWaitingCalls();
    }

    static void timeout(evutil_socket_t, short, void* argument)
    {
        auto& pending = *static_cast<PendingCall*>(argument);
        pending.client->onTimeout(pending);
    }
};

PlatformClient::PlatformClient(event_base* base, SocketAddress address, PlatformClientLimits limits)
    : m_base(base)
    , m_address(std::move(address))
    , m_limits(limits)
    , m_startEvent(event_new(base, -1, 0, &Callbacks::start, this))
{
    ignoreBrokenPipe();
    for (std::size_t count = 0; count < limits.connections; ++count) {
        m_connections.push_back(makeConnection());
        m_idleConnections.push_back(m_connections.back().get());
    }
}

HttpConnectionPointer PlatformClient::makeConnection() const
{
    const auto timeout = toTimeval(connectionTimeout);
    HttpConnectionPointer connection(evhttp_connection_base_new(m_base, nullptr, m_address.ip.c_str(), m_address.port));
    evhttp_connection_set_retries(connection.get(), 0);
    evhttp_connection_set_timeout_tv(connection.get(), &timeout);
    evhttp_connection_set_max_headers_size(connection.get(), headerBytesLimit);
    evhttp_connection_set_max_body_size(connection.get(), static_cast<ev_ssize_t>(m_limits.bodyBytes));
    return connection;
}

void PlatformClient::replaceUsedIdleConnections()
{
    for (auto& connection : m_connections) {
        const auto idle = std::find(m_idleConnections.begin(), m_idleConnections.end(), connection.get());
        if (idle == m_idleConnections.end() || m_usedConnections.erase(connection.get()) == 0)
            continue;
        connection = makeConnection();
        *idle = connection.get();
    }
}

PlatformClient::~PlatformClient()
{
    m_answered.clear();
    for (const auto& [id, pending] : m_pending) {
        if (pending->request)
            evhttp_cancel_request(pending->request);
    }
}

void PlatformClient::call(const PlatformCall& call)
{
    auto entry = std::make_unique<PendingCall>();
    auto& pending = *entry;
    pending.client = this;
    pending.call = call;
    pending.timer.reset(evtimer_new(m_base, &Callbacks::timeout, &pending));
    const bool isNew = m_pending.emplace(call.id, std::move(entry)).second;
    AUBURNPOST_INVARIANT(isNew, "ids of platform calls are unique");
    const auto timeout = toTimeval(call.timeout);
    evtimer_add(pending.timer.get(), &timeout);
    if (call.maySend) {
        startConditional(pending);
        return;
    }
    if (waiting() >= m_limits.waitingCalls) {
        pending.failureReason = "too many calls wait for a connection";
        event_active(pending.timer.get(), EV_TIMEOUT, 0);
        return;
    }
    (call.isUrgent ? m_urgentCalls : m_waitingCalls).push_back(call.id);
    m_mostWaiting = std::max(m_mostWaiting, waiting());
    scheduleStart();
}

void PlatformClient::cancel(PlatformCallId id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    interrupt(*found->second);
    release(*found->second, false);
    m_pending.erase(found);
    scheduleStart();
}

void PlatformClient::scheduleStart()
{
    if (!m_idleConnections.empty() && waiting() > 0)
        event_active(m_startEvent.get(), 0, 0);
}

bool PlatformClient::mayStartUsualCall() const
{
    return m_usualCallsInProgress + m_limits.urgentConnections < m_limits.connections;
}

void PlatformClient::startWaitingCalls()
{
    while (!m_idleConnections.empty() && !m_urgentCalls.empty())
        startNext(m_urgentCalls);
    while (!m_idleConnections.empty() && !m_waitingCalls.empty() && mayStartUsualCall())
        startNext(m_waitingCalls);
}

void PlatformClient::startNext(std::deque<PlatformCallId>& queue)
{
    auto& pending = *m_pending.at(queue.front());
    queue.pop_front();
    if (pending.call.needsNewConnection)
        replaceUsedIdleConnections();
    auto* const connection = m_idleConnections.back();
    m_idleConnections.pop_back();
    if (!pending.call.isUrgent)
        ++m_usualCallsInProgress;
    start(pending, connection);
}

void PlatformClient::start(PendingCall& pending, evhttp_connection* connection)
{
    pending.connection = connection;
    pending.isConnectionReused = m_usedConnections.contains(connection);
    pending.request = evhttp_request_new(&Callbacks::reply, &pending);
    auto* const headers = evhttp_request_get_output_headers(pending.request);
    evhttp_add_header(headers, "Host", m_address.toString().c_str());
    if (!m_limits.userAgent.empty())
        evhttp_add_header(headers, "User-Agent", m_limits.userAgent.c_str());
    for (const auto& header : pending.call.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    const bool hasBody = pending.call.method != PlatformMethod::Get;
    if (hasBody) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        if (pending.call.expectedVersion)
            evhttp_add_header(headers, "If-Match", std::to_string(*pending.call.expectedVersion).c_str());
        evbuffer_add(
            evhttp_request_get_output_buffer(pending.request), pending.call.body.data(), pending.call.body.size());
    }
    const auto command = commandOf(pending.call.method);
    if (!evhttp_make_request(connection, pending.request, command, pending.call.path.c_str()))
        return;
    // evhttp has freed the request.
    pending.request = nullptr;
    pending.failureReason = "the connection takes no request";
    event_active(pending.timer.get(), EV_TIMEOUT, 0);
}

void PlatformClient::startConditional(PendingCall& pending)
{
    LineConnection::Handlers handlers;
    handlers.connected = [this, &pending] { onConditionalConnected(pending); };
    handlers.line = [this, &pending](std::string_view line) { finish(pending, readStatus(pending, line)); };
    handlers.disconnected = [this, &pending](DisconnectReason) { onConditionalEnded(pending); };
    pending.conditionalConnection = std::make_unique<LineConnection>(m_base, m_address, std::move(handlers));
}

void PlatformClient::onConditionalConnected(PendingCall& pending)
{
    if (!pending.call.maySend()) {
        finish(pending, failure(pending, "its time was over when the connection stood", ErrorCode::NotSent));
        return;
    }
    pending.isSent = true;
    pending.conditionalConnection->sendNow(writeRequest(pending.call));
}

void PlatformClient::onConditionalEnded(PendingCall& pending)
{
    const auto code = pending.isSent ? ErrorCode::PlatformUnavailable : ErrorCode::NotSent;
    finish(pending, failure(pending, "the connection failed before the answer came", code));
}

std::string PlatformClient::writeRequest(const PlatformCall& call) const
{
    constexpr std::string_view end = "\r\n";
    auto text = std::string(nameOf(call.method)) + call.path + " HTTP/1.1\r\nHost: " + m_address.toString()
        + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(call.body.size()) + "\r\n";
    if (!m_limits.userAgent.empty())
        text.append("User-Agent: ").append(m_limits.userAgent).append(end);
    for (const auto& header : call.headers)
        text.append(header.name).append(": ").append(header.value).append(end);
    return text.append(end).append(call.body);
}

Expected<PlatformReply> PlatformClient::readStatus(const PendingCall& pending, std::string_view line) const
{
    // Expects a line such as "HTTP/1.1 200 OK"; the rest of the reply is not needed.
    const auto blank = line.find(' ');
    const auto code = blank == std::string_view::npos ? std::string_view() : line.substr(blank + 1);
    const auto status = readNumber(code.substr(0, code.find(' ')));
    if (!line.starts_with("HTTP/") || !status)
        return failure(pending, "the answer has no status");
    PlatformReply reply;
    reply.status = static_cast<int>(*status);
    return reply;
}

void PlatformClient::onReply(PendingCall& pending, evhttp_request* request)
{
    pending.request = nullptr;
    finish(pending, readReply(pending, request));
}

tl::unexpected<Error> PlatformClient::timeoutFailure(const PendingCall& pending) const
{
    if (!pending.failureReason.empty())
        return failure(pending, pending.failureReason);
    const auto timeout = " within " + std::to_string(toMilliseconds(pending.call.timeout)) + " ms";
    if (pending.conditionalConnection && !pending.isSent)
        return failure(pending, "no connection" + timeout, ErrorCode::NotSent);
    if (!pending.connection && !pending.conditionalConnection)
        return failure(pending,
            "no free connection" + timeout + "; " + std::to_string(waiting()) + " calls waited for one",
            ErrorCode::NotSent);
    return failure(
        pending, "no answer" + timeout + " on a " + (pending.isConnectionReused ? "reused" : "new") + " connection");
}

void PlatformClient::onTimeout(PendingCall& pending)
{
    const auto error = timeoutFailure(pending);
    const bool wasInProgress = pending.request != nullptr;
    interrupt(pending);
    // What silenced this connection may have silenced the idle ones as well.
    if (wasInProgress)
        replaceUsedIdleConnections();
    finish(pending, error);
}

void PlatformClient::interrupt(PendingCall& pending)
{
    if (pending.request) {
        resetOnClose(pending.connection);
        evhttp_cancel_request(std::exchange(pending.request, nullptr));
    }
    if (pending.conditionalConnection)
        pending.conditionalConnection->setResetOnClose();
}

void PlatformClient::release(PendingCall& pending, bool isAnswered)
{
    std::erase(pending.call.isUrgent ? m_urgentCalls : m_waitingCalls, pending.call.id);
    if (!pending.connection)
        return;
    if (isAnswered)
        m_usedConnections.insert(pending.connection);
    else
        m_usedConnections.erase(pending.connection);
    m_idleConnections.push_back(pending.connection);
    if (!pending.call.isUrgent)
        --m_usualCallsInProgress;
}

void PlatformClient::finish(PendingCall& pending, Expected<PlatformReply> reply)
{
    const PlatformAnswer answer { pending.call.id, std::move(reply) };
    release(pending, answer.reply.has_value());
    m_pending.erase(answer.id);
    scheduleStart();
    m_answered.emit(answer);
}

Expected<PlatformReply> PlatformClient::readReply(const PendingCall& pending, evhttp_request* request) const
{
    if (!request || !evhttp_request_get_response_code(request))
        return failure(pending, "the connection failed before the whole answer came");
    PlatformReply reply { evhttp_request_get_response_code(request), readBody(request), {} };
    const auto* const headers = evhttp_request_get_input_headers(request);
    for (const auto* header = headers->tqh_first; header; header = header->next.tqe_next)
        reply.headers.push_back({ header->key, header->value });
    const auto* const length = evhttp_find_header(headers, "Content-Length");
    if (length && readNumber(length) != reply.body.size())
        return failure(pending, "the answer is not whole");
    if (const auto* const version = evhttp_find_header(headers, "Version")) {
        reply.version = readNumber(version);
        if (!reply.version)
            return failure(pending, "the answer's Version is not a number");
    }
    return reply;
}

tl::unexpected<Error> PlatformClient::failure(const PendingCall& pending, std::string message, ErrorCode code) const
{
    return fail(
        code, std::string(nameOf(pending.call.method)) + pending.call.path, m_address.toString(), std::move(message));
}

} // namespace Auburnpost::Wire
