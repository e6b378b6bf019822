#pragma once

#include "process/ChildProcess.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Auburnpost::Test {

/// @return the address of a port on 127.0.0.1.
std::string localAddress(std::uint16_t port);

/// Time bounds in the settings of a host.
struct HostBounds {
    int configPropagationMs { 4000 };
    int stabilityWindowMs { 5000 };
    int rollbackSlackMs { 250 };
    int outerBoundMs { 15000 };
    int drainMs { 7000 };
    int graceS { 6 };
};

struct ProxyHostOptions {
    std::string name { "host-1" };
    std::string dataCentre { "zone-a" };
    int memoryMb { 64 };
    int descriptors { 1000 };
    HostBounds bounds;
    std::uint16_t storePort { 0 };
};

/// One host, a process of "auburnpost proxy" that can be ended and started again. Its log is in its folder.
class ProxyHost {
public:
    /// @param folder where the settings and the log are written.
    ProxyHost(ProxyHostOptions, const TemporaryFolder& folder);

    [[nodiscard]] const std::string& name() const { return m_options.name; }
    [[nodiscard]] std::uint16_t port() const { return m_callers; }
    [[nodiscard]] std::uint16_t peerPort() const { return m_control; }
    [[nodiscard]] pid_t pid() const { return m_process ? m_process->pid() : 0; }
    [[nodiscard]] const std::string& logPath() const { return m_logPath; }
    /// Writes the settings and starts the process.
    /// @param seeds addresses of other hosts.
    void start(const std::vector<std::string>& seeds);
    void kill() { m_process.reset(); }
    void signal(int number) const;
    /// Opens a session and runs one read. @return whether it was answered with a row.
    [[nodiscard]] bool servesRequest(const std::string& database) const;

private:
    [[nodiscard]] nlohmann::json settings(const std::vector<std::string>& seeds) const;

    ProxyHostOptions m_options;
    const TemporaryFolder& m_folder;
    std::uint16_t m_callers { freePort() };
    std::uint16_t m_readiness { freePort() };
    std::uint16_t m_control { freePort() };
    std::uint16_t m_firstInternalPort { freePort() };
    std::uint16_t m_lastInternalPort { freePort() };
    std::uint16_t m_metrics { freePort() };
    std::string m_logPath;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace Auburnpost::Test
