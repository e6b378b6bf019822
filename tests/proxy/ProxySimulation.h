#pragma once

#include "group/EventQueue.h"
#include "proxy/ProxyChecker.h"
#include "proxy/SimulatedCaller.h"
#include "proxy/SimulatedHost.h"

#include <memory>
#include <random>

namespace Auburnpost::Proxy {

/// Simulates hosts, the targets of one group, the platform's store and callers, in simulated time.
class ProxySimulation {
public:
    static constexpr std::size_t targetCount = 3;
    static constexpr std::size_t hostCount = 3;
    static constexpr std::size_t callersPerHost = 6;
    static constexpr std::size_t syncReplicas = 1;
    /// One-way network delay between two processes.
    static constexpr Duration oneWayDelay = std::chrono::milliseconds(5);
    static constexpr Duration promotionDelay = std::chrono::milliseconds(300);

    /// @param promotionDelay time from the platform's acceptance of a promotion to its effect.
    explicit ProxySimulation(std::uint64_t seed, Duration promotionDelay = ProxySimulation::promotionDelay);
    ~ProxySimulation();

    void run(Duration);
    /// Injects one random fault of random duration.
    void injectFault();
    void crashPrimary();
    /// Pauses the next host that makes a promotion call, while the connection for the call is being opened.
    void pauseNextPromotionCaller(Duration length) { m_promotionCallerPause = length; }
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
    [[nodiscard]] bool storeAnswers() const { return m_storeAnswers; }
    [[nodiscard]] std::vector<StoreRow> targetRows() const;
    [[nodiscard]] RowVersion storeVersion() const { return RowVersion(m_storeVersion); }
    [[nodiscard]] PromotionLeaseRow lease() const { return m_leaseRow; }
    std::optional<RowVersion> writeLease(const PromotionLease&, RowVersion expected);
    void promote(const TargetName&, std::uint64_t token, const std::string& holder);
    [[nodiscard]] std::optional<Duration> takePromotionCallerPause()
    {
        return std::exchange(m_promotionCallerPause, {});
    }
    /// Appends a commit to the log of a primary.
    /// @param done called once enough replicas have the commit; never called if that does not happen.
    void commit(const TargetName&, const std::vector<std::string>& writes, std::function<void(LogPoint)> done);
    [[nodiscard]] Proxy& hostProxy(std::size_t host) { return m_hosts.at(host)->proxy(); }
    [[nodiscard]] const SimulatedHost& host(std::size_t host) const { return *m_hosts.at(host); }
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

    /// Prints the text and the state of the targets if PROXY_TRACE is set.
    void trace(const std::string& text) const;
    void replicate();
    void acknowledgeCommits();
    [[nodiscard]] FakeTarget& chooseFaultTarget();
    [[nodiscard]] FakeTarget* currentPrimary();

    Duration m_promotionDelay;
    Group::EventQueue m_queue;
    std::mt19937_64 m_random;
    ProxyChecker m_checker;
    std::map<TargetName, FakeTarget> m_targets;
    std::vector<std::unique_ptr<SimulatedHost>> m_hosts;
    std::map<std::pair<std::size_t, std::uint64_t>, std::unique_ptr<SimulatedCaller>> m_callers;
    std::set<std::pair<std::size_t, TargetName>> m_cutHosts;
    std::set<std::pair<TargetName, TargetName>> m_cutTargets;
    std::set<TargetName> m_notReceiving;
    std::vector<UnacknowledgedCommit> m_unacknowledged;
    bool m_storeAnswers { true };
    std::uint64_t m_storeVersion { 1 };
    std::uint64_t m_writes { 0 };
    std::optional<Duration> m_promotionCallerPause;
    PromotionLeaseRow m_leaseRow;
    std::map<TargetName, Instant> m_newerPrimarySeenSince;
};

} // namespace Auburnpost::Proxy
