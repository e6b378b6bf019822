#pragma once

#include "group/FakeNetwork.h"
#include "group/FakeTarget.h"
#include "group/GroupWatch.h"
#include "group/OutcomeChecker.h"

#include <memory>
#include <optional>

namespace Auburnpost::Group {

/// Simulates a database group of fake targets under several GroupWatch instances, with writers whose outcomes are all
/// checked.
class GroupSimulation {
public:
    struct Options {
        std::uint64_t seed { 1 };
        std::size_t targets { 3 };
        std::size_t watchers { 3 };
        Duration replicationInterval { std::chrono::milliseconds(5) };
        Duration writeInterval { std::chrono::milliseconds(25) };
        Duration watcherDelay {};
    };

    explicit GroupSimulation(const Options&);

    void run(Duration);
    /// Injects one random fault.
    void injectFault();
    /// Ends all faults: nothing is cut off, frozen, stopped, lossy, slow or lagging any more.
    void healAll();
    /// @return the first violation of a guarantee; empty when there was none.
    [[nodiscard]] const std::string& violation() const { return m_checker.violation(); }
    /// @return whether every watcher knows the actual primary and sees its term as open.
    [[nodiscard]] bool hasConverged() const;
    /// Checks the conditions that have to hold after all faults have ended.
    void checkFinalState() { m_checker.checkFinal(openPrimary()); }

    void killTarget(std::size_t);
    void restartTarget(std::size_t);
    void freezeTarget(std::size_t, Duration);
    void freezeWatcher(std::size_t, Duration);
    void cutTarget(std::size_t, bool fromWatchers);
    void setLag(std::size_t target, Duration lag) { m_targets[target]->lag = lag; }
    /// Delays each answer of a target by @p delay.
    void setSlow(std::size_t target, Duration delay);
    void requestSwitchover(std::size_t target);
    /// Fences one target to a term far above the current one, like a candidate that reaches no other target.
    void fenceAlone(std::size_t target);
    /// @return whether the target's log ends in the primary's term.
    [[nodiscard]] bool holdsPrimaryTerm(std::size_t target) const;
    void setLagOfAll(Duration lag);
    /// Kills the first primary of a term above @p after, with a delay of @p delay after it is found.
    void killNextPrimary(Term after, Duration delay);
    void healNetwork() { m_network.heal(); }
    [[nodiscard]] std::optional<std::size_t> primaryIndex() const;

    [[nodiscard]] const OutcomeChecker& checker() const { return m_checker; }
    [[nodiscard]] const std::vector<std::pair<Instant, LogEvent>>& events() const { return m_events; }
    [[nodiscard]] Instant now() const { return m_queue.now(); }
    [[nodiscard]] RandomEngine& random() { return m_random; }
    [[nodiscard]] FakeNetwork& network() { return m_network; }

private:
    struct HeldWait {
        LogPoint point;
        FakeTarget::StatusReply reply;
        Instant deadline;
    };
    struct TargetNode {
        explicit TargetNode(TargetName name)
            : target(std::move(name))
        {
        }
        FakeTarget target;
        bool isRunning { true };
        std::uint64_t runNumber { 0 };
        Duration lag {};
        std::vector<HeldWait> waits;
    };
    enum class JobStep { Write, Lookup };
    /// A key that is written and then acknowledged or looked up.
    struct Job {
        std::uint64_t key;
        JobStep step { JobStep::Write };
        std::uint64_t attempt { 0 };
        bool isDone { false };
    };
    /// An answer that becomes the outcome of the job once its point is durable.
    struct PendingOutcome {
        std::shared_ptr<Job> job;
        bool written { false };
        LogPoint point;
    };
    struct WatcherNode {
        std::string name;
        Duration clockOffset {};
        std::uint64_t incarnation { 1 };
        std::unique_ptr<GroupWatch> watch;
        std::map<WaitId, PendingOutcome> waits;
        std::map<ConfirmationId, LogPoint> confirms;
    };
    using JobPointer = std::shared_ptr<Job>;

    void injectDoubleFault(std::size_t target);
    [[nodiscard]] Instant localTime(const WatcherNode& node) const { return m_queue.now() + node.clockOffset; }
    [[nodiscard]] const FakeTarget* openPrimary() const;
    TargetNode* find(const TargetName&);
    void startWatch(WatcherNode&);
    void tickWatcher(std::size_t);
    void replicateLogs();
    void replicateTo(TargetNode&);
    void answerWaits(TargetNode&);
    void perform(std::size_t watcher, const GroupActions&);
    void sendCommand(std::size_t watcher, const SendCommand&);
    void runCommand(TargetNode&, const GroupCommand&, const FakeTarget::StatusReply&);
    void reportFailure(std::size_t watcher, const SendCommand&, ErrorCode, std::uint64_t incarnation);
    void startWrite();
    void startLookup(const JobPointer&);
    void retryLookup(const JobPointer&);
    void sendJob(std::size_t watcher, const JobPointer&, const PrimaryView&);
    void handleJobAnswer(
        std::size_t watcher, const JobPointer&, const KeyAnswer&, const TargetName& from, Instant sentAt);
    void handleWaitEnd(std::size_t watcher, WaitId, bool durable);
    void recordOutcome(const PendingOutcome&);
    void startConfirm();
    void checkAges();

    Options m_options;
    RandomEngine m_random;
    EventQueue m_queue;
    FakeNetwork m_network;
    std::vector<std::unique_ptr<TargetNode>> m_targets;
    std::vector<WatcherNode> m_watchers;
    OutcomeChecker m_checker;
    std::vector<std::pair<Instant, LogEvent>> m_events;
    std::uint64_t m_lastKey { 0 };
    std::uint64_t m_lastWait { 0 };
    /// Delayed faults that are due after this moment are skipped.
    Instant m_faultsEndedAt { Instant::max() };
};

} // namespace Auburnpost::Group
