#pragma once

#include "proxy/FakeTarget.h"
#include "proxy/Proxy.h"

#include <memory>

namespace Auburnpost::Proxy {

class ProxySimulation;

/// A proxy on simulated time, with its connections to the fakes.
class SimulatedHost final : public ProxyActions, private RowReader {
public:
    SimulatedHost(ProxySimulation&, std::size_t index, std::uint64_t seed);

    [[nodiscard]] Proxy& proxy() { return *m_proxy; }
    /// Stops for a while, as if suspended.
    void freeze(Instant until) { m_frozenUntil = until; }
    [[nodiscard]] bool isFrozen() const;
    /// @return how the proxy ended the session: "refused", "closed", or nothing.
    [[nodiscard]] std::string endingOf(SessionId id) const { return m_endings.contains(id) ? m_endings.at(id) : ""; }

    void acceptSession(SessionId) override;
    void refuseSession(SessionId, const Session::Failure&) override;
    void answer(SessionId, const Session::Answer&) override;
    void forwardSession(SessionId, const DatabaseName&, const HostEntry&) override { }
    void closeSession(SessionId id) override { m_endings[id] = "closed"; }
    void openConnection(ConnectionId, const TargetRecord&, const std::optional<SocketAddress>& relay) override;
    void closeConnection(ConnectionId) override;
    void send(ConnectionId, const std::vector<TargetRequest>&) override;
    void readTable(StoreTable, const std::string& fromKey) override;
    void followTable(StoreTable, RowVersion after, Duration wait) override;
    void writeHost(const HostName&, const std::string& value) override;
    void readClaim(const GroupName&) override;
    void writeClaim(const GroupName&, const Claim&, RowVersion expected) override;
    void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) override;
    void askPeer(const SocketAddress&) override { }
    /// Prints the record when PROXY_TRACE is set.
    void log(const LogRecord&) override;
    void measure(std::string_view, double) override { }

private:
    struct Link {
        TargetName target;
        std::uint64_t id { 0 };
        /// The host whose way to the target is used.
        std::size_t via { 0 };
        /// Requests run one after another.
        Instant busyUntil;
        /// Nothing comes back any more: the answer to one request never did.
        bool isStuck { false };
        /// A commit waits for replicas; what came after it waits too.
        bool isCommitting { false };
        std::vector<TargetRequest> waiting;
    };

    void tick();
    void sendPromotion(const GroupName&, const TargetName&, RowVersion token);
    void connect(ConnectionId);
    /// Runs a task on this host once a message has crossed the network, and the host runs.
    void deliver(std::function<void()> task);
    [[nodiscard]] bool isSilent(Link&) const;
    void arrive(ConnectionId, const TargetRequest&);
    void committed(ConnectionId, const TargetName&);
    void reply(ConnectionId, TargetReply);
    TargetReply run(FakeTarget&, TargetSide&, const TargetRequest&);
    std::optional<TargetReply> runStatement(ConnectionId, FakeTarget&, TargetSide&, const RunStatement&);
    std::optional<TargetReply> end(ConnectionId, FakeTarget&, TargetSide&, std::vector<std::string> writes);
    void checkStatement(const FakeTarget&, const TargetSide&, const RunStatement&);
    StorePage page(StoreTable) const;
    [[nodiscard]] Expected<std::optional<Catalog>> readCatalog(const StoreRow&) const override;
    [[nodiscard]] Expected<TargetRecord> readTarget(const StoreRow&) const override;

    ProxySimulation& m_simulation;
    std::size_t m_index;
    std::unique_ptr<Proxy> m_proxy;
    std::map<ConnectionId, Link> m_links;
    std::map<SessionId, std::string> m_endings;
    std::optional<Instant> m_frozenUntil;
};

} // namespace Auburnpost::Proxy
