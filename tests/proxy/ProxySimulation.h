#pragma once

#include "group/EventQueue.h"
#include "proxy/ProxyChecker.h"
#include "proxy/SimulatedCaller.h"
#include "proxy/SimulatedHost.h"

#include <memory>
#include <random>

namespace Auburnpost::Proxy {

/// Hosts, targets of one group, the platform's store and callers on simulated time.
class ProxySimulation {
public:
    static constexpr std::size_t targetCount = 3;
    static constexpr std::size_t hostCount = 3;
    static constexpr std::size_t callersPerHost = 6;
    static constexpr std::size_t syncReplicas = 1;
    /// One way between two processes.
    static constexpr Duration hop = std::chrono::milliseconds(5);
    static constexpr Duration promotionDelay = std::chrono::milliseconds(300);

    /// @param promotionDelay from the platform's acceptance of a promotion to its effect.
    explicit ProxySimulation(std::uint64_t seed, Duration promotionDelay = ProxySimulation::promotionDelay);
    ~ProxySimulation();

    void run(Duration);
    /// Brings about one random fault, and its end after a while.
    void strike();
    void crashPrimary();
    /// The next host that calls for a promotion stops for so long while its connection is set up.
    void freezeNextCaller(Duration length) { m_freezeOfCaller = length; }
    /// Ends every fault, lets the hosts settle, and checks the logs.
    void finish();

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
    [[nodiscard]] ClaimRow claim() const { return m_claim; }
    std::optional<RowVersion> writeClaim(const Claim&, RowVersion expected);
    void promote(const TargetName&, std::uint64_t token, const std::string& holder);
    [[nodiscard]] std::optional<Duration> takeFreezeOfCaller() { return std::exchange(m_freezeOfCaller, {}); }
    /// Commits on a primary.
    /// @param done called once enough replicas hold it; not at all when they never do.
    void commit(const TargetName&, const std::vector<std::string>& writes, std::function<void(LogPoint)> done);
    [[nodiscard]] Proxy& hostProxy(std::size_t host) { return m_hosts.at(host)->proxy(); }
    [[nodiscard]] const SimulatedHost& host(std::size_t host) const { return *m_hosts.at(host); }
    [[nodiscard]] bool isHostFrozen(std::size_t host) const { return m_hosts.at(host)->isFrozen(); }
    /// @return the id of a write that no other has.
    [[nodiscard]] std::string nextWrite() { return "w" + std::to_string(++m_writes); }
    [[nodiscard]] SimulatedCaller& caller(std::size_t host, SessionId id)
    {
        return *m_callers.at({ host, id.value() });
    }

private:
    struct Pending {
        TargetName primary;
        LogPoint point;
        std::function<void(LogPoint)> done;
    };

    /// Prints the text and the targets when PROXY_TRACE is set.
    void trace(const std::string& text) const;
    void replicate();
    void settlePending();
    [[nodiscard]] FakeTarget& anyTarget();
    [[nodiscard]] FakeTarget* leader();

    Duration m_promotionDelay;
    Group::EventQueue m_queue;
    std::mt19937_64 m_random;
    ProxyChecker m_checker;
    std::map<TargetName, FakeTarget> m_targets;
    std::vector<std::unique_ptr<SimulatedHost>> m_hosts;
    std::map<std::pair<std::size_t, std::uint64_t>, std::unique_ptr<SimulatedCaller>> m_callers;
    std::set<std::pair<std::size_t, TargetName>> m_cutHosts;
    std::set<std::pair<TargetName, TargetName>> m_cutTargets;
    std::set<TargetName> m_deaf;
    std::vector<Pending> m_pending;
    bool m_storeAnswers { true };
    std::uint64_t m_storeVersion { 1 };
    std::uint64_t m_writes { 0 };
    std::optional<Duration> m_freezeOfCaller;
    ClaimRow m_claim;
    std::map<TargetName, Instant> m_reachesLeaderSince;
};

} // namespace Auburnpost::Proxy
