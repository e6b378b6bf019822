#pragma once

#include "common/EventLoop.h"
#include "load/Endpoints.h"
#include "load/GroupView.h"
#include "load/HttpClient.h"

#include <map>
#include <optional>

namespace Auburnpost::Load {

/// When the steps of a change of primary were first seen.
struct TakeoverTimes {
    /// A home suspects the primary, or has begun a takeover.
    std::optional<Instant> detected;
    /// A target is fenced to a higher term.
    std::optional<Instant> fenced;
    /// A target is primary in a higher term.
    std::optional<Instant> promoted;
    /// A home takes writes in a higher term.
    std::optional<Instant> learnt;
};

/// Polls the states of a database's targets and homes, so its times are late by up to one interval.
class TakeoverObserver {
public:
    TakeoverObserver(Standin::EventLoop&, const Endpoints&, DatabaseName);

    void start();
    void stop() { m_running = false; }
    /// What was seen until now is what was before the fault.
    void faultBegan() { m_faultBegan = true; }

    [[nodiscard]] const TakeoverTimes& times() const { return m_times; }
    [[nodiscard]] std::uint64_t termBefore() const { return m_termBefore; }
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
    bool m_faultBegan { false };
    std::uint64_t m_termBefore { 0 };
    std::uint64_t m_highestTerm { 0 };
    /// State of each home's takeover chart before the fault.
    std::map<HostName, std::string> m_takeoverBefore;
    TakeoverTimes m_times;
};

} // namespace Auburnpost::Load
