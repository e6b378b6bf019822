#pragma once

#include "base/Random.h"
#include "limit/Allotments.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Auburnpost::Limit {

/// What goes wrong in a run of the model, as probabilities for each datagram or expected events for each second.
struct AllotmentFaults {
    double loss { 0 };
    double duplication { 0 };
    /// Probability that a datagram is delayed by up to longDelay.
    double lateness { 0 };
    Duration longDelay {};
    double pausesPerSecond { 0 };
    double crashesPerSecond { 0 };
    double partitionsPerSecond { 0 };
    double joinsPerSecond { 0 };
    double limitChangesPerSecond { 0 };
    /// Time after a join or a change of a limit within which each host learns of it.
    Duration propagation {};
    /// Whether all hosts crash together once in a while.
    bool crashesAllAtOnce { false };
};

struct AllotmentModelSettings {
    std::size_t hosts { 12 };
    std::size_t regions { 3 };
    std::map<OrganisationName, AllotmentLimit> limits;
    AllotmentRules rules { std::chrono::seconds(5), 0.1, 20 };
    /// Demand of each organisation as a multiple of its rate.
    double load { 1 };
    /// Demand comes in the second half of each period of this length, so that unused permits pile up before it; zero
    /// for steady demand.
    Duration loadPeriod {};
    /// Hosts on which an organisation's operations arrive.
    std::size_t hostsPerOrganisation { 12 };
    Duration duration { std::chrono::seconds(60) };
    AllotmentFaults faults;
};

/// Hosts with clocks of their own on a network that loses, delays, duplicates and reorders datagrams. Records which
/// operations were admitted and when.
class AllotmentModel {
public:
    struct Totals {
        std::size_t asked { 0 };
        std::size_t refused { 0 };
        std::size_t datagrams { 0 };
        std::size_t bytes { 0 };
    };
    struct Overrun {
        OrganisationName organisation;
        double admitted { 0 };
        double allowed { 0 };
    };

    AllotmentModel(AllotmentModelSettings, RandomEngine::result_type seed);

    void run();
    /// @return totals from the given time on.
    [[nodiscard]] Totals totalsFrom(Duration) const;
    /// @return the refused operations of each organisation from the given time on, with those asked.
    [[nodiscard]] std::string describeRefusals(Duration from) const;
    /// @return the window of all organisations in which the most was admitted compared with what is allowed.
    [[nodiscard]] Overrun worstWindow() const;

private:
    struct Host {
        std::size_t index { 0 };
        AllotmentHost record;
        Duration clockOffset {};
        double clockRate { 1 };
        std::unique_ptr<Allotments> allotments;
        bool isRunning { true };
        Duration resumesAt {};
        /// Network part of the host while the network is partitioned.
        std::size_t part { 0 };
        std::size_t knownHosts { 0 };
    };
    struct Datagram {
        SocketAddress from;
        SocketAddress to;
        std::string bytes;
    };
    struct Operation {
        Duration at {};
        bool isAdmitted { false };
    };
    struct LimitChange {
        Duration at {};
        AllotmentLimit limit;
    };

    [[nodiscard]] Instant clockOf(const Host&) const;
    double uniform();
    Duration upTo(Duration);
    bool happens(double perSecond);
    void addHost();
    void start(Host&);
    void configure(Host&);
    void injectFaults();
    void step();
    void deliver();
    void demand();
    void send(const Host&, const std::vector<AllotmentMessage>&);
    [[nodiscard]] std::size_t regionOf(const Host& host) const { return host.index % m_settings.regions; }
    [[nodiscard]] double allowed(const OrganisationName&, Duration from) const;

    AllotmentModelSettings m_settings;
    RandomEngine m_random;
    Duration m_now {};
    std::vector<Host> m_hosts;
    std::multimap<Duration, Datagram> m_datagrams;
    /// Time at which each host configures itself anew.
    std::multimap<Duration, std::size_t> m_configurations;
    bool m_isPartitioned { false };
    Duration m_partitionEndsAt {};
    std::map<OrganisationName, std::vector<Operation>> m_operations;
    std::map<OrganisationName, std::vector<LimitChange>> m_changes;
    std::map<OrganisationName, double> m_nextArrival;
    std::vector<std::pair<Duration, std::size_t>> m_sent;
};

} // namespace Auburnpost::Limit
