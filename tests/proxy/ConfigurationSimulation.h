#pragma once

#include "group/EventQueue.h"
#include "proxy/CallFault.h"
#include "proxy/ConfigurationCaller.h"
#include "proxy/ConfigurationChecker.h"
#include "proxy/ConfigurationHost.h"
#include "proxy/ConfigurationStore.h"
#include "proxy/SeriesFailure.h"

#include <deque>
#include <memory>
#include <set>

namespace Auburnpost::Proxy {

/// The hosts and the faults of a schedule.
struct ConfigurationScenario {
    /// Half of them in each data centre. From 20 hosts on, most follow the tables at feeders.
    std::size_t hosts { 6 };
    bool hostsPause { false };
    bool hostsRestart { false };
    bool storeFails { false };
    bool storeReturnsFromCopy { false };
    /// Whether further calls for tables fail after the store has come back.
    bool callsFailInSeries { false };
    /// Connections of each host to the store.
    std::size_t storeConnections { 6 };
    /// Whether targets admit too few connections for every host, so that sessions on two groups are forwarded to homes.
    bool hasHomes { true };
};

/// Several proxies in simulated time in front of one store whose configuration is edited all the time, with callers at
/// each host.
class ConfigurationSimulation {
public:
    static constexpr std::size_t databaseCount = 5;
    /// From a caller to its host.
    static constexpr Duration callerDelay = std::chrono::microseconds(300);

    ConfigurationSimulation(std::uint64_t seed, const ConfigurationScenario&);
    ~ConfigurationSimulation();

    /// Runs a schedule of edits and faults.
    void run(Duration length);
    /// Loses the calls of one host to the store, and the answers to those in progress.
    void silenceStore(std::size_t host, Duration length);
    /// Makes the next calls of a host for tables fail once the store answers it again, and loses its queries of other
    /// hosts for a time.
    void failCalls(std::size_t host, std::deque<SeriesFailure> series, Duration peersSilence);

    /// Makes the calls of a host for the configuration end in one of the ways, chosen anew for each call, although the
    /// host and the store are undisturbed.
    void breakFollowing(std::size_t host, std::vector<CallFault> faults, Duration length);

    [[nodiscard]] Instant now() const { return m_queue.now(); }
    void after(Duration delay, std::function<void()> task) { m_queue.after(delay, std::move(task)); }
    [[nodiscard]] Duration between(Duration low, Duration high);
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] ConfigurationChecker& checker() { return m_checker; }
    [[nodiscard]] std::size_t hostCount() const { return m_scenario.hosts; }
    [[nodiscard]] ConfigurationHost& host(std::size_t index) { return *m_hosts.at(index); }
    static HostName hostName(std::size_t index) { return HostName(std::to_string(index)); }
    static std::size_t indexOf(const HostName& name) { return std::stoul(name.value()); }
    static DataCentreName dataCentreOf(std::size_t host) { return DataCentreName(host % 2 == 0 ? "west" : "east"); }
    [[nodiscard]] Duration delayBetween(std::size_t left, std::size_t right) const;

    // The store.
    [[nodiscard]] ConfigurationStore& store() { return m_store; }
    [[nodiscard]] Duration storeDelay(std::size_t host) const;
    [[nodiscard]] std::size_t storeConnections() const { return m_scenario.storeConnections; }
    /// @return how the host's next call for a table fails; empty if it does not fail by itself.
    [[nodiscard]] std::optional<SeriesFailure> nextFailure(std::size_t host, bool isRead);
    /// @return how the host's next call for a table ends while its following is broken.
    [[nodiscard]] std::optional<CallFault> nextCallFault(std::size_t host, StoreTable);
    [[nodiscard]] bool isStoreSilent(std::size_t host) const { return m_storeFaults[host].silentUntil > now(); }
    [[nodiscard]] bool isStoreRefusing(std::size_t host) const { return m_storeFaults[host].refusingUntil > now(); }
    [[nodiscard]] bool arePeersSilent(std::size_t host) const { return m_storeFaults[host].peersSilentUntil > now(); }
    [[nodiscard]] Catalog catalog(std::size_t version) const;
    [[nodiscard]] static TargetRecord targetOf(const GroupName&);

    // Callers.
    [[nodiscard]] DatabaseName chooseDatabase();
    SessionId addSession(ConfigurationCaller&);
    void forgetSession(SessionId id) { m_sessions.erase(id); }
    Session::StatementId addStatement(const ConfigurationChecker::Request&);
    [[nodiscard]] SessionId nextForwardedSession() { return SessionId(forwardedIdBase + ++m_lastForwardedSession); }
    [[nodiscard]] static bool isForwarded(SessionId id) { return id.value() > forwardedIdBase; }
    void statementRun(const Session::StatementId&, const GroupName&, const ConfigurationChecker::Decider& decider);
    void accepted(SessionId);
    void refused(SessionId, const Session::Failure&, const ConfigurationChecker::Decider& decider);
    void answered(SessionId, const Session::Answer&, const ConfigurationChecker::Decider& decider);
    void closed(SessionId);

private:
    static constexpr std::uint64_t forwardedIdBase = 1'000'000'000;

    struct StoreFault {
        Instant silentUntil;
        Instant refusingUntil;
        Instant slowUntil;
        Duration delay {};
        /// How the first calls after the fault fail.
        std::deque<SeriesFailure> series;
        /// How calls for the configuration end until then.
        std::vector<CallFault> callFaults;
        Instant callFaultsUntil;
        /// Until then the host's queries of other hosts are lost as well.
        Instant peersSilentUntil;
    };

    [[nodiscard]] std::size_t index(std::size_t count);
    void trace(const std::string&) const;
    [[nodiscard]] ConfigurationCaller* callerOf(SessionId);
    void edit();
    void writeConfiguration();
    void writeTargets();
    /// Writes a target's record again from time to time, which raises the store's version.
    void renewTarget();
    void saveCopies();
    void injectFaults();
    void injectFault();
    void pauseHost();
    void restartHost();
    void disturbStore();
    /// Makes the next calls of the hosts fail in random series.
    void failCallsInSeries(std::size_t first, std::size_t end);
    void returnFromCopy();

    Group::EventQueue m_queue;
    RandomEngine m_random;
    ConfigurationScenario m_scenario;
    /// Longest time from one edit to the next, and from one series of faults to the next.
    Duration m_maxEditGap;
    Duration m_maxFaultGap;
    ConfigurationStore m_store;
    std::vector<StoreFault> m_storeFaults;
    /// Whether the store has lost the latest configuration and the operator has not written it again yet.
    bool m_isConfigurationLost { false };
    ConfigurationChecker m_checker;
    std::vector<std::unique_ptr<ConfigurationHost>> m_hosts;
    std::vector<std::unique_ptr<ConfigurationHost>> m_killedHosts;
    std::vector<std::unique_ptr<ConfigurationCaller>> m_callers;
    std::map<SessionId, ConfigurationCaller*> m_sessions;
    std::map<Session::StatementId, ConfigurationChecker::Request> m_statements;
    std::uint64_t m_lastSession { 0 };
    std::uint64_t m_lastForwardedSession { 0 };
};

} // namespace Auburnpost::Proxy
