#pragma once

#include "common/HttpServer.h"
#include "platform/HostList.h"
#include "platform/RateLimit.h"
#include "platform/TableStore.h"

#include <random>

namespace Auburnpost::Standin {

/// The platform's two addresses: the service that hosts call, and the control of its faults.
class PlatformServer {
public:
    PlatformServer(EventLoop&, PlatformSettings);

    /// Puts the first document in its row. @return an error when its file can't be read.
    Expected<void> loadDocument();
    Expected<void> listen();

private:
    struct Answer {
        int status;
        std::string body;
        std::map<std::string, std::string> headers;
    };
    struct Call {
        std::string method;
        /// The parts of the path between its slashes.
        std::vector<std::string> path;
        std::string body;
        std::optional<std::string> ifMatch;
    };

    void take(const HttpExchange&);
    void serve(const HttpExchange&);
    Answer run(const Call&);
    Answer getRow(const Call&) const;
    Answer putRow(const Call&);
    Answer listRows(const Call&) const;
    Answer getObject(const Call&) const;
    Answer putObject(const Call&);
    Answer listHosts(const Call&) const;
    [[nodiscard]] bool stalls(const HttpExchange&) const;

    void control(const HttpExchange&);
    void setFaults(const HttpExchange&);
    void showState(const HttpExchange&) const;

    EventLoop& m_loop;
    PlatformSettings m_settings;
    FaultPlan m_faults;
    TableStore m_store;
    RateLimit m_reads;
    RateLimit m_writes;
    std::mt19937_64 m_random;
    std::map<std::string, std::uint64_t> m_counters;
    std::vector<HttpExchange> m_stalled;
    HostList m_hosts;
    HttpServer m_service;
    HttpServer m_control;
};

} // namespace Auburnpost::Standin
