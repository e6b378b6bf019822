#pragma once

#include "process/ConfigHistory.h"
#include "process/ConfigSite.h"

#include <functional>
#include <random>

namespace Auburnpost::Test {

/// The faults of a run: their kinds, and how often they occur.
struct ConfigFaults {
    /// Kinds of faults of a host or of its calls to the store, by name.
    std::vector<std::string> ofHosts;
    /// Kinds of faults of the store for all hosts, by name.
    std::vector<std::string> ofStore;
    std::chrono::milliseconds hostInterval { 2000 };
    std::chrono::milliseconds storeInterval { 14000 };
};

/// The operator and the faults of a run. A seed decides what is done and when.
class ConfigDriver {
public:
    ConfigDriver(
        ConfigSite&, ConfigDocument initial, std::vector<std::string> databases, ConfigFaults, std::uint64_t seed);

    /// Edits the configuration and brings faults about for a time, then ends all faults.
    void runFor(std::chrono::milliseconds);

    [[nodiscard]] const std::vector<ConfigEdit>& edits() const { return m_edits; }
    [[nodiscard]] const std::vector<Disturbance>& disturbances() const { return m_disturbances; }
    /// @return how often each kind of fault occurred, as text.
    [[nodiscard]] std::string faultCounts() const;

private:
    using Milliseconds = std::chrono::milliseconds;
    using HostFault = void (ConfigDriver::*)(std::size_t host, Moment now);
    using StoreFaultStep = void (ConfigDriver::*)(Moment now);

    static const std::map<std::string, HostFault>& hostFaults();
    static const std::map<std::string, StoreFaultStep>& storeFaults();

    [[nodiscard]] Milliseconds pick(int leastMs, int mostMs);
    void at(Moment, std::function<void()>);
    void repeat(Moment first, Milliseconds interval, const std::function<void()>&);
    void disturb(std::size_t host, Moment from, Moment until, const std::string& cause);

    void writeVersion();
    void edit();
    void startHostFault();
    void startStoreFault();

    void stopHost(std::size_t host, Moment now);
    void starveHost(std::size_t host, Moment now);
    void killHost(std::size_t host, Moment now);
    void reloadHost(std::size_t host, Moment now);
    void pauseBetween(std::size_t host, Moment from, Moment until);
    void disturbStoreFor(std::size_t host, Moment now, StoreFault, const std::string& cause);
    void silenceStoreFor(std::size_t host, Moment now);
    void refuseTooManyOf(std::size_t host, Moment now);
    void refuseUnavailable(std::size_t host, Moment now);
    void resetStoreFor(std::size_t host, Moment now);
    void delayStoreFor(std::size_t host, Moment now);
    /// Leaves the changes out of the answers to the host's polls. The host stays in touch.
    void hideChangesFrom(std::size_t host, Moment now);

    void silenceStore(Moment now);
    /// Silences the store for long enough that the timeouts of calls have grown, and leaves further calls unanswered.
    void failCallsInSeries(Moment now);
    void loseHistory(Moment now);
    void restoreCopy(Moment now);

    ConfigSite& m_site;
    ConfigDocument m_document;
    std::vector<std::string> m_databases;
    ConfigFaults m_faults;
    std::mt19937_64 m_random;
    std::multimap<Moment, std::function<void()>> m_actions;
    /// Until then the operator writes nothing.
    Moment m_quietUntil;
    /// Hosts that have faults; the others stay in touch.
    std::vector<std::size_t> m_faultyHosts;
    std::vector<int> m_pauses;
    std::vector<ConfigEdit> m_edits;
    std::vector<Disturbance> m_disturbances;
    std::map<std::string, int> m_faultCounts;
};

} // namespace Auburnpost::Test
