#pragma once

#include "base/Random.h"
#include "common/EventLoop.h"
#include "load/CallerClient.h"

#include <functional>
#include <map>

namespace Auburnpost::Load {

/// Sends one keyed write at each interval through hosts drawn at random, and keeps when writes were acknowledged.
class FailoverProbe {
public:
    struct Settings {
        std::vector<HostEndpoint> hosts;
        OrganisationAccess organisation;
        DatabaseName database;
        std::string run;
        Duration interval { std::chrono::milliseconds(10) };
        Duration requestTimeout { std::chrono::seconds(2) };
    };

    FailoverProbe(Standin::EventLoop&, Settings, RandomEngine&);

    /// Called for each write that is over.
    void onEvent(std::function<void(const HistoryEvent&)> sink) { m_sink = std::move(sink); }
    void start();
    void stop() { m_running = false; }
    /// From now on an acknowledged write counts as after the fault when it was invoked after @p begin.
    void faultBegan(Instant begin) { m_faultBegin = begin; }

    /// @return when the first write invoked after the fault was acknowledged.
    [[nodiscard]] std::optional<Instant> firstAcknowledged() const { return m_firstAcknowledged; }
    /// @return the longest time without an acknowledgement that ended after the fault began.
    [[nodiscard]] Duration longestSilence() const { return m_longestSilence; }
    [[nodiscard]] std::uint64_t count(Outcome) const;
    [[nodiscard]] std::size_t pending() const { return m_client.pending(); }

private:
    void tick();
    void send();
    void onReply(HistoryEvent, const CallerReply&);
    void noteAcknowledged(const HistoryEvent&);

    Standin::EventLoop& m_loop;
    Settings m_settings;
    RandomEngine& m_random;
    HttpClient m_client;
    std::function<void(const HistoryEvent&)> m_sink;
    bool m_running { false };
    Instant m_next;
    std::uint64_t m_lastWrite { 0 };
    std::map<Outcome, std::uint64_t> m_counts;
    std::optional<Instant> m_faultBegin;
    std::optional<Instant> m_firstAcknowledged;
    std::optional<Instant> m_lastAcknowledged;
    Duration m_longestSilence {};
};

} // namespace Auburnpost::Load
