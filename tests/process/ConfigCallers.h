#pragma once

#include "process/ConfigHistory.h"
#include "process/ConfigSite.h"

#include <atomic>
#include <list>
#include <random>
#include <thread>

namespace Auburnpost::Test {

/// Callers that read from all databases at all hosts, on new and on open connections, until they are stopped.
class ConfigCallers {
public:
    ConfigCallers(ConfigSite&, std::vector<std::string> databases, std::uint64_t seed);
    ~ConfigCallers();
    ConfigCallers(const ConfigCallers&) = delete;
    ConfigCallers& operator=(const ConfigCallers&) = delete;

    /// Ends all callers. @return the requests that a group ran or that were refused for an unknown database.
    std::vector<ConfigRequest> stop();
    /// @return the number of requests with another outcome, such as BUSY; valid after stop().
    [[nodiscard]] std::size_t otherOutcomes() const;

private:
    /// The callers of one host that share a thread.
    struct Caller {
        std::size_t host { 0 };
        std::minstd_rand random;
        std::vector<ConfigRequest> requests;
        std::size_t otherOutcomes { 0 };
        std::size_t sent { 0 };
        std::thread thread;
    };
    struct Session;

    void add(std::size_t host, std::uint64_t seed, void (ConfigCallers::*run)(Caller&));
    void useNewConnections(Caller&);
    void useOpenConnections(Caller&);
    /// Opens a session. A refusal for an unknown database is recorded.
    void open(Caller&, Session&, bool isOnOpenConnection);
    /// Reads on an open session, and records the outcome.
    void read(Caller&, Session&, bool isOnOpenConnection);
    static void record(Caller&, ConfigRequest, const std::string& error);
    [[nodiscard]] ConfigRequest makeRequest(Caller&, const Session&, bool isOnOpenConnection) const;

    ConfigSite& m_site;
    std::vector<std::string> m_databases;
    std::atomic<bool> m_isStopping { false };
    std::list<Caller> m_callers;
};

} // namespace Auburnpost::Test
