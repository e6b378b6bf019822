#pragma once

#include "target/PgConnection.h"

#include <map>
#include <random>

struct evconnlistener;
struct sockaddr;

namespace Auburnpost::Standin {

/// Accepts connections of PostgreSQL's protocol and enforces the connection limit.
class PgServer {
public:
    PgServer(EventLoop&, Target&);
    ~PgServer();
    PgServer(const PgServer&) = delete;
    PgServer& operator=(const PgServer&) = delete;

    Expected<void> listen(const SocketAddress&);

    [[nodiscard]] EventLoop& loop() { return m_loop; }
    [[nodiscard]] Target& target() { return m_target; }
    [[nodiscard]] PgConnection* find(std::uint64_t id);
    /// @return the number of connections that count towards the connection limit.
    [[nodiscard]] std::uint64_t admittedCount() const;
    /// @return the number of admitted connections by client host.
    [[nodiscard]] std::map<std::string, std::uint64_t> admittedByPeer() const;

    /// @return why a connection to @p database is refused; empty when it is admitted.
    [[nodiscard]] std::optional<SqlError> refusal(const std::string& database) const;
    /// Updates the counter of the highest number of admitted connections.
    void recordPeakConnections();
    std::shared_ptr<Executor> makeExecutor(std::uint64_t id);
    /// Draws at random whether the fault lose_answers drops the next answer.
    bool losesAnswer();
    /// Removes a closed connection, and frees it after the current event.
    void remove(std::uint64_t id);

private:
    static void onAccept(evconnlistener*, int descriptor, sockaddr*, int, void* self);

    EventLoop& m_loop;
    Target& m_target;
    SlotQueue m_slots;
    WriteLock m_lock;
    std::mt19937_64 m_random;
    evconnlistener* m_listener { nullptr };
    std::uint64_t m_lastId { 0 };
    std::map<std::uint64_t, std::unique_ptr<PgConnection>> m_connections;
};

} // namespace Auburnpost::Standin
