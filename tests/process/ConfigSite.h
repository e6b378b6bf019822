#pragma once

#include "process/ConfigDocument.h"
#include "process/LineTarget.h"
#include "process/ProxyHost.h"
#include "process/StoreServer.h"

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Auburnpost::Test {

struct ConfigSiteOptions {
    std::size_t hosts { 8 };
    std::size_t dataCentres { 1 };
    /// With fewer than three connections for each host, sessions are forwarded to homes.
    int connectionLimit { 48 };
    CommitBehaviour commits { 30, std::chrono::milliseconds(20) };
};

/// Hosts in data centres, before a store and two groups of one target each. A target answers a read with the name of
/// its group.
class ConfigSite {
public:
    /// Starts all hosts and waits until each serves the databases of the configuration.
    ConfigSite(const ConfigSiteOptions&, const ConfigDocument& initial);

    [[nodiscard]] std::size_t size() const { return m_hosts.size(); }
    [[nodiscard]] ProxyHost& host(std::size_t index) { return m_hosts[index]->process; }
    [[nodiscard]] StoreServer& store() { return m_store; }
    [[nodiscard]] TemporaryFolder& folder() { return m_folder; }
    /// @return how often the host was started.
    [[nodiscard]] unsigned boot(std::size_t index) const { return m_hosts[index]->boot; }
    /// Starts a host, and counts its start first.
    void start(std::size_t index);
    /// Writes the configuration with the groups of the site. @return the moment of the acknowledgement.
    std::chrono::steady_clock::time_point write(ConfigDocument);
    void writeTargets();
    [[nodiscard]] const std::vector<std::unique_ptr<LineTarget>>& targets() const { return m_targets; }

    static constexpr std::array groups { "g-1", "g-2" };

private:
    struct Host {
        Host(ProxyHostOptions options, const TemporaryFolder& folder)
            : process(std::move(options), folder)
        {
        }
        ProxyHost process;
        std::atomic<unsigned> boot { 0 };
    };

    int m_connectionLimit;
    TemporaryFolder m_folder;
    std::vector<std::unique_ptr<LineTarget>> m_targets;
    StoreServer m_store;
    std::vector<std::unique_ptr<Host>> m_hosts;
};

} // namespace Auburnpost::Test
