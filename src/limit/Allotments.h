#pragma once

#include "limit/AllotmentHost.h"
#include "limit/AllotmentMessage.h"
#include "limit/AllotmentPeers.h"
#include "limit/AllotmentPool.h"
#include "limit/AllotmentRules.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Limit {

struct AllotmentDecision {
    bool isAdmitted { true };
    /// Time until a permit is due, for a refused operation.
    Duration retryAfter {};
};

/// Enforces the organisations' rate limits over all hosts together. Each operation uses one permit. Permits are created
/// by the shares that a host holds (AllotmentPool); a host lends its own share to a coordinator, which grants permits
/// to hosts by demand. Each host keeps a stock of permits for its demand, so that few operations wait for a grant.
class Allotments {
public:
    struct Counts {
        std::uint64_t asked { 0 };
        std::uint64_t admitted { 0 };
        std::uint64_t refused { 0 };
    };
    /// State of one organisation, for operators.
    struct Status {
        OrganisationName name;
        Counts counts;
        /// Permits granted by the coordinator and not used.
        std::uint32_t held { 0 };
        /// Permits of the shares that this host holds, which it has not granted.
        double available { 0 };
    };

    /// @param start distinguishes this start of the host from earlier ones; not zero.
    Allotments(Instant now, HostName self, AllotmentRules, HostStart start, AllotmentTimes = {});

    /// Sets the limits of all limited organisations. Operations of others are admitted.
    void setLimits(Instant now, const std::map<OrganisationName, AllotmentLimit>&);
    /// Sets the known hosts, including this one. Until the first call this host owns no share.
    void setHosts(Instant now, const std::vector<AllotmentHost>&);
    /// Announces that operations of an organisation will probably follow, so that permits are requested.
    void expect(Instant now, const OrganisationName&);
    /// Decides on one operation.
    AllotmentDecision admit(Instant now, const OrganisationName&);
    /// Decides again on an operation that admit() refused and that waits for a permit.
    /// @return whether it is admitted.
    bool admitWaiting(Instant now, const OrganisationName&);
    /// @return the datagrams to send.
    std::vector<AllotmentMessage> tick(Instant now);
    /// Handles a datagram of another host. @return the datagrams to send in reply.
    std::vector<AllotmentMessage> messageReceived(Instant now, const SocketAddress& from, const AllotmentBody&);

    /// @return whether any organisation is limited.
    [[nodiscard]] bool isEnabled() const { return !m_organisations.empty(); }
    /// @return the coordinator's name; this host's own if it has no other.
    [[nodiscard]] const HostName& coordinator() const { return m_coordinator; }
    /// @return the part of all shares that this host holds, its own and others'.
    [[nodiscard]] double share() const { return m_pool.share(); }
    [[nodiscard]] std::size_t lenders() const { return m_pool.lenders(); }
    /// @return the number of hosts by which the limits are divided.
    [[nodiscard]] std::uint32_t hosts() const { return m_hosts; }
    [[nodiscard]] std::vector<Status> statuses(Instant now) const;

private:
    /// Permits that a coordinator granted.
    struct Stock {
        std::uint32_t permits { 0 };
        Instant expiresAt {};
        [[nodiscard]] std::uint32_t usable(Instant now) const { return now < expiresAt ? permits : 0; }
    };
    struct Organisation {
        AllotmentId id;
        AllotmentLimit limit;
        Stock stock;
        /// What is left of the stock of the coordinator before this one.
        Stock formerStock;
        /// Permits used since this host started, whichever coordinator granted them.
        std::uint64_t used { 0 };
        std::uint64_t usedAtRequest { 0 };
        /// Whether the unanswered request contains this organisation.
        bool isRequested { false };
        /// Whether the coordinator counts permits as held by this host.
        bool isCounted { false };
        bool isScarce { false };
        bool isUrgent { false };
        Instant urgentAfter {};
        /// Operations per second asked for, averaged over rateTime.
        double rate { 0 };
        /// The same for refused operations.
        double refusedRate { 0 };
        Instant rateAt {};
        std::optional<Instant> lastAskedAt;
        Counts counts;
    };
    struct Loan {
        HostName to;
        HostStart start;
        Instant until;
    };

    void decayRates(Instant now, Organisation&) const;
    /// @return the permits that the host should hold for the demand until the next reply.
    [[nodiscard]] std::uint32_t wanted(Instant now, const Organisation&) const;
    [[nodiscard]] bool usePermit(Instant now, Organisation&);
    [[nodiscard]] Duration retryDelay(const Organisation&) const;
    /// Adopts the present coordinator, and holds or gives up the own share accordingly.
    void updateCoordinator(Instant now);
    void updateHostCount(Instant now, std::uint32_t listed);
    /// Takes note of the number of hosts that another host listed.
    void noteReportedHosts(Instant now, std::uint32_t reported);
    /// @return whether this host may use its share or lend it.
    [[nodiscard]] bool ownsShare(Instant now) const;
    [[nodiscard]] AllotmentRequest makeRequest(Instant now, const AllotmentPeers::Peer&);
    [[nodiscard]] std::vector<AllotmentClaim> makeClaims(Instant now, bool isUrgentOnly);
    [[nodiscard]] bool hasUrgent(Instant now) const;
    void requestFromCoordinator(Instant now, std::vector<AllotmentMessage>&);
    [[nodiscard]] AllotmentReply answer(Instant now, const AllotmentRequest&);
    void handleReply(Instant now, const SocketAddress& from, const AllotmentReply&);
    void handleGrant(Instant now, const AllotmentGrant&);
    void replaceStocks();

    HostName m_self;
    HostStart m_start;
    AllotmentTimes m_times;
    AllotmentPool m_pool;
    AllotmentPeers m_peers;
    std::map<OrganisationName, Organisation> m_organisations;
    std::map<AllotmentId, OrganisationName> m_names;
    HostName m_coordinator;
    HostStart m_coordinatorStart;
    /// When an earlier start of this host has certainly stopped lending its share.
    Instant m_ownsShareFrom;
    /// When other hosts have certainly read the record of this one, so that they divide the limits by its share too.
    Instant m_isListedFrom;
    /// Whether another host reported as many listed hosts as this one knows.
    bool m_isListingConfirmed { false };
    std::optional<Loan> m_loan;
    /// Permits of the own share that this host granted as a coordinator may be in use up to this time.
    Instant m_lendAfter {};
    std::uint32_t m_hosts { 0 };
    Instant m_hostsSeenAt {};
    /// Maximum number of listed hosts that others reported.
    std::uint32_t m_reportedHosts { 0 };
    Instant m_reportedAt {};
    RequestNumber m_lastNumber;
    bool m_isAwaitingReply { false };
    RequestNumber m_awaited;
    Instant m_sentAt {};
    /// When the last request with all organisations was sent.
    Instant m_claimedAllAt {};
    int m_unanswered { 0 };
    /// The organisation after which the next request continues if one holds not all of them.
    AllotmentId m_continueAfter;
};

} // namespace Auburnpost::Limit
