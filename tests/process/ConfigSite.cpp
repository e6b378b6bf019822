#include "process/ConfigSite.h"

#include <algorithm>
#include <stdexcept>

namespace Auburnpost::Test {

ConfigSite::ConfigSite(const ConfigSiteOptions& options, const ConfigDocument& initial)
    : m_connectionLimit(options.connectionLimit)
{
    for (const auto* const group : groups)
        m_targets.push_back(std::make_unique<LineTarget>(group, options.connectionLimit, options.commits));
    write(initial);
    writeTargets();
    for (std::size_t index = 0; index < options.hosts; ++index) {
        ProxyHostOptions host;
        host.name = "host-" + std::to_string(index + 1);
        host.dataCentre = "zone-" + std::to_string(index % options.dataCentres + 1);
        host.storePort = m_store.port();
        m_hosts.push_back(std::make_unique<Host>(host, m_folder));
    }
    for (std::size_t index = 0; index < options.hosts; ++index)
        start(index);
    for (const auto& host : m_hosts) {
        const bool isServing = eventually([&] {
            return std::all_of(initial.routes.begin(), initial.routes.end(),
                [&](const auto& route) { return host->process.servesRequest(route.first); });
        });
        if (!isServing) {
            m_folder.keep();
            throw std::runtime_error(host->process.name() + " does not serve; logs: " + m_folder.path());
        }
    }
}

void ConfigSite::start(std::size_t index)
{
    constexpr std::size_t seedsPerHost = 3;
    std::vector<std::string> seeds;
    for (std::size_t step = 1; step <= std::min(seedsPerHost, m_hosts.size() - 1); ++step)
        seeds.push_back(localAddress(m_hosts[(index + step) % m_hosts.size()]->process.peerPort()));
    ++m_hosts[index]->boot;
    m_hosts[index]->process.start(seeds);
}

std::chrono::steady_clock::time_point ConfigSite::write(ConfigDocument document)
{
    document.groups.assign(groups.begin(), groups.end());
    document.connectionLimit = m_connectionLimit;
    m_store.write("op", "config", document.toJson());
    return std::chrono::steady_clock::now();
}

void ConfigSite::writeTargets()
{
    for (std::size_t index = 0; index < groups.size(); ++index)
        m_store.write("servers", "t-" + std::to_string(index + 1),
            makeTargetRecord(groups[index], localAddress(m_targets[index]->port())));
}

} // namespace Auburnpost::Test
