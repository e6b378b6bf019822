#pragma once

#include "proxy/ConfigurationChecker.h"
#include "session/Answer.h"

namespace Auburnpost::Proxy {

class ConfigurationSimulation;

/// A caller of one host that sends reads, one after another, and opens a new session when the host ends its session.
class ConfigurationCaller {
public:
    /// @param keepsSession whether the caller sends all reads on one session, or each on a new one.
    ConfigurationCaller(ConfigurationSimulation&, std::size_t host, bool keepsSession);

    [[nodiscard]] std::size_t host() const { return m_host; }
    void connect();
    /// The connection to the host was lost, or is closed by it.
    void closed();
    void accepted();
    void refused(const Session::Failure&, const ConfigurationChecker::Decider& decider);
    void answered(const Session::Answer&, const ConfigurationChecker::Decider& decider);

private:
    void connectAfter(Duration low, Duration high);
    void sendRead();
    /// Ends the session if the current request is not answered in time.
    void awaitAnswer();
    void checkRefusal(const Session::Failure&, const ConfigurationChecker::Decider& decider);

    ConfigurationSimulation& m_simulation;
    std::size_t m_host;
    bool m_keepsSession;
    DatabaseName m_database;
    SessionId m_session;
    /// Number of requests and reconnections so far, by which a late timer is told from a current one.
    std::uint64_t m_step { 0 };
    Instant m_sentAt;
};

} // namespace Auburnpost::Proxy
