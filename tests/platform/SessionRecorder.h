#pragma once

#include "proxy/ProxyDelegate.h"

#include <map>
#include <set>
#include <vector>

namespace Auburnpost::Platform {

/// Records what a proxy tells its callers, and what it logs.
class SessionRecorder final : public Proxy::ProxyDelegate {
public:
    std::set<Proxy::SessionId> accepted;
    std::set<Proxy::SessionId> closed;
    std::map<Proxy::SessionId, Session::FailureCode> refused;
    std::map<Proxy::SessionId, std::size_t> answers;
    std::map<Proxy::SessionId, Session::Answer> lastAnswers;
    std::map<Proxy::SessionId, Proxy::SessionRequest> forwarded;
    std::map<Proxy::SessionId, std::vector<Proxy::StatedRoute>> statedRoutes;
    std::map<Proxy::SessionId, std::vector<ConfigVersion>> statedVersions;
    std::vector<SocketAddress> queriedPeers;
    std::vector<SocketAddress> datagrams;
    std::vector<LogRecord> records;

    void readTable(Proxy::StoreTable, const std::string&, Duration, Proxy::StoreCallSlot) override { }
    void followTable(Proxy::StoreTable, Proxy::RowVersion, Duration, Duration, Proxy::StoreCallSlot) override { }
    void followFeeder(
        const SocketAddress&, Proxy::StoreTable, Proxy::RowVersion, Duration, Duration, Proxy::StoreCallSlot) override
    {
    }
    void cancelCall(Proxy::StoreTable, Proxy::StoreCallSlot) override { }
    void answerFeed(RequestId, const std::optional<Proxy::FeedPage>&) override { }
    void writeHost(const HostName&, const std::string&) override { }
    void acceptSession(Proxy::SessionId id) override { accepted.insert(id); }
    void refuseSession(Proxy::SessionId id, const Session::Failure& failure) override { refused[id] = failure.code; }
    void answer(Proxy::SessionId id, const Session::Answer& answer) override
    {
        ++answers[id];
        lastAnswers[id] = answer;
    }
    void forwardSession(Proxy::SessionId id, const Proxy::SessionRequest& request, const Proxy::HostEntry&) override
    {
        forwarded[id] = request;
    }
    void stateRoute(Proxy::SessionId id, const Proxy::StatedRoute& route) override
    {
        statedRoutes[id].push_back(route);
    }
    void stateVersion(Proxy::SessionId id, ConfigVersion version) override { statedVersions[id].push_back(version); }
    void endForwardedSession(Proxy::SessionId) override { }
    void closeSession(Proxy::SessionId id) override { closed.insert(id); }
    void openConnection(
        ConnectionId, const Proxy::TargetRecord&, const OrganisationName&, const std::optional<SocketAddress>&) override
    {
    }
    void closeConnection(ConnectionId) override { }
    void send(ConnectionId, const std::vector<Proxy::TargetRequest>&) override { }
    void readLease(const Proxy::GroupName&) override { }
    void writeLease(const Proxy::GroupName&, const Proxy::PromotionLease&, Proxy::RowVersion) override { }
    void readMembers(const Proxy::GroupName&, const std::string&) override { }
    void promote(const Proxy::GroupName&, const TargetName&, Proxy::RowVersion, Instant) override { }
    void queryPeer(const SocketAddress& peer) override { queriedPeers.push_back(peer); }
    void queryVersion(const SocketAddress&, ConfigVersion, Duration) override { }
    void sendDatagram(const SocketAddress& to, std::string_view) override { datagrams.push_back(to); }
    void log(const LogRecord& record) override { records.push_back(record); }
    void measure(std::string_view, double) override { }
};

} // namespace Auburnpost::Platform
