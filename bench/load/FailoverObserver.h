#pragma once

#include "common/EventLoop.h"
#include "load/Endpoints.h"
#include "load/GroupView.h"
#include "load/HttpClient.h"

#include <map>
#include <optional>

namespace Auburnpost::Load {

/// Times at which the steps of a failover were first observed.
struct FailoverTimes {
    /// A home suspects the primary or has started a failover.
    std::optional<Instant> detected;
    /// A target is fenced at a higher term.
    std::optional<Instant> fenced;
    /// A target is primary in a higher term.
    std::optional<Instant> promoted;
    /// A home accepts writes in a higher term.
    std::optional<Instant> learned;
};

/// Polls the states of a database's targets and homes. Its times are therefore late by up to one polling interval.
class FailoverObserver {
public:
    FailoverObserver(Standin::EventLoop&, const Endpoints&, DatabaseName);

    void start();
    void stop() { m_running = false; }
    /// Records the beginning of the fault. The states polled until now are those before the fault.
    void recordFaultBegin() { m_hasFaultBegun = true; }

    [[nodiscard]] const FailoverTimes& times() const { return m_times; }
    /// @return the highest fenced term before the fault.
    [[nodiscard]] std::uint64_t termBefore() const { return m_termBefore; }
    /// @return the highest fenced term observed.
    [[nodiscard]] std::uint64_t highestTerm() const { return m_highestTerm; }

private:
    void pollTarget(const TargetEndpoint&);
    void pollHost(const HostEndpoint&);
    void onTargetState(const HttpAnswer&);
    void onHostState(const HostName&, const HttpAnswer&);

    Standin::EventLoop& m_loop;
    std::vector<TargetEndpoint> m_targets;
    std::vector<HostEndpoint> m_hosts;
    DatabaseName m_database;
    HttpClient m_client;
    bool m_running { false };
    bool m_hasFaultBegun { false };
    std::uint64_t m_termBefore { 0 };
    std::uint64_t m_highestTerm { 0 };
    /// State of the takeover chart of each home before the fault.
    std::map<HostName, std::string> m_failoverBefore;
    FailoverTimes m_times;
};

} // namespace Auburnpost::Load
