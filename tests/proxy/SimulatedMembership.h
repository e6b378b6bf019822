#pragma once

#include "proxy/FakeTarget.h"

#include <optional>

namespace Auburnpost::Proxy {

class ProxySimulation;

/// Targets that join, leave, crash, and report to the store. A target receives the log, and counts for
/// acknowledgements, from its start, whatever the store lists.
class SimulatedMembership {
public:
    /// A record disappears after this long without a report of its target.
    static constexpr Duration lapseTimeout = std::chrono::milliseconds(1500);
    /// Time from the store's acceptance of a target's report that it is leaving until its process ends.
    static constexpr Duration drain = std::chrono::seconds(7);

    explicit SimulatedMembership(ProxySimulation&);

    /// Starts a target.
    /// @param recordDelay time from its start until it first reports to the store.
    TargetName join(Duration recordDelay);
    /// Makes a target report that it is leaving, and ends it later. Its log ends with it.
    void leave(const TargetName&, Duration drainTime = drain);
    /// Replaces the targets one after another; each new one joins before the old one leaves.
    void release(std::vector<TargetName>, Duration recordDelay, Duration drainTime = drain);
    /// Stops a target's reports to the store, so that its record disappears while the target works.
    void cutFromStore(const TargetName&, Duration);
    /// Crashes a target, which is started again with its log: as a replica if another target was promoted meanwhile.
    /// @param isRenamed whether it then has a new name, at its address.
    void crash(const TargetName&, Duration, bool isRenamed = false);
    /// Makes the targets report, and removes the records of those that are silent.
    void update();

    /// @return whether a running target has no record, or one that the store has not accepted yet.
    [[nodiscard]] bool hasUnlistedTarget() const;
    [[nodiscard]] bool isCrashed() const;
    /// @return whether another running target has every acknowledged commit, so that the hosts can keep these commits
    /// without the given one. While a host is new, that target needs a record.
    [[nodiscard]] bool isDispensable(const TargetName&) const;
    /// @return the running targets that have not announced their shutdown.
    [[nodiscard]] std::vector<TargetName> staying() const;

private:
    struct Reports {
        Instant startAt {};
        Instant cutUntil {};
        std::optional<Instant> silentSince;
        bool isWriting { false };
        std::optional<Duration> drain;
        bool isEndScheduled { false };
    };

    void report(const TargetName&, const FakeTarget&, Reports&);
    void end(const TargetName&);
    void restart(const TargetName&, bool isRenamed);

    ProxySimulation& m_simulation;
    std::map<TargetName, Reports> m_reports;
    std::uint64_t m_joined { 0 };
    std::uint64_t m_renamed { 0 };
};

} // namespace Auburnpost::Proxy
