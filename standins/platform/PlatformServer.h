#pragma once

#include "common/HttpServer.h"
#include "platform/HostList.h"
#include "platform/RateLimit.h"
#include "platform/TableStore.h"

#include <random>

namespace Auburnpost::Standin {

/// Serves the platform's two addresses: the service that hosts call, and the control address for faults and state.
class PlatformServer {
public:
    PlatformServer(EventLoop&, PlatformSettings);

    /// Stores the initial configuration document in its row.
    /// @return ErrorCode::BadSettings when the document file can't be read.
    Expected<void> loadDocument();
    /// Binds both addresses.
    Expected<void> listen();

private:
    struct Answer {
        int status;
        std::string body;
        std::map<std::string, std::string> headers;
    };
    struct Request {
        std::string method;
        /// The non-empty path segments.
        std::vector<std::string> path;
        std::string body;
        std::optional<std::string> ifMatch;
    };

    /// Passes the request to respond() after the answer time, or keeps it while a fault stalls the caller.
    void receive(const HttpExchange&);
    void respond(const HttpExchange&);
    Answer dispatch(const Request&);
    Answer getRow(const Request&) const;
    Answer putRow(const Request&);
    Answer listRows(const Request&) const;
    Answer getObject(const Request&) const;
    Answer putObject(const Request&);
    Answer listHosts(const Request&) const;
    /// @return whether an outage, or a cut to the calling host, holds the request back.
    [[nodiscard]] bool isStalled(const HttpExchange&) const;

    void handleControl(const HttpExchange&);
    void setFaults(const HttpExchange&);
    void replyState(const HttpExchange&) const;

    EventLoop& m_loop;
    PlatformSettings m_settings;
    FaultPlan m_faults;
    TableStore m_store;
    RateLimit m_readLimit;
    RateLimit m_writeLimit;
    std::mt19937_64 m_random;
    std::map<std::string, std::uint64_t> m_counters;
    std::vector<HttpExchange> m_stalledRequests;
    HostList m_hosts;
    HttpServer m_service;
    HttpServer m_control;
};

} // namespace Auburnpost::Standin
