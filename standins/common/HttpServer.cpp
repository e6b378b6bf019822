#include "common/HttpServer.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace Auburnpost::Standin {

namespace {

    void handleRequest(evhttp_request* request, void* handler)
    {
        (*static_cast<HttpServer::Handler*>(handler))(HttpExchange(request));
    }

} // namespace

std::string HttpExchange::method() const
{
    switch (evhttp_request_get_command(m_request)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_POST:
        return "POST";
    default:
        return "";
    }
}

std::string HttpExchange::path() const
{
    const char* const path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(m_request));
    if (!path)
        return "";
    const std::unique_ptr<char, decltype(&free)> decoded(evhttp_uridecode(path, 0, nullptr), &free);
    return decoded ? decoded.get() : "";
}

std::string HttpExchange::body() const
{
    evbuffer* const buffer = evhttp_request_get_input_buffer(m_request);
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

std::optional<std::string> HttpExchange::header(const char* name) const
{
    const char* const value = evhttp_find_header(evhttp_request_get_input_headers(m_request), name);
    return value ? std::optional<std::string>(value) : std::nullopt;
}

void HttpExchange::reply(int status, const std::string& body, const std::map<std::string, std::string>& headers) const
{
    evkeyvalq* const output = evhttp_request_get_output_headers(m_request);
    evhttp_add_header(output, "Content-Type", "application/json");
    for (const auto& [name, value] : headers)
        evhttp_add_header(output, name.c_str(), value.c_str());
    evbuffer* const buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(m_request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void HttpExchange::drop() const
{
    evhttp_connection* const connection = evhttp_request_get_connection(m_request);
    // libevent frees a request without a connection only when it is answered.
    if (connection)
        evhttp_connection_free(connection);
    else
        evhttp_send_reply(m_request, HTTP_SERVUNAVAIL, nullptr, nullptr);
}

HttpServer::HttpServer(const EventLoop& loop, Handler handler)
    : m_handler(std::move(handler))
    , m_http(evhttp_new(loop.base()))
{
    evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST);
    evhttp_set_gencb(m_http, handleRequest, &m_handler);
}

HttpServer::~HttpServer()
{
    evhttp_free(m_http);
}

Expected<void> HttpServer::listen(const SocketAddress& address)
{
    if (evhttp_bind_socket(m_http, address.ip.c_str(), address.port) != 0)
        return fail(ErrorCode::ConnectionRefused, "listen", address.toString(), "the address can't be bound");
    return {};
}

} // namespace Auburnpost::Standin
