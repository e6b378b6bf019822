#pragma once

#include "limit/Allotments.h"
#include "proxy/HostEntry.h"
#include "proxy/Organisations.h"
#include "proxy/ProxyDelegate.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// Applies the organisations' rate limits to the operations of this host, and exchanges datagrams about them with other
/// hosts. While no organisation is limited it sends nothing and needs no socket.
class AllotmentService {
public:
    /// Minimum interval of log lines on refusals of one organisation, and on rejected datagrams.
    static constexpr Duration logInterval = std::chrono::seconds(1);
    static constexpr Duration measureInterval = std::chrono::seconds(1);

    /// @param start distinguishes this start of the host from earlier ones; not zero.
    AllotmentService(
        Instant now, const HostName&, const Limit::AllotmentRules&, Limit::HostStart start, ProxyDelegate&);

    void setOrganisations(Instant now, const Organisations&);
    void setHosts(Instant now, const std::vector<HostEntry>&);
    /// Announces that operations of the organisation will probably follow.
    void expect(Instant now, const OrganisationName& name) { m_allotments.expect(now, name); }
    /// Decides on one operation.
    [[nodiscard]] Limit::AllotmentDecision admit(Instant now, const OrganisationName& name)
    {
        return m_allotments.admit(now, name);
    }
    /// Decides again on an operation that waits for a permit. @return whether it is admitted.
    bool admitWaiting(Instant now, const OrganisationName& name) { return m_allotments.admitWaiting(now, name); }
    /// Counts and logs a refused operation. @return the answer to its caller.
    [[nodiscard]] Session::Failure refuse(Instant now, const OrganisationName&, Duration retryAfter);
    void tick(Instant now);
    void datagramReceived(Instant now, const SocketAddress& from, std::string_view datagram);

    /// @return whether another host grants permits to this one.
    [[nodiscard]] bool hasCoordinator() const { return m_allotments.coordinator() != m_self; }
    /// @return whether datagrams are exchanged.
    [[nodiscard]] bool isEnabled() const { return m_allotments.isEnabled(); }
    /// @return the state as JSON, for operators.
    [[nodiscard]] nlohmann::json describe(Instant now) const;

private:
    struct Refusals {
        std::size_t unlogged { 0 };
        Instant loggedAt;
    };

    void send(const std::vector<Limit::AllotmentMessage>&);
    void logRefusals(Instant now, const OrganisationName&, Refusals&);

    ProxyDelegate& m_delegate;
    HostName m_self;
    Limit::Allotments m_allotments;
    std::map<OrganisationName, Refusals> m_refusals;
    std::size_t m_rejectedDatagrams { 0 };
    std::optional<Instant> m_rejectionLoggedAt;
    Instant m_measuredAt;
    std::size_t m_sentDatagrams { 0 };
    std::size_t m_sentBytes { 0 };
};

} // namespace Auburnpost::Proxy
