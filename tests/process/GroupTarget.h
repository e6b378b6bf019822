#pragma once

#include "process/DatabaseGroup.h"
#include "process/ThreadServer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace Auburnpost::Test {

struct GroupTargetOptions {
    std::string group;
    std::string name;
    int connectionLimit { 48 };
};

/// A member of a database group on the line protocol. Its state is in the DatabaseGroup.
class GroupTarget {
public:
    /// @param findHost names the host that holds the connection from a port; empty if none is known to.
    using FindHost = std::function<std::string(std::uint16_t remotePort, std::uint16_t localPort)>;

    GroupTarget(DatabaseGroup&, GroupTargetOptions, FindHost findHost);

    [[nodiscard]] const std::string& name() const { return m_options.name; }
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    /// Closes the port and all connections. The member has ended in the group.
    void stop();
    void start();

private:
    struct Connection;

    void serve(const LoopbackSocket&);
    void serveConnection(Connection&);
    /// Answers one request. @return whether the connection goes on.
    bool answer(Connection&, const std::string& line);
    StatementError run(Connection&, const std::string& id, const std::string& text, std::string& rows);
    StatementError begin(Connection&, bool isReadOnly, LogPosition requiredPosition);
    StatementError commit(Connection&, const std::string& id);
    [[nodiscard]] std::string statusRow() const;
    [[nodiscard]] std::string ready(const Connection&) const;
    /// Waits while a direction of the connection is cut. @return whether it was cut for less than the time after which
    /// the connection is dropped.
    bool awaitLink(Connection&, bool isIncoming);

    DatabaseGroup& m_group;
    GroupTargetOptions m_options;
    FindHost m_findHost;
    std::uint16_t m_port { freePort() };
    std::atomic<int> m_connections { 0 };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<ThreadServer> m_server;
};

} // namespace Auburnpost::Test
