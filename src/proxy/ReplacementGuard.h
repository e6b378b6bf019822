#pragma once

#include "proxy/PromotionLease.h"

#include <optional>
#include <string_view>
#include <utility>

namespace Auburnpost::Proxy {

/// Why the primary of a group may have been replaced without this host's knowledge.
enum class PrimaryDoubt : std::uint8_t {
    None,
    /// This host has just begun to watch the group.
    Started,
    /// This process was paused.
    Paused,
    /// The primary did not respond, has left the list, or was no primary for a while.
    ContactLost,
    /// A target reports a term that another one has led.
    OtherTarget,
    /// A member is fenced for a later term.
    Fenced,
    /// No member answers that would show a replacement by its fence, and the primary has acknowledged a commit.
    Isolated,
};

/// @return the text for logs, such as "contact_lost".
std::string_view toString(PrimaryDoubt);

/// How a doubt was resolved.
enum class DoubtResolution : std::uint8_t {
    /// A primary of a later term was seen.
    Successor,
    /// The row of the lease showed that no replacement is held or pending.
    Row,
    /// On the first start of a deployment every listed member answered, and none is fenced.
    Members,
    /// The row could not be read for so long that an earlier call has had its effect.
    Time,
};

/// @return the text for logs, such as "row".
std::string_view toString(DoubtResolution);

/// A target that reports to be the primary of its group.
struct ReportedPrimary {
    TargetName name;
    TargetIncarnation incarnation;
    Term term;

    bool operator==(const ReportedPrimary&) const = default;
};

/// Decides whether this host may use the target that reports to be the primary of a group.
///
/// From the moment a replacement of the primary may have been called for until its effect is seen or the row of the
/// promotion lease rules it out, a host sends the primary no current read, no write and no transaction, and passes none
/// of its acknowledgements on to a caller.
///
/// The host can't exclude such a call while it has a doubt. A doubt is resolved by a primary of a later term, or by a
/// read of the row that was sent after the primary reported itself and shows neither a lease for its replacement nor a
/// pending promotion. Nothing here outlives the process: a host that starts begins with a doubt.
class ReplacementGuard {
public:
    /// Maximum time from the last use of a primary for which a primary of a later term is used without a read of the
    /// row: within the lifetime of one lease another host can't have called for the replacement of the later one.
    static constexpr Duration successorTimeout = std::chrono::milliseconds(3700);
    /// Interval at which the row is read again while it shows a replacement.
    static constexpr Duration recheckInterval = std::chrono::seconds(1);
    /// Interval between failed reads of the row.
    static constexpr Duration retryInterval = std::chrono::milliseconds(500);
    /// Time after which a doubt without a readable row or any fence is dropped. It covers the lifetime of a lease that
    /// was held when the primary reported itself, and so the call and its effect.
    static constexpr Duration unreadableTimeout = successorTimeout;
    /// The same if a fence or the last read of the row shows a replacement, which may take effect late.
    static constexpr Duration replacementTimeout = std::chrono::seconds(10);
    /// Time without a resolution after which this host takes part in the replacement itself.
    static constexpr Duration overdueTimeout = std::chrono::milliseconds(2500);

    /// Time for the members to answer before the row is read on the first start of a deployment.
    static constexpr Duration firstStartDelay = std::chrono::milliseconds(500);

    /// How a doubt ended, for the log.
    struct Resolved {
        ReportedPrimary primary;
        PrimaryDoubt doubt {};
        DoubtResolution resolution {};
        Duration length {};
    };

