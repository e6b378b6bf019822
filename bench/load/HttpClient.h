#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "wire/LibeventPointers.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Auburnpost::Load {

/// One HTTP request: a POST when it has a body, otherwise a GET.
struct HttpRequest {
    SocketAddress address;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// The answer to a request; status 0 means that no complete answer arrived.
struct HttpAnswer {
    int status { 0 };
    std::map<std::string, std::string> headers;
    std::string body;

    /// @return the header's value; empty when the answer has no such header.
    [[nodiscard]] std::string header(const std::string& name) const;
};

using AnswerHandler = std::function<void(const HttpAnswer&)>;

/// Sends requests to many addresses from one event loop. A connection carries one request at a time, and no request is
/// sent again after a failure.
class HttpClient {
public:
    /// @param timeout maximum time without data on a connection before its request fails.
    HttpClient(event_base*, Duration timeout);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Queues a request. @param done called once from the event loop, never from within this function.
    void send(HttpRequest, AnswerHandler done);

    /// @return the number of requests whose callback has not been called.
    [[nodiscard]] std::size_t pending() const { return m_pending.size() + m_queued.size() + m_finished.size(); }

private:
    struct Pending;
    struct Callbacks;
    struct Finished {
        AnswerHandler done;
        HttpAnswer answer;
    };

    void scheduleProcessing();
    void processQueues();
    void start(std::unique_ptr<Pending>);
    evhttp_connection* acquireConnection(const SocketAddress&);
    void onReply(Pending&, evhttp_request*);

    event_base* m_base;
    Duration m_timeout;
    std::map<Pending*, std::unique_ptr<Pending>> m_pending;
    std::deque<std::unique_ptr<Pending>> m_queued;
    std::deque<Finished> m_finished;
    std::map<std::string, std::vector<evhttp_connection*>> m_idle;
    std::vector<Wire::HttpConnectionPointer> m_connections;
    /// Requests are started only by this event: evhttp fails a request that is made within the callback of another one.
    Wire::EventPointer m_processingEvent;
};

} // namespace Auburnpost::Load
