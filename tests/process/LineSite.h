#pragma once

#include "process/LineTarget.h"
#include "process/ProxyHost.h"
#include "process/StoreServer.h"

namespace Auburnpost::Test {

/// One process of "auburnpost proxy" with its stand-ins, ready to serve the database "orders".
class LineSite {
public:
    /// @param memoryMb and
    /// @param descriptors limits of the host in its settings.
    LineSite(int memoryMb, int descriptors);

    [[nodiscard]] std::uint16_t port() const { return m_host.port(); }
    [[nodiscard]] pid_t pid() const { return m_host.pid(); }
    /// Opens a session and runs one read. @return whether it was answered with its row.
    [[nodiscard]] bool servesRequest() const { return m_host.servesRequest(database); }

private:
    static constexpr auto database = "orders";

    LineTarget m_target;
    StoreServer m_store;
    TemporaryFolder m_folder;
    ProxyHost m_host;
};

} // namespace Auburnpost::Test
