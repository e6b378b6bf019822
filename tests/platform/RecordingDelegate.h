#pragma once

#include "proxy/ProxyDelegate.h"

namespace Auburnpost::Platform {

/// Records what a proxy logs and which connections and polls it starts.
class RecordingDelegate final : public Proxy::ProxyDelegate {
public:
    std::vector<LogRecord> records;
    std::map<ConnectionId, Proxy::TargetRecord> connections;
    std::map<Proxy::StoreTable, std::size_t> polls;

    /// @return the values of a field in all records of an event.
    [[nodiscard]] std::vector<std::string> fieldsOf(LogEvent event, std::string_view name) const
    {
        std::vector<std::string> values;
        for (const auto& record : records) {
            for (const auto& field : record.fields) {
                if (record.event == event && field.name == name)
                    values.push_back(field.value);
            }
        }
        return values;
    }

    void readTable(Proxy::StoreTable, const std::string&, Duration, Proxy::StoreCallSlot) override { }
    void followTable(Proxy::StoreTable table, Proxy::RowVersion, Duration, Duration, Proxy::StoreCallSlot) override
    {
        ++polls[table];
    }
    void followFeeder(
        const SocketAddress&, Proxy::StoreTable, Proxy::RowVersion, Duration, Duration, Proxy::StoreCallSlot) override
    {
    }
    void cancelCall(Proxy::StoreTable, Proxy::StoreCallSlot) override { }
    void answerFeed(RequestId, const std::optional<Proxy::FeedPage>&) override { }
    void writeHost(const HostName&, const std::string&) override { }
    void acceptSession(Proxy::SessionId) override { }
    void refuseSession(Proxy::SessionId, const Session::Failure&) override { }
    void answer(Proxy::SessionId, const Session::Answer&) override { }
    void forwardSession(Proxy::SessionId, const Proxy::SessionRequest&, const Proxy::HostEntry&) override { }
    void stateRoute(Proxy::SessionId, const Proxy::StatedRoute&) override { }
    void stateVersion(Proxy::SessionId, ConfigVersion) override { }
    void endForwardedSession(Proxy::SessionId) override { }
    void closeSession(Proxy::SessionId) override { }
    void openConnection(ConnectionId id, const Proxy::TargetRecord& target, const OrganisationName&,
        const std::optional<SocketAddress>&) override
    {
        connections[id] = target;
    }
    void closeConnection(ConnectionId) override { }
    void send(ConnectionId, const std::vector<Proxy::TargetRequest>&) override { }
    void readLease(const Proxy::GroupName&) override { }
    void writeLease(const Proxy::GroupName&, const Proxy::PromotionLease&, Proxy::RowVersion) override { }
    void readMembers(const Proxy::GroupName&, const std::string&) override { }
    void promote(const Proxy::GroupName&, const TargetName&, Proxy::RowVersion, Instant) override { }
    void queryPeer(const SocketAddress&) override { }
    void queryVersion(const SocketAddress&, ConfigVersion, Duration) override { }
    void sendDatagram(const SocketAddress&, std::string_view) override { }
    void log(const LogRecord& record) override { records.push_back(record); }
    void measure(std::string_view, double) override { }
};

} // namespace Auburnpost::Platform
