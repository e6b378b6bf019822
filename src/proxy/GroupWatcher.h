#pragma once

#include "proxy/Catalog.h"
#include "proxy/ReadProofs.h"
#include "proxy/TargetHealth.h"
#include "proxy/TargetRecord.h"
#include "proxy/TargetStanding.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// Why the primary should be replaced.
enum class PrimaryTrouble : std::uint8_t {
    None,
    /// No target says that it is the primary.
    Missing,
    /// It refuses connections or does not answer.
    Down,
    /// No replica receives its commits.
    Blocked,
    /// It announced its shutdown.
    Leaving,
};

/// @return the text for logs, such as "down".
std::string_view toString(PrimaryTrouble);

/// What this host knows of one database group: its members, who is primary, and the proofs for its reads.
class GroupWatcher {
public:
    /// A replica that should receive but is behind the primary, without progress for so long, is cut off from it.
    static constexpr Duration blockedLimit = std::chrono::milliseconds(1500);
    /// A member that isn't listed any more counts as part of the group for so long.
    static constexpr Duration membershipMemory = std::chrono::seconds(8);
    /// How long no target may be seen as primary before that counts as trouble; at a cold start the targets register
    /// within about two seconds of each other.
    static constexpr Duration missingLimit = std::chrono::milliseconds(2500);

    struct Member {
        TargetRecord record;
        std::optional<TargetStanding> standing;
        /// When the question was sent that brought the standing.
        Instant askedAt {};
        TargetHealth health;
        /// End of the log that its reads see, and when it told so.
        std::optional<LogPoint> applied;
        Instant appliedAt {};
        /// Since when it lacks a commit that the primary had when it was asked, without progress.
        std::optional<Instant> behindSince;
        /// Since when it is listed as primary.
        std::optional<Instant> claimsSince;
        /// When it was first seen to leave.
        std::optional<Instant> leavingSince;
    };
    using Members = std::map<TargetName, Member>;

    /// Replaces the members; what is known of those that stay, in the same incarnation, is kept.
    void setMembers(Instant now, const std::vector<TargetRecord>&);
    void setRules(const GroupRules& rules) { m_rules = rules; }

    /// Takes a standing and derives the next proof from it.
    /// @return whether another target became primary by it.
    bool record(Instant now, const TargetName&, Instant askedAt, const TargetStanding&);
    /// The primary acknowledged a commit that wrote something, which proves as much as the members' standings.
    /// @param askedAt when the commit was sent; @param end the end of its log after it.
    void committed(const TargetName&, Instant askedAt, const LogPoint& end);
    /// An answer of the target told how far its reads see.
    void noteApplied(Instant now, const TargetName&, const LogPoint& applied);
    /// A read that needs a position is sent to the target; whether the target has it by now shows in its answer.
    void noteTried(Instant now, const TargetName&, const LogPoint& wanted);
    /// A target refused a write as it isn't the primary.
    void refusedAsReplica(const TargetName&);
    [[nodiscard]] TargetHealth* health(const TargetName&);

    [[nodiscard]] const Members& members() const { return m_members; }
    [[nodiscard]] const Member* find(const TargetName&) const;
    /// @return the primary of the highest term seen; empty when none is known.
    [[nodiscard]] const std::optional<TargetName>& primary() const { return m_primary; }
    [[nodiscard]] Term primaryTerm() const { return m_primaryTerm; }
    /// @return the highest term seen, also as a fence.
    [[nodiscard]] Term highestTerm() const { return m_highestTerm; }
    [[nodiscard]] const ReadProofs& proofs() const { return m_proofs; }
    [[nodiscard]] PrimaryTrouble trouble(Instant now) const;
    /// @return how many members have to be fenced before a promotion, so that every acknowledged commit is on one of
    /// them and no further commit can be acknowledged.
    [[nodiscard]] std::size_t fencesNeeded() const;
    /// @return how many members besides the primary have to answer unfenced for a proof.
    [[nodiscard]] std::size_t witnessesNeeded() const;
    /// @return whether a member has been fenced since before @p now - @p limit.
    [[nodiscard]] bool isFencedSince(Instant now, Duration limit) const;
    /// This host itself did not run for a while.
    void forgiveSilence(Instant now);

private:
    void prove();
    /// While enough members are fenced nobody can acknowledge a commit, and every acknowledged one is on one of them.
    void proveFenced();
    void noteProgress(Instant now, Member&, Instant askedAt, const TargetStanding&);
    [[nodiscard]] std::size_t groupSize() const;
    [[nodiscard]] bool isBlocked(Instant now, const Member& primary) const;
    void noteFences(Instant now);
    void noteAddresses(Instant now);
    /// @return whether a member that answers is listed as primary and has not denied it since.
    [[nodiscard]] bool hasLivingClaimant(Instant now) const;

    GroupRules m_rules;
    Members m_members;
    std::optional<TargetName> m_primary;
    Term m_primaryTerm;
    Term m_highestTerm;
    ReadProofs m_proofs;
    std::optional<Instant> m_primaryMissingSince;
    std::optional<Instant> m_fencedSince;
    /// Addresses of the group's members, with the time at which each was last listed: a target that crashed starts
    /// again under a new name at its address, with its log. A member that left as planned is forgotten at once, as its
    /// log went over before.
    std::map<SocketAddress, Instant> m_addresses;
};

} // namespace Auburnpost::Proxy
