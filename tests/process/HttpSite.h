#pragma once

#include "process/TargetGroup.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Auburnpost::Test {

/// One process of "auburnpost serve" with a platform and a target, ready to serve the database of TargetGroup.
class HttpSite {
public:
    static constexpr std::size_t callerLimit = 100;

    /// @param memoryMb limit of the host in its settings.
    explicit HttpSite(int memoryMb);

    [[nodiscard]] std::uint16_t port() const { return m_callers; }
    [[nodiscard]] pid_t pid() const { return m_host->pid(); }
    /// @return a request that runs the SQL text with one text parameter.
    [[nodiscard]] static std::string request(const std::string& sql, const std::string& parameter);
    /// @return whether an ordinary request on a connection of its own is answered with status 200.
    [[nodiscard]] bool servesRequest() const;

private:
    TargetGroup m_targets { 1, "slots = 3" };
    std::uint16_t m_platformPort { freePort() };
    std::uint16_t m_platformControl { freePort() };
    std::uint16_t m_callers { freePort() };
    std::uint16_t m_operators { freePort() };
    std::uint16_t m_peers { freePort() };
    std::uint16_t m_gossip { freePort() };
    TemporaryFolder m_folder;
    std::unique_ptr<ChildProcess> m_platform;
    std::unique_ptr<ChildProcess> m_host;
};

} // namespace Auburnpost::Test
