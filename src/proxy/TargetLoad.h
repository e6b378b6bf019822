#pragma once

#include "base/Random.h"
#include "base/Time.h"

#include <cstddef>
#include <optional>

namespace Auburnpost::Proxy {

/// This host's estimate of the load of one target. A target reports its load only every one to two and a half seconds,
/// and many hosts choose at the same moment, so a report is out of date when it is used. The estimate therefore rests
/// on the host's own unanswered requests and on the answers to its own statements. A report counts for a few service
/// times, after which the mean of the last reports replaces it.
class TargetLoad {
public:
    /// Assumed service time of a statement before any statement was answered.
    static constexpr Duration defaultService = std::chrono::milliseconds(20);
    /// Time constant with which an answer's weight decays. At 200 ms the simulation has longer waits and sends more
    /// reads to other regions, as chance variations of the service time are followed.
    static constexpr Duration answerDecay = std::chrono::milliseconds(1000);
    /// Time constant with which a reported load decays to the mean of the reports. A queue of 16 statements on 4 slots
    /// is served within 80 ms.
    static constexpr Duration reportDecay = std::chrono::milliseconds(150);
    /// Time constant with which the service time returns to the average while nothing is answered, so that a target
    /// which was slow is tried again.
    static constexpr Duration forgetDecay = std::chrono::seconds(2);
    /// The same for the failure rate. Longer, as an attempt that fails costs a time limit and a slow one does not.
    static constexpr Duration failureDecay = std::chrono::seconds(6);
    /// Time for which a target is less preferred after it refused a statement for lack of capacity. Doubles with each
    /// further refusal up to longestRefusalPause.
    static constexpr Duration refusalPause = std::chrono::milliseconds(50);
    static constexpr Duration longestRefusalPause = std::chrono::milliseconds(800);
    /// Additional cost of a target during the pause after a refusal. More than the difference between any two usable
    /// targets, so that the target is used only if no other one is.
    static constexpr Duration refusalCost = std::chrono::seconds(1);
    /// Duration of each step in which a target that returns takes load, and the number of steps.
    static constexpr Duration returnStep = std::chrono::milliseconds(200);
    static constexpr int returnSteps = 4;
    /// Additional cost of a statement that a target which returns should not take yet. More than the network time
    /// between two regions, less than the queues at which a returning target has to help.
    static constexpr Duration returnCost = std::chrono::milliseconds(100);
    /// Relative width of the random variation of the estimated time on the target. Of 0, 0.1, 0.2 and 0.4, this one had
    /// the shortest waits in the simulation of docs/design/even-load.md with 6 and with 27 hosts.
    static constexpr double variation = 0.4;
    /// Number of consecutive failed statements after which a target takes load in steps again.
    static constexpr std::size_t failuresUntilReturn = 3;

    /// An attempt that was lost sooner than this after it was sent does not count as a failure: it may have been sent
    /// shortly before its time limit. A target five times as slow as usual answers within 0.2 s.
    static constexpr Duration shortestLoss = std::chrono::milliseconds(300);

    /// Records the answer to a read that any member may serve.
    /// @param responseTime time from sending the statement to its answer.
    /// @param own this host's unanswered requests on the target when the answer arrived, this one included.
    /// @param slots number of statements that the target runs concurrently.
    void recordAnswer(Instant now, Duration responseTime, std::size_t own, std::size_t slots);
    /// Records that the target refused a statement for lack of capacity.
    void recordRefusal(Instant now);
    /// Records that a statement was not served although the target had accepted it: the connection was lost, or no
    /// answer arrived in time.
    void recordFailure(Instant now);
    /// Records that a suspicion against the target has ended: it takes load in steps.
    void recordReturn(Instant now);
    /// Records the load that the target reported.
    /// @param busy statements that run or wait on the target; @param own those of this host among them.
    /// @param roundTrip time from the query to the report.
    void recordReport(Instant now, std::size_t busy, std::size_t own, Duration roundTrip);

    /// @return the time of the network alone: the shortest recent round trip; empty before the first report.
    [[nodiscard]] std::optional<Duration> networkTime() const { return m_networkTime; }
    /// @return the estimated service time of a statement.
    [[nodiscard]] Duration serviceTime(Instant now) const;
    /// @return the estimated share of statements that the target does not serve.
    [[nodiscard]] double failureRate(Instant now) const;
    /// @return the estimated number of other hosts' statements that run or wait on the target.
    [[nodiscard]] double othersLoad(Instant now) const;
    /// @return whether the target recently refused a statement for lack of capacity.
    [[nodiscard]] bool isPaused(Instant now) const { return now < m_pausedUntil; }
    [[nodiscard]] Instant pausedUntil() const { return m_pausedUntil; }
    /// @return the share of its usual load that the target may take, between 0 and 1.
    [[nodiscard]] double returnShare(Instant now) const;

    /// @param own this host's unanswered requests on the target.
    /// @return the expected time from sending a statement to its answer, retries after failures included.
    [[nodiscard]] Duration expectedTime(Instant now, std::size_t own, std::size_t slots, Duration networkTime) const;
    /// @return the same with the time on the target varied at random, so that hosts with the same information choose
    /// differently, and with returnCost for the statements that a returning target should not take yet.
    [[nodiscard]] Duration sampledTime(
        Instant now, std::size_t own, std::size_t slots, Duration networkTime, RandomEngine&) const;

private:
    /// @param factor variation of the time on the target.
    [[nodiscard]] Duration timeWith(
        Instant now, double factor, std::size_t own, std::size_t slots, Duration networkTime) const;
    /// Adds an outcome to the failure rate.
    void recordOutcome(Instant now, double failed);

    std::optional<Duration> m_networkTime;
    /// Mean of the recent answers.
    double m_service { static_cast<double>(defaultService.count()) };
    std::optional<Instant> m_answeredAt;
    double m_failureRate { 0 };
    std::optional<Instant> m_outcomeAt;
    /// Others' load in the last report, and the mean of the reports.
    double m_reported { 0 };
    double m_usual { 0 };
    std::optional<Instant> m_reportedAt;
    Instant m_pausedUntil {};
    std::size_t m_refusals { 0 };
    std::size_t m_failures { 0 };
    std::optional<Instant> m_returnedAt;
};

} // namespace Auburnpost::Proxy
