#pragma once

#include "target/PgConnection.h"

#include <map>
#include <random>

struct evconnlistener;
struct sockaddr;

namespace Auburnpost::Standin {

/// Listens for connections of PostgreSQL's protocol and keeps their cap.
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
    /// @return the number of connections that count towards the cap.
    [[nodiscard]] std::uint64_t admitted() const;
    /// @return the admitted connections by the host that opened them.
    [[nodiscard]] std::map<std::string, std::uint64_t> admittedByPeer() const;

    /// @return why a connection to @p database is refused now; empty when it is admitted.
    [[nodiscard]] std::optional<SqlFault> refusal(const std::string& database) const;
    void noteAdmitted();
    std::shared_ptr<Executor> makeExecutor(std::uint64_t id);
    /// @return whether the fault in force takes the next answer.
    bool losesAnswer();
    /// Frees a closed connection once the present event has been handled.
    void forget(std::uint64_t id);

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
