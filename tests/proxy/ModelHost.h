#pragma once

#include "proxy/Fingerprint.h"
#include "proxy/GroupWatcher.h"
#include "proxy/LeaseReads.h"
#include "proxy/ModelRequest.h"
#include "proxy/Promotion.h"
#include "proxy/TargetDirectory.h"

#include <map>
#include <vector>

namespace Auburnpost::Proxy {

/// A host of ProtocolModel: the product's TargetDirectory, GroupWatcher and Promotion, called as GroupService calls
/// them. What the promotion asks for is collected until the model takes it.
class ModelHost final : public PromotionDelegate {
public:
    /// Length of a tick, at which members are polled and the promotion advances.
    static constexpr Duration tickLength = std::chrono::milliseconds(100);

    ModelHost(std::size_t index, const GroupRules&);

    [[nodiscard]] const HostName& name() const { return m_name; }
    [[nodiscard]] const GroupWatcher& watcher() const { return m_watcher; }
    [[nodiscard]] const Promotion& promotion() const { return m_promotion; }
    /// Makes this the host that records the members apart from promotions.
    void recordMembers()
    {
        m_recordsMembers = true;
        m_promotion.setRecorderRank(0);
    }

    /// Applies the table of targets.
    /// @param version number of changes of the table until then.
    void applyList(Instant now, const std::vector<TargetRecord>&, std::size_t version);
    /// Begins a tick: discounts a pause, removes targets whose record has been missing for too long, and releases
    /// members that no longer count.
    void beginTick(Instant now);
    [[nodiscard]] bool isPollDue(Instant now) const;
    /// @return whether the host sends callers' writes to the target, and passes on its acknowledgements.
    [[nodiscard]] bool isUsing(Instant now, const TargetName&) const;
    void pollStarted(Instant now) { m_polledAt = now; }
    void pollUnanswered(Instant now, const TargetName&);
    void pollRefused(Instant now, const TargetName&);
    void statusReceived(Instant now, const TargetName&, Instant queriedAt, const TargetStatus&);
    /// Ends a tick: starts or advances the promotion.
    void endTick(Instant now);
    void commitAcknowledged(Instant now, Instant sentAt, const TargetName&, const LogPoint& end);
    void leaseRead(Instant now, const PromotionLeaseRow&);
    void leaseWritten(Instant now, std::optional<RowVersion>);
    /// Applies the table of targets as the promotion read it, unless a newer one is known.
    void membersRead(Instant now, const std::vector<TargetRecord>&, std::size_t version);
    void promoteAnswered(Instant now, PromotionOutcome);

    /// @return what was requested since the last call.
    std::vector<ModelRequest> takeRequests();
    /// Adds everything that the host's next decisions depend on. Timers that the product keeps to itself are derived
    /// from the calls that set them. Ages count in ticks.
    void addTo(Fingerprint&, Instant now) const;

    void readLease(const GroupName&) override;
    void writeLease(const GroupName&, const PromotionLease&, RowVersion expected) override;
    void readMembers(const GroupName&) override;
    void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) override;
    void sendCommand(const TargetName&, const TargetRequest&, Instant sendBefore) override;
    void log(const LogRecord&) override { }
    void measure(std::string_view, double) override { }

private:
    /// Notes when states and conditions began that Promotion and GroupWatcher measure from.
    void updateTimers(Instant now);
    void setMembers(Instant now);
    /// Sends the read of the lease's row that is due.
    void sendLeaseReads();
    static std::uint64_t age(Instant now, Instant moment);
    void addMemberTo(Fingerprint&, Instant now, const GroupWatcher::Member&) const;

    /// Adds what the next attempt to record the members depends on.
    void addRecorderTo(Fingerprint&, Instant now) const;

    HostName m_name;
    bool m_recordsMembers { false };
    GroupWatcher m_watcher;
    Promotion m_promotion;
    TargetDirectory m_directory;
    RandomEngine m_random;
    std::vector<ModelRequest> m_requests;
    LeaseReads m_leaseReads;
    Instant m_now {};
    std::optional<Instant> m_lastTickAt;
    Instant m_polledAt {};
    std::string m_state;
    std::string m_previousState;
    Instant m_stateEnteredAt {};
    Instant m_leaseReadAt {};
    std::uint64_t m_leaseLeftMs { 0 };
    Instant m_commandedAt {};
    Instant m_attemptFinishedAt {};
    Term m_commandTerm;
    Term m_replacedTerm;
    RowVersion m_token;
    std::size_t m_listVersion { 0 };
    /// Whether the members were read since the lease was acquired, and whether they are being read.
    bool m_isListFresh { false };
    bool m_isReadingMembers { false };
    /// The last promotion that this host recorded or found with the lease.
    std::optional<PendingPromotion> m_pending;
    Instant m_pendingSince {};
    Instant m_commitAcknowledgedAt {};
    std::optional<TargetName> m_candidate;
    Instant m_primaryChangedAt {};
    std::optional<TargetName> m_primary;
    std::optional<Instant> m_fencedSince;
    std::optional<Instant> m_enoughFencedSince;
    std::map<SocketAddress, Instant> m_listedAt;
    std::map<TargetName, Instant> m_missingSince;
};

} // namespace Auburnpost::Proxy
