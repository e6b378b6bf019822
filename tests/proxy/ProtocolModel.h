#pragma once

#include "proxy/ModelChoice.h"
#include "proxy/ModelHost.h"
#include "proxy/ModelMessage.h"
#include "proxy/ModelScenario.h"
#include "proxy/ModelStore.h"
#include "proxy/ModelTarget.h"

#include <array>
#include <bitset>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Auburnpost::Proxy {

/// One group with one synchronous replica, the store, the platform, and two hosts that watch the group and promote with
/// the product's own objects. The state changes by one choice at a time, and the same choices give the same state.
class ProtocolModel {
public:
    static constexpr std::size_t hostCount = 2;
    /// The host that records the members apart from promotions.
    static constexpr std::size_t recorder = 1;
    /// Members that left included.
    static constexpr std::size_t maxMembers = 8;
    /// Ticks from an announced shutdown to the end of the process.
    static constexpr std::size_t drainTicks = 70;
    /// Ticks after the end of all faults within which every host has to know a primary that can complete commits.
    static constexpr std::size_t recoveryTicks = 200;

    enum class Check : std::uint8_t {
        /// The target whose promotion takes effect lacks an acknowledged commit.
        LostCommit,
        /// A host's confirmation does not cover an acknowledged commit.
        WrongConfirmation,
        /// Two holders called with one token, or a lower token followed a higher.
        WrongToken,
        /// No primary within recoveryTicks.
        NoPrimary,
    };
    static constexpr std::size_t checkCount = 4;
    /// Failed checks, by Check.
    using FailedChecks = std::bitset<checkCount>;

    /// @param isTraced whether trace() is filled.
    explicit ProtocolModel(const ModelScenario&, bool isTraced = false);

    /// @return what can happen next, the default first.
    [[nodiscard]] ModelSchedule choices() const;
    void apply(const ModelChoice&);
    /// Ends all faults, and lets time pass until a primary is known again, or recoveryTicks have passed.
    void recover();

    [[nodiscard]] const FailedChecks& failedChecks() const { return m_failedChecks; }
    /// @return whether a commit was lost or a token used wrongly, after which the schedule is not continued.
    [[nodiscard]] bool isOver() const;
    /// @return a hash of everything that the next steps depend on.
    [[nodiscard]] std::uint64_t fingerprint() const;
    /// @return what has happened so far, in words.
    [[nodiscard]] const std::vector<std::string>& trace() const { return m_trace; }

private:
    using Kind = ModelMessage::Kind;
    /// Two steps never happen at the same moment.
    static constexpr Duration stepLength = std::chrono::milliseconds(1);
    struct Acknowledgement {
        LogPoint point;
        Instant at;
    };

    [[nodiscard]] std::uint64_t nowMs() const;
    /// Makes one host the recorder of the members, if the scenario has one.
    void setRecorder();
    /// Plays the default steps until the members are on record.
    void playRecording();
    /// Plays the default steps until a host no longer waits for the effect of its call, which is held back. The crashed
    /// primary returns meanwhile.
    void playLatePromotion();
    void trace(const std::string&);
    void fail(Check, const std::string& text);

    // Choices
    void addDelayChoices(ModelSchedule&) const;
    void addCommitChoices(ModelSchedule&) const;
    void addFaultChoices(ModelSchedule&) const;
    void addHostFaultChoices(ModelSchedule&) const;
    void addMemberFaultChoices(ModelSchedule&) const;
    void addTargetFaultChoices(ModelSchedule&, const ModelTarget&) const;
    /// Adds the choice if the scenario plays this kind of fault.
    void addFault(ModelSchedule&, ModelChoice::Kind, std::size_t index = 0) const;
    void applyStep(std::size_t);
    void applyTick(std::size_t);
    void applyHold(std::size_t index);
    void applyRelease(std::size_t index);
    void applyCommit(std::size_t index);
    void applyCommitAlone(std::size_t);
    void applyCrash(std::size_t);
    void applyReturn(std::size_t index);
    void applyCut(std::size_t index);
    void applyCutStaying(std::size_t);
    void applyCutHost(std::size_t index);
    void applyHeal(std::size_t);
    void applyJoin(std::size_t);
    void applyLeave(std::size_t index);
    void applyEnd(std::size_t index);
    void applyLapse(std::size_t index);
    void applyRestartHost(std::size_t index);
    void applyPauseHost(std::size_t index);
    void applyContinueHost(std::size_t index);

