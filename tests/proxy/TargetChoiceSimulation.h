#pragma once

#include "proxy/TargetLoad.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace Auburnpost::Proxy {

constexpr std::size_t simulatedTargets = 3;
constexpr std::size_t simulatedSlots = 4;

/// What one host knows of one target.
struct KnownTarget {
    TargetLoad load;
    /// Mean round trip of the status queries.
    Duration roundTrip {};
    /// Load in the last report.
    std::size_t reported { 0 };
    /// This host's unanswered statements on the target.
    std::size_t own { 0 };
    bool isSuspect { false };
};

using KnownTargets = std::array<KnownTarget, simulatedTargets>;

/// Orders the targets for one statement of one host.
class TargetChooser {
public:
    virtual ~TargetChooser() = default;
    /// @return a cost for each target; the cheapest one is tried first.
    virtual std::array<double, simulatedTargets> costs(Instant now, const KnownTargets&, RandomEngine&) = 0;
};

using ChooserFactory = std::function<std::unique_ptr<TargetChooser>()>;

/// Behaviour of one target.
struct TargetBehaviour {
    double slowness { 1 };
    /// Share of statements that are never answered.
    double lostShare { 0 };
    /// Period with which the target is alternately up and down; zero for a target that is always up.
    Duration flapPeriod {};
    /// Whether it reports no load at all.
    bool isMisreporting { false };
};

struct ChoiceScenario {
    const char* name { "" };
    /// Demand as a share of the capacity of the targets at full speed.
    double demand { 0.7 };
    /// Share of the demand that arrives in each region.
    std::array<double, simulatedTargets> regions { 1.0 / 3, 1.0 / 3, 1.0 / 3 };
    /// Relative amplitude of the swing of the demand.
    double swing { 0 };
    std::array<TargetBehaviour, simulatedTargets> targets {};
    std::size_t hosts { 6 };
    std::uint64_t seed { 1 };
};

struct ChoiceFigures {
    /// Mean over time of the difference between the most and the fewest busy slots of the targets.
    double spread { 0 };
    /// Share of arrivals at a target that found all slots taken while a usable target had a free one.
    double avoidableShare { 0 };
    /// Mean and 99th percentile of the time to the answer in excess of the service time at full speed.
    double meanWaitMs { 0 };
    double slowestWaitMs { 0 };
    /// Share of statements that ran outside of the region of their host.
    double remoteShare { 0 };
    /// Share of statements without an answer within the time limit.
    double unservedShare { 0 };
};

/// Hosts in six data centres, two in each of three regions, that send reads to a group of one target in each region.
/// Hosts have delayed information: the answers to their own statements, and a report every 1 to 2.5 s.
class TargetChoiceSimulation {
public:
    static constexpr Duration meanService = std::chrono::milliseconds(20);
    static constexpr Duration statementLimit = std::chrono::milliseconds(800);
    static constexpr std::size_t queueCapacity = 16;
    static constexpr Duration length = std::chrono::seconds(22);
    static constexpr Duration warmUp = std::chrono::seconds(2);

    TargetChoiceSimulation(const ChoiceScenario&, const ChooserFactory&);
    ChoiceFigures run();

private:
    struct Host {
        std::size_t dataCentre { 0 };
        KnownTargets known;
        std::unique_ptr<TargetChooser> chooser;
    };
    struct Attempt {
        std::size_t host { 0 };
        std::size_t target { 0 };
        Instant arrivedAt;
        Instant sentAt;
        Duration service {};
        std::array<bool, simulatedTargets> avoided {};
        bool isSent { false };
        bool isDone { false };
    };
    using AttemptPointer = std::shared_ptr<Attempt>;
    struct Target {
        std::size_t busy { 0 };
        /// Number of times that the process ended.
        std::size_t starts { 0 };
        std::vector<AttemptPointer> running;
        std::vector<AttemptPointer> waiting;
    };
    struct Event {
        Instant at;
        std::uint64_t number { 0 };
        std::function<void()> run;
    };
    struct IsLater {
        bool operator()(const Event& left, const Event& right) const
        {
            return left.at != right.at ? left.at > right.at : left.number > right.number;
        }
    };

    void at(Instant, std::function<void()>);
    void arrive();
    void send(const AttemptPointer&);
    void receive(const AttemptPointer&);
    /// The attempt's connection ends or is refused.
    void lose(const AttemptPointer&);
    void goDown(std::size_t target);
    void start(const AttemptPointer&);
    void complete(const AttemptPointer&);
    void finish(Attempt&);
    /// @param isRegular whether the query is repeated after its answer, as opposed to one that follows a failure.
    void query(std::size_t host, std::size_t target, bool isRegular);
    void sampleSpread();
    [[nodiscard]] bool isUp(std::size_t target) const;
    [[nodiscard]] Duration delay(std::size_t host, std::size_t target) const;
    [[nodiscard]] double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    [[nodiscard]] bool isMeasured() const { return m_now >= Instant(warmUp); }

    const ChoiceScenario& m_scenario;
    RandomEngine m_random;
    std::vector<Host> m_hosts;
    std::array<Target, simulatedTargets> m_targets;
    std::priority_queue<Event, std::vector<Event>, IsLater> m_events;
    std::uint64_t m_lastNumber { 0 };
    Instant m_now {};
    std::vector<double> m_waits;
    std::size_t m_unserved { 0 };
    std::size_t m_remote { 0 };
    std::size_t m_arrivals { 0 };
    std::size_t m_avoidable { 0 };
    double m_spread { 0 };
    std::size_t m_spreadSamples { 0 };
};

} // namespace Auburnpost::Proxy