    /// All hosts of the deployment have just started for the first time, so that the members' answers tell whether one
    /// of them replaces the primary. It saves a read of the row for each host and group.
    void setFirstStart() { m_isFirstStart = true; }
    /// Records that all listed members have answered, and that none is fenced or in a later term.
    void recordNoReplacement(Instant now);
    /// Records that the primary can't be relied on from now on, until it is seen and the doubt is resolved.
    void raise(Instant now, PrimaryDoubt);
    /// Records a target that reports to be the primary in the highest term known.
    void recordPrimary(Instant now, const ReportedPrimary&);
    /// Records that a member is fenced.
    void recordFence(Instant now, Term fencedTerm);
    /// Records that the primary has acknowledged a commit while no member answers that would show its replacement.
    void recordIsolation(Instant now);
    /// Records that no member is fenced.
    void recordNoFence()
    {
        m_fenceTerm = {};
        m_explainedFence = {};
    }
    /// Records a read of the lease's row.
    /// @param sentAt when the read was sent.
    /// @param own the promotion that this process has called for if it wrote the row; the row itself does not tell
    /// whether the call was made.
    /// @param isOwn whether this process wrote the row.
    void recordRow(
        Instant now, Instant sentAt, const PromotionLeaseRow&, bool isOwn, const std::optional<PendingPromotion>& own);
    /// Records that the row could not be read.
    void recordUnreadableRow(Instant now);
    /// The store came back from an older copy of itself. Its row may lack a replacement until earlier leases expired.
    void storeReturned(Instant now) { m_rowUnknownUntil = now + successorTimeout; }
    /// Drops a doubt whose time has passed.
    void tick(Instant now);

    /// @return whether statements may be sent to the target as the primary, and its acknowledgements be passed on.
    [[nodiscard]] bool allows(const TargetName&) const;
    /// @return the moment as of which the primary was last known not to be replaced.
    [[nodiscard]] Instant clearAsOf() const { return m_clearAsOf; }
    /// @return the moment as of which the row last showed that the primary of the term was not replaced; empty if it
    /// has not.
    [[nodiscard]] std::optional<Instant> unreplacedByRowAsOf(Term term) const
    {
        return m_unreplacedTerm == term ? m_unreplacedByRowAsOf : std::nullopt;
    }
    /// @return why the reported primary is not used; None if it is, or if there is none.
    [[nodiscard]] PrimaryDoubt doubt() const { return m_reportedAt ? m_doubt : PrimaryDoubt::None; }
    /// @return since when the reported primary is not used; empty if it is, or if there is none.
    [[nodiscard]] const std::optional<Instant>& reportedAt() const { return m_reportedAt; }
    /// @return whether the row should be read now.
    [[nodiscard]] bool isReadDue(Instant now) const;
    /// @return whether the doubt has lasted so long that this host should complete the replacement, if there is one.
    [[nodiscard]] bool isOverdue(Instant now) const;
    /// @return the doubts that were resolved since the last call.
    [[nodiscard]] std::optional<Resolved> takeResolved() { return std::exchange(m_resolved, {}); }

private:
    [[nodiscard]] bool mayFollow(Instant now, const ReportedPrimary& successor) const;
    [[nodiscard]] bool isFenceUnexplained() const;
    /// Keeps a read of the row that shows no replacement of the primary.
    void recordUnreplaced(
        Instant now, Instant sentAt, const PromotionLeaseRow&, bool isOwn, const std::optional<PendingPromotion>& own);
    /// @param asOf the moment as of which the primary was not replaced.
    void resolve(Instant now, DoubtResolution, Instant asOf);

    std::optional<ReportedPrimary> m_primary;
    bool m_isFirstStart { false };
    PrimaryDoubt m_doubt { PrimaryDoubt::Started };
    /// When the doubt was raised; the primary was last used before.
    Instant m_doubtedSince {};
    /// When the primary first reported itself since then.
    std::optional<Instant> m_reportedAt;
    std::optional<Instant> m_nextReadAt;
    Instant m_clearAsOf {};
    bool m_isRowUnreadable { false };
    /// When the row last showed a replacement of the primary.
    std::optional<Instant> m_replacementSeenAt;
    /// The highest term of a fence, and when it was first seen.
    Term m_fenceTerm;
    Instant m_fenceSeenAt {};
    /// The highest term of a fence that was there when the row showed no replacement.
    Term m_explainedFence;
    Instant m_rowUnknownUntil {};
    /// As of when the row last showed no replacement, and for the primary of which term.
    std::optional<Instant> m_unreplacedByRowAsOf;
    Term m_unreplacedTerm;
    std::optional<Resolved> m_resolved;
};

} // namespace Auburnpost::Proxy
