#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "common/EventLoop.h"

#include <map>
#include <optional>
#include <string>

struct evhttp;
struct evhttp_request;

namespace Auburnpost::Standin {

/// One HTTP request. Exactly one call of reply() or drop() must follow, at once or later.
class HttpExchange {
public:
    explicit HttpExchange(evhttp_request* request)
        : m_request(request)
    {
    }

    /// @return "GET", "PUT", "POST", or "" for another method.
    [[nodiscard]] std::string method() const;
    /// @return the percent-decoded path without the query.
    [[nodiscard]] std::string path() const;
    [[nodiscard]] std::string body() const;
    [[nodiscard]] std::optional<std::string> header(const char* name) const;

    void reply(int status, const std::string& body, const std::map<std::string, std::string>& headers = {}) const;
    /// Closes the connection without answering.
    void drop() const;

private:
    evhttp_request* m_request;
};

/// An HTTP server that passes each request to a single handler.
class HttpServer {
public:
    using Handler = std::function<void(HttpExchange)>;

    HttpServer(const EventLoop&, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    Expected<void> listen(const SocketAddress&);

private:
    Handler m_handler;
    evhttp* m_http;
};

} // namespace Auburnpost::Standin