    // Time
    void passTick();
    void passHostTick(std::size_t host);
    void poll(std::size_t host, const TargetName&);
    void replicate();
    void expireHeldMessages();
    /// @return what time passes for: it has changed once something happened.
    [[nodiscard]] std::uint64_t visibleState() const;

    // Messages
    void send(ModelMessage);
    void sendLists();
    void sendRequests(std::size_t host);
    [[nodiscard]] std::vector<std::size_t> oldestBatch() const;
    void deliver(const ModelMessage&);
    void deliverList(const ModelMessage&);
    void deliverCommand(const ModelMessage&);
    void deliverReply(const ModelMessage&);
    void deliverLeaseRead(const ModelMessage&);
    void deliverLeaseReadAnswer(const ModelMessage&);
    void deliverLeaseWrite(const ModelMessage&);
    void deliverLeaseWriteAnswer(const ModelMessage&);
    void deliverMembersRead(const ModelMessage&);
    void deliverMembersReadAnswer(const ModelMessage&);
    void deliverCall(const ModelMessage&);
    void deliverCallAnswer(const ModelMessage&);
    void deliverEffect(const ModelMessage&);
    void deliverRegistration(const ModelMessage&);
    void deliverExpiry(const ModelMessage&);

    // Targets
    [[nodiscard]] ModelTarget* find(const TargetName&);
    [[nodiscard]] const ModelTarget* currentPrimary() const;
    /// @return the primary whose log the replica receives; null when there is none.
    [[nodiscard]] const ModelTarget* sourceOf(const ModelTarget& replica) const;
    [[nodiscard]] bool isCut(std::size_t left, std::size_t right) const;
    /// @return whether a host sends callers' writes to the primary and passes on its answers.
    [[nodiscard]] bool isUsedByHost(const ModelTarget& primary) const;
    void receive(ModelTarget& replica, const ModelTarget& primary);
    /// Brings the record of a listed target up to date.
    void updateRecord(const ModelTarget&);
    /// @return a hash of what distinguishes the target from others in the same role.
    [[nodiscard]] std::uint64_t symmetryClass(const ModelTarget&) const;

    /// Adds the commit, and which queries were sent after its acknowledgement.
    void addAcknowledgement(Fingerprint&, std::size_t id, const Acknowledgement&) const;

    // Checks
    void check();
    void checkConfirmations(std::size_t host);
    [[nodiscard]] bool hasRecovered() const;

    ModelScenario m_scenario;
    bool m_isTraced { false };
    Instant m_now;
    std::size_t m_tick { 0 };
    std::size_t m_step { 0 };
    std::vector<ModelTarget> m_targets;
    ModelStore m_store;
    std::array<std::unique_ptr<ModelHost>, hostCount> m_hosts;
    std::array<std::size_t, hostCount> m_hostRestarts {};
    std::array<bool, hostCount> m_isPaused {};
    std::array<std::size_t, hostCount> m_leaseReads {};
    std::array<std::size_t, hostCount> m_leaseWrites {};
    std::array<std::optional<Instant>, hostCount> m_checkedConfirmation;
    std::vector<ModelMessage> m_messages;
    /// Pairs of targets that do not reach each other.
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    /// Pairs of a host and a target that it does not reach.
    std::set<std::pair<std::size_t, std::size_t>> m_hostCuts;
    /// Acknowledged commits by their number.
    std::map<std::size_t, Acknowledgement> m_acknowledged;
    std::size_t m_commits { 0 };
    std::size_t m_faultsLeft { 0 };
    std::size_t m_commitsLeft { 0 };
    std::size_t m_lateOrdersLeft { 0 };
    std::size_t m_delaysLeft { 0 };
    RowVersion m_lastToken;
    std::size_t m_lastCaller { hostCount };
    FailedChecks m_failedChecks;
    std::vector<std::string> m_trace;
};

/// @return the text for tables, such as "lost commit".
std::string_view toString(ProtocolModel::Check);

} // namespace Auburnpost::Proxy
