#pragma once

#include "group/EventQueue.h"
#include "proxy/LogReplication.h"
#include "proxy/PromotionOrders.h"
#include "proxy/ProxyChecker.h"
#include "proxy/SimulatedCaller.h"
#include "proxy/SimulatedHost.h"
#include "proxy/SimulatedMembership.h"
#include "proxy/SimulatedStore.h"

#include <memory>
#include <random>

namespace Auburnpost::Proxy {

/// What the simulation assumes of the group's members.
enum class MembershipModel : std::uint8_t {
    /// Always the same targets, whose log the replicas have as soon as they receive it.
    Fixed,
    /// Targets that join and leave, report to the store, and send their log over the network.
    Changing,
};

/// Simulates hosts, the targets of one group, the platform's store and callers, in simulated time.
class ProxySimulation {
public:
    static constexpr std::size_t targetCount = 3;
    static constexpr std::size_t hostCount = 3;
    static constexpr std::size_t callersPerHost = 6;
    /// Upper bound of the numbers by which units of callers name their first session.
    static constexpr std::uint64_t maxSessions = 1000;
    static constexpr std::size_t syncReplicas = 1;
    /// One-way network delay between two processes.
    static constexpr Duration oneWayDelay = std::chrono::milliseconds(5);
    static constexpr Duration promotionDelay = std::chrono::milliseconds(300);

    /// @param promotionDelay time from the platform's acceptance of a promotion to its effect.
    explicit ProxySimulation(std::uint64_t seed, Duration promotionDelay = ProxySimulation::promotionDelay,
        MembershipModel = MembershipModel::Fixed);
    ~ProxySimulation();

    void run(Duration);
    /// Injects one random fault of random duration.
    void injectFault();
    void crashPrimary();
    /// Pauses the next host that makes a promotion call, while the connection for the call is being opened.
    void pauseNextPromotionCaller(Duration length) { m_promotionCallerPause = length; }
    /// Calls the function with the next host whose promotion call the platform accepts.
    void onNextPromotionCall(std::function<void(std::size_t host)> function)
    {
        m_onNextPromotionCall = std::move(function);
    }
    /// Calls the function with the next host that demotes a primary.
    void onNextDemotion(std::function<void(std::size_t host)> function) { m_onNextDemotion = std::move(function); }
    /// Lets events wait for the hosts from now on, as for busy processes.
    void delayHandling()
    {
        m_delaysHandling = true;
        for (auto& host : m_hosts)
            host->delayHandling(m_random());
    }
    /// Lets the list of targets of the host grow old.
    void keepList(std::size_t host, Duration length) { m_hosts.at(host)->keepList(now() + length); }
    [[nodiscard]] PromotionOrders& orders() { return m_orders; }
    [[nodiscard]] SimulatedMembership& membership() { return m_membership; }
    /// Cuts the targets from each other, or connects them again.
    void setCut(const TargetName&, const TargetName&, bool isCut);
    /// Cuts the host from the target, or connects them again.
    void setHostCut(std::size_t host, const TargetName&, bool isCut);
    void pauseHost(std::size_t host, Duration length) { m_hosts.at(host)->pause(now() + length); }
    /// Cuts the host from the store, the targets and the other hosts.
    void isolateHost(std::size_t host, Duration length);
    /// Lets hosts relay connections for each other, or not.
    void setRelaying(bool isRelaying) { m_isRelaying = isRelaying; }
    [[nodiscard]] bool isRelaying() const { return m_isRelaying; }
    /// Kills a host's process and starts it again without memory.
    void restartHost(std::size_t host, Duration downTime);
    /// Waits until all faults have ended, stops the callers, lets the group recover, and checks the primary's log.
    void recoverAndCheck();

