#pragma once

#include "limit/AllotmentMessage.h"
#include "limit/AllotmentRules.h"

#include <map>

namespace Auburnpost::Limit {

/// The permits of the shares that one host holds: its own, and those that other hosts lend to it as their coordinator.
///
/// A share of 1/N creates 1/N of each organisation's permits, and adds 1/N of its capacity. It starts without permits
/// whenever it changes hands, so what it yields in a window does not depend on who held it. Permits are created only
/// while the unused ones here and those granted to other hosts are below the capacity of the shares held. Permits that
/// were granted count as unused until the recipient reports their use or they have certainly expired.
class AllotmentPool {
public:
    AllotmentPool(Instant now, AllotmentRules, AllotmentTimes = {});

    void setLimits(Instant now, const std::map<AllotmentId, AllotmentLimit>&);
    /// Sets the part of all shares that this host owns and does not lend at present.
    void setOwnShare(Instant now, double share);
    /// Accepts a request unless a later one of the same host was accepted, and thereby the share that it lends.
    /// @return whether it is accepted; claims of other requests must not be passed to claim().
    bool acceptRequest(Instant now, const AllotmentRequest&);
    /// Settles what the host holds for one organisation.
    /// @param request the accepted request that contains the claim.
    AllotmentGrant claim(Instant now, const AllotmentRequest& request, const AllotmentClaim&);
    /// Uses a permit on this host. @return whether there was one.
    bool use(Instant now, AllotmentId);
    /// Removes expired leases and grants.
    void expire(Instant now);

    [[nodiscard]] double ownShare() const { return m_ownShare; }
    /// @return whether permits that were granted to other hosts may still be in use.
    [[nodiscard]] bool hasGrants() const;
    /// @return the part of all shares that is held.
    [[nodiscard]] double share() const { return m_share; }
    /// @return the number of hosts that lend their shares to this one.
    [[nodiscard]] std::size_t lenders() const { return m_leases.size(); }
    /// @return the unused permits that are not granted.
    [[nodiscard]] double available(AllotmentId) const;

private:
    struct Lease {
        double share { 0 };
        /// When permits of the share are no longer granted, as they would outlive the lease.
        Instant endsAt;
    };
    struct ClientKey {
        HostName host;
        HostStart start;
        auto operator<=>(const ClientKey&) const = default;
    };
    /// Local number of a requesting host.
    using ClientNumber = StrongId<std::uint32_t, struct ClientNumberTag>;
    struct Client {
        ClientNumber number;
        RequestNumber lastRequest;
        Instant lastSeen;
    };
    /// What one host may still hold of one organisation's permits.
    struct Grant {
        std::uint32_t permits { 0 };
        std::uint64_t used { 0 };
        std::uint32_t wanted { 0 };
        /// Permits that were requested and not granted.
        std::uint32_t unmet { 0 };
        /// When the recipient has certainly stopped using the permits.
        Instant expiresAt;
    };
    struct Account {
        AllotmentLimit limit;
        double available { 0 };
        /// Value of m_shareSeconds up to which permits were created.
        double createdUpTo { 0 };
        std::map<ClientNumber, Grant> grants;
        /// Sums over the grants.
        std::uint64_t granted { 0 };
        std::uint64_t wanted { 0 };
        std::uint64_t unmet { 0 };
        /// Number of grants with wanted permits.
        std::size_t claimants { 0 };
    };

    /// Removes ended leases and counts the time for the shares held.
    void advance(Instant now);
    void recountShare();
    /// Creates the permits due since the last call and removes those above the capacity.
    void create(Account&) const;
    void createAll();
    static void count(Account&, const Grant&);
    /// Removes a grant from the sums of its account.
    static void uncount(Account&, const Grant&);
    /// @return the permits that a host may hold so that all hosts which want some can have their part.
    [[nodiscard]] std::uint64_t holdingLimit(const Account&, std::uint32_t wanted) const;

    AllotmentRules m_rules;
    AllotmentTimes m_times;
    std::map<AllotmentId, Account> m_accounts;
    double m_ownShare { 0 };
    std::map<HostName, Lease> m_leases;
    Instant m_nextLeaseEnd { Instant::max() };
    /// The part of all shares that is held.
    double m_share { 0 };
    /// Sum over time of the share held.
    double m_shareSeconds { 0 };
    std::map<ClientKey, Client> m_clients;
    ClientNumber m_lastClient;
    Instant m_advancedAt;
};

} // namespace Auburnpost::Limit
