#include "load/HttpClient.h"

#include "wire/LoopTime.h"
#include "wire/SocketOptions.h"

#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace Auburnpost::Load {

namespace {

    HttpAnswer parseAnswer(evhttp_request* request)
    {
        HttpAnswer answer;
        if (!request || !evhttp_request_get_response_code(request))
            return answer;
        const auto* const headers = evhttp_request_get_input_headers(request);
        for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next)
            answer.headers[header->key] = header->value;
        auto* const buffer = evhttp_request_get_input_buffer(request);
        answer.body.resize(evbuffer_get_length(buffer));
        evbuffer_remove(buffer, answer.body.data(), answer.body.size());
        const auto length = answer.header("Content-Length");
        if (length.empty() || length == std::to_string(answer.body.size()))
            answer.status = evhttp_request_get_response_code(request);
        return answer;
    }

} // namespace

std::string HttpAnswer::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

struct HttpClient::Pending {
    HttpClient* client { nullptr };
    HttpRequest call;
    AnswerHandler done;
    evhttp_connection* connection { nullptr };
    evhttp_request* request { nullptr };
};

struct HttpClient::Callbacks {
    static void reply(evhttp_request* request, void* argument)
    {
        auto& pending = *static_cast<Pending*>(argument);
        pending.client->onReply(pending, request);
    }

    static void processQueues(evutil_socket_t, short, void* client)
    {
        static_cast<HttpClient*>(client)->processQueues();
    }
};

HttpClient::HttpClient(event_base* base, Duration timeout)
    : m_base(base)
    , m_timeout(timeout)
    , m_processingEvent(event_new(base, -1, 0, &Callbacks::processQueues, this))
{
    Wire::ignoreBrokenPipe();
}

HttpClient::~HttpClient()
{
    for (const auto& [pending, owner] : m_pending)
        evhttp_cancel_request(pending->request);
}

void HttpClient::send(HttpRequest call, AnswerHandler done)
{
    auto pending = std::make_unique<Pending>();
    pending->client = this;
    pending->call = std::move(call);
    pending->done = std::move(done);
    m_queued.push_back(std::move(pending));
    scheduleProcessing();
}

void HttpClient::scheduleProcessing()
{
    event_active(m_processingEvent.get(), 0, 0);
}

void HttpClient::processQueues()
{
    auto finished = std::exchange(m_finished, {});
    for (const auto& item : finished)
        item.done(item.answer);
    auto queued = std::exchange(m_queued, {});
    for (auto& pending : queued)
        start(std::move(pending));
}

evhttp_connection* HttpClient::acquireConnection(const SocketAddress& address)
{
    auto& idle = m_idle[address.toString()];
    if (!idle.empty()) {
        auto* const connection = idle.back();
        idle.pop_back();
        return connection;
    }
    m_connections.emplace_back(evhttp_connection_base_new(m_base, nullptr, address.ip.c_str(), address.port));
    auto* const connection = m_connections.back().get();
    const auto timeout = Wire::toTimeval(m_timeout);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_set_timeout_tv(connection, &timeout);
    return connection;
}

void HttpClient::start(std::unique_ptr<Pending> owner)
{
    auto& pending = *owner;
    pending.connection = acquireConnection(pending.call.address);
    pending.request = evhttp_request_new(&Callbacks::reply, &pending);
    auto* const headers = evhttp_request_get_output_headers(pending.request);
    evhttp_add_header(headers, "Host", pending.call.address.toString().c_str());
    for (const auto& [name, value] : pending.call.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    const auto& body = pending.call.body;
    if (!body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(pending.request), body.data(), body.size());
    }
    m_pending.emplace(&pending, std::move(owner));
    const auto command = body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    if (evhttp_make_request(pending.connection, pending.request, command, pending.call.path.c_str()) != 0)
        onReply(pending, nullptr);
}

void HttpClient::onReply(Pending& pending, evhttp_request* request)
{
    m_idle[pending.call.address.toString()].push_back(pending.connection);
    m_finished.push_back({ std::move(pending.done), parseAnswer(request) });
    m_pending.erase(&pending);
    scheduleProcessing();
}

} // namespace Auburnpost::Load