    // For hosts and callers.
    [[nodiscard]] Instant now() const { return m_queue.now(); }
    void after(Duration delay, Group::EventQueue::Task task) { m_queue.after(delay, std::move(task)); }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] Duration between(Duration low, Duration high);
    [[nodiscard]] ProxyChecker& checker() { return m_checker; }
    [[nodiscard]] FakeTarget* target(const TargetName&);
    [[nodiscard]] bool isCut(std::size_t host, const TargetName& target) const;
    [[nodiscard]] SimulatedStore& store() { return m_store; }
    [[nodiscard]] const std::map<TargetName, FakeTarget>& targets() const { return m_targets; }
    [[nodiscard]] LogReplication& replication() { return m_replication; }
    [[nodiscard]] bool hasChangingMembers() const { return m_model == MembershipModel::Changing; }
    /// @return whether the host reaches neither the targets nor the other hosts.
    [[nodiscard]] bool isIsolated(std::size_t host) const;
    /// @return whether a host was started so late that it may not have seen a target that left or lost its record.
    [[nodiscard]] bool hasNewHost() const;
    /// @return the name of the first target at the address of the given one; cuts apply to the address.
    [[nodiscard]] const TargetName& machineOf(const TargetName&) const;
    [[nodiscard]] bool areCut(const TargetName&, const TargetName&) const;
    /// Starts a target with an empty log.
    void addTarget(const TargetName&, std::size_t number);
    /// Starts a target that ended again at its address, under a new name and with its log.
    FakeTarget& renameTarget(const TargetName& from, const TargetName& to);
    /// @return the target that runs at the address of the given one.
    [[nodiscard]] FakeTarget* targetAtAddressOf(const TargetName&);
    /// @return the primary of the highest term; null when there is none.
    [[nodiscard]] FakeTarget* currentPrimary();
    /// @return the term of the last promotion that took effect.
    [[nodiscard]] Term promotedTerm() const { return m_promotedTerm; }
    /// Handles a promotion call of a host.
    /// @return what the platform answers; empty if it does not answer.
    std::optional<PromotionOutcome> promote(const TargetName&, std::uint64_t token, std::size_t host);
    /// Prints the text and the state of the targets if PROXY_TRACE is set.
    void trace(const std::string& text) const;
    [[nodiscard]] std::optional<Duration> takePromotionCallerPause()
    {
        return std::exchange(m_promotionCallerPause, {});
    }
    /// Appends a commit to the log of a primary.
    /// @param done called once enough replicas have the commit; never called if that does not happen.
    void commit(const TargetName&, const std::vector<std::string>& writes, std::function<void(LogPoint)> done);
    void recordDemotion(std::size_t host)
    {
        if (const auto function = std::exchange(m_onNextDemotion, {}))
            function(host);
    }
    void sendStatement(
        std::size_t host, SessionId session, const Session::StatementId& id, const Session::Statement& statement)
    {
        m_hosts.at(host)->receiveStatement(session, id, statement);
    }
    [[nodiscard]] Proxy& hostProxy(std::size_t host) { return m_hosts.at(host)->proxy(); }
    [[nodiscard]] const SimulatedHost& host(std::size_t host) const { return *m_hosts.at(host); }
    /// @return whether the host is paused or being restarted.
    [[nodiscard]] bool isHostPaused(std::size_t host) const { return m_hosts.at(host)->isPaused(); }
    /// @return a unique id for a write.
    [[nodiscard]] std::string nextWrite() { return "w" + std::to_string(++m_writes); }
    [[nodiscard]] SimulatedCaller& caller(std::size_t host, SessionId id)
    {
        return *m_callers.at({ host, id.value() });
    }

private:
    struct UnacknowledgedCommit {
        TargetName primary;
        LogPoint point;
        std::function<void(LogPoint)> done;
    };

    void replicate();
    /// @return the primary that the target follows; null when it reaches none.
    [[nodiscard]] FakeTarget* sourceOf(const TargetName&);
    void acknowledgeCommits();
    [[nodiscard]] FakeTarget& chooseFaultTarget();

    MembershipModel m_model;
    Group::EventQueue m_queue;
    std::mt19937_64 m_random;
    SimulatedStore m_store;
    PromotionOrders m_orders;
    LogReplication m_replication;
    SimulatedMembership m_membership;
    ProxyChecker m_checker;
    std::map<TargetName, FakeTarget> m_targets;
    std::map<TargetName, TargetName> m_machines;
    std::vector<std::unique_ptr<SimulatedHost>> m_hosts;
    /// Hosts that were killed; messages that they sent before are still on their way.
    std::vector<std::unique_ptr<SimulatedHost>> m_killedHosts;
    std::map<std::pair<std::size_t, std::uint64_t>, std::unique_ptr<SimulatedCaller>> m_callers;
    std::set<std::pair<std::size_t, TargetName>> m_cutHosts;
    std::map<std::size_t, Instant> m_isolatedUntil;
    std::optional<Instant> m_hostStartedAt;
    std::set<std::pair<TargetName, TargetName>> m_cutTargets;
    std::set<TargetName> m_notReceiving;
    std::vector<UnacknowledgedCommit> m_unacknowledged;
    std::uint64_t m_writes { 0 };
    std::optional<Duration> m_promotionCallerPause;
    std::function<void(std::size_t)> m_onNextPromotionCall;
    std::function<void(std::size_t)> m_onNextDemotion;
    bool m_delaysHandling { false };
    Term m_promotedTerm;
    bool m_isViolationTraced { false };
    bool m_isRelaying { true };
    std::map<TargetName, Instant> m_newerPrimarySeenSince;
};

} // namespace Auburnpost::Proxy
