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

/// One HTTP request; a body makes it a POST.
struct HttpCall {
    SocketAddress address;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// What came back; status 0 means that no whole answer came.
struct HttpAnswer {
    int status { 0 };
    std::map<std::string, std::string> headers;
    std::string body;

    /// @return the header's value, empty when there is none.
    [[nodiscard]] std::string header(const std::string& name) const;
};

using HttpDone = std::function<void(const HttpAnswer&)>;

/// Sends requests to many addresses on one loop, each on a connection of its own. Nothing is sent twice.
class HttpClient {
public:
    /// @param timeout how long a connection may stay silent before its request fails.
    HttpClient(event_base*, Duration timeout);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Starts a request. @param done called once from the loop, never from within this function.
    void send(HttpCall, HttpDone done);

    /// @return how many requests have no answer yet.
    [[nodiscard]] std::size_t pending() const { return m_pending.size() + m_queued.size() + m_finished.size(); }

private:
    struct Pending;
    struct Callbacks;
    struct Finished {
        HttpDone done;
        HttpAnswer answer;
    };

    void wake();
    void work();
    void start(std::unique_ptr<Pending>);
    evhttp_connection* takeConnection(const SocketAddress&);
    void onReply(Pending&, evhttp_request*);

    event_base* m_base;
    Duration m_timeout;
    std::map<Pending*, std::unique_ptr<Pending>> m_pending;
    std::deque<std::unique_ptr<Pending>> m_queued;
    std::deque<Finished> m_finished;
    std::map<std::string, std::vector<evhttp_connection*>> m_idle;
    std::vector<Wire::HttpConnectionPointer> m_connections;
    /// Requests start here only: evhttp fails one that is made within another's callback.
    Wire::EventPointer m_work;
};

} // namespace Auburnpost::Load
