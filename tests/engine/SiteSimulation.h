#pragma once

#include "engine/Engine.h"
#include "engine/FakeSqlTarget.h"
#include "engine/SiteChecker.h"
#include "group/FakeNetwork.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Auburnpost {

/// A site of engines, simulated targets and a simulated platform on simulated time, with callers whose sessions move
/// between hosts. Connections deliver in order and stall while cut; datagrams and messages between hosts can be lost.
class SiteSimulation {
public:
    struct Options {
        std::uint64_t seed { 1 };
        std::size_t hosts { 4 };
        std::size_t callers { 5 };
        Duration replicationLag { std::chrono::milliseconds(5) };
    };

    explicit SiteSimulation(const Options&);
    ~SiteSimulation();

    void run(Duration);
    /// Injects one random fault.
    void injectRandomFault();
    /// Ends every fault.
    void healAll();
    /// Lets callers finish and checks the whole history against the final log.
    void finish();
    void stopCallers() { m_callersActive = false; }

    void killPrimary();
    void killTarget(std::size_t);
    void restartTarget(std::size_t);
    void freezeTarget(std::size_t, Duration);
    void cutTarget(std::size_t, bool fromHosts, bool fromTargets);
    /// Isolates a host together with one target from all other hosts and targets.
    void isolate(std::size_t host, std::size_t target);
    /// Sends callers' requests to this host only; empty removes the restriction.
    void restrictCallersTo(std::optional<std::size_t> host) { m_onlyHost = host; }
    void killHost(std::size_t);
    void restartHost(std::size_t);
    void freezeHost(std::size_t, Duration);
    /// For @p duration each answer of a target is lost with probability @p share, together with its connection and
    /// after the command took effect.
    void dropAnswers(double share, Duration duration);
    void setPlatformDown(bool isDown) { m_isPlatformDown = isDown; }
    void setLag(std::size_t target, Duration lag) { m_targets[target]->lag = lag; }
    void stopHost(std::size_t);
    /// Publishes a document with this maintenance section.
    void setMaintenance(const std::string& json);

    [[nodiscard]] std::optional<std::size_t> primaryIndex() const;
    [[nodiscard]] const SiteChecker& checker() const { return m_checker; }
    [[nodiscard]] RandomEngine& random() { return m_random; }
    [[nodiscard]] const FakeSqlTarget& target(std::size_t index) const { return m_targets[index]->target; }
    [[nodiscard]] bool isHostAlive(std::size_t index) const { return m_hosts[index].engine != nullptr; }
    /// @return exit status of a host that has shut down by itself; empty before.
    [[nodiscard]] std::optional<int> exitStatus(std::size_t index) const { return m_hosts[index].exitStatus; }
    [[nodiscard]] const std::string& dump(std::size_t host);

private:
    struct TargetNode {
        explicit TargetNode(TargetName name)
            : target(std::move(name))
        {
        }
        FakeSqlTarget target;
        bool alive { true };
        std::uint64_t generation { 0 };
        Duration lag {};
    };
    /// One connection of a host to a target, with the time of the last delivery in each direction.
    struct Link {
        std::size_t target { 0 };
        std::uint64_t targetGeneration { 0 };
        bool open { false };
        Instant lastToTarget {};
        Instant lastToHost {};
    };
    struct HostNode {
        std::string name;
        std::unique_ptr<Engine> engine;
        std::uint64_t incarnation { 1000 };
        std::uint64_t generation { 0 };
        std::map<ConnectionId, Link> links;
        std::optional<int> exitStatus;
    };
    struct Caller {
        std::string session;
        std::vector<std::string> ownFacts;
    };
    /// One request of a caller, with all its retries.
    struct Job {
        std::size_t caller { 0 };
        CallerRequest request;
        std::string fact;
        bool isWrite { false };
        bool isKeyed { false };
        bool wasEverUnknown { false };
        int attemptsLeft { 0 };
        std::size_t host { 0 };
        std::vector<std::string> requiredFacts;
    };
    using JobPointer = std::shared_ptr<Job>;

    static constexpr std::size_t targetCount = 3;

    Config::Settings settingsOf(std::size_t host) const;
    std::string documentText() const;
    void startHost(std::size_t);
    void tickHost(std::size_t host, std::uint64_t generation);
    void post(std::size_t host, Event);
    /// Runs @p task on the host after @p delay, or later while the host is frozen; skipped when the host was killed or
    /// restarted.
    void onHost(std::size_t host, Duration delay, std::function<void()> task);
    void perform(std::size_t host, Action);
    void perform(std::size_t host, const CallerAnswer&);
    void perform(std::size_t host, const OpenConnection&);
    void perform(std::size_t host, const CloseConnection&);
    void perform(std::size_t host, const TargetCommand&);
    void perform(std::size_t host, const SendToPeer&);
    void perform(std::size_t host, const DisconnectPeer&) { (void)host; }
    void perform(std::size_t host, const SendGossip&);
    void perform(std::size_t host, const PlatformCall&);
    void perform(std::size_t host, const AnswerOperator&) { (void)host; }
    void perform(std::size_t host, const LogRecord&) { (void)host; }
    void perform(std::size_t host, const DrainCallers&) { (void)host; }
    void perform(std::size_t host, const ExitProcess&);
    void deliverToTarget(std::size_t host, const TargetCommand&, std::uint64_t hostGeneration);
    void deliverToHost(std::size_t host, ConnectionId, Event, std::uint64_t hostGeneration);
    void dropLinks(std::size_t target);
    void dropLink(std::size_t host, ConnectionId);
    [[nodiscard]] bool isCut(std::size_t host, std::size_t target) const;
    [[nodiscard]] std::optional<std::size_t> hostByPort(std::uint16_t port) const;
    [[nodiscard]] std::optional<std::size_t> targetByName(const TargetName&) const;
    void replicateLogs();
    void checkReadiness();
    std::size_t chooseHost();
    void startJob(std::size_t caller);
    void sendJob(const JobPointer&);
    void handleJobAnswer(const JobPointer&, const CallerAnswer&);
    void handleJobFailure(const JobPointer&, bool unknown);
    void scheduleNextJob(std::size_t caller);

    Options m_options;
    RandomEngine m_random;
    Group::EventQueue m_queue;
    Group::FakeNetwork m_network;
    std::vector<std::unique_ptr<TargetNode>> m_targets;
    std::vector<HostNode> m_hosts;
    std::vector<Caller> m_callers;
    std::map<std::pair<std::size_t, RequestId>, JobPointer> m_jobs;
    std::set<std::pair<std::size_t, std::size_t>> m_targetCuts;
    std::set<std::pair<std::size_t, std::size_t>> m_hostTargetCuts;
    SiteChecker m_checker;
    double m_answerLossShare { 0 };
    Instant m_answerLossEnd {};
    bool m_isPlatformDown { false };
    std::uint64_t m_documentVersion { 1 };
    std::string m_maintenance { "{}" };
    std::uint64_t m_lastRequest { 0 };
    std::uint64_t m_lastFact { 0 };
    bool m_callersActive { true };
    std::optional<std::size_t> m_onlyHost;
    /// The hosts that were ready at the load balancer's last check.
    std::vector<std::size_t> m_ready;
    std::string m_dump;
};

} // namespace Auburnpost
