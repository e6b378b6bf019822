#pragma once

#include "base/Random.h"
#include "common/EventLoop.h"
#include "load/CallerClient.h"

#include <functional>
#include <map>

namespace Auburnpost::Load {

/// Sends one keyed write per interval to a host drawn at random, and records when writes are acknowledged.
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

    /// Sets the function that is called for each completed write.
    void onEvent(std::function<void(const HistoryEvent&)> sink) { m_sink = std::move(sink); }
    void start();
    void stop() { m_running = false; }
    /// Records the beginning of the fault. Writes invoked after @p begin count as writes after the fault.
    void recordFaultBegin(Instant begin) { m_faultBegin = begin; }

    /// @return when the first write invoked after the beginning of the fault was acknowledged; empty while there is
    /// none.
    [[nodiscard]] std::optional<Instant> firstAcknowledged() const { return m_firstAcknowledged; }
    /// @return the longest time between two consecutive acknowledgements, the second of which came after the beginning
    /// of the fault.
    [[nodiscard]] Duration longestSilence() const { return m_longestSilence; }
    /// @return the number of completed writes with this outcome.
    [[nodiscard]] std::uint64_t count(Outcome) const;
    /// @return the number of writes without an answer.
    [[nodiscard]] std::size_t pending() const { return m_client.pending(); }

private:
    void sendDueWrites();
    void send();
    void onReply(HistoryEvent, const CallerReply&);
    void recordAcknowledgement(const HistoryEvent&);

    Standin::EventLoop& m_loop;
    Settings m_settings;
    RandomEngine& m_random;
    HttpClient m_client;
    std::function<void(const HistoryEvent&)> m_sink;
    bool m_running { false };
    Instant m_nextWrite;
    std::uint64_t m_lastWrite { 0 };
    std::map<Outcome, std::uint64_t> m_counts;
    std::optional<Instant> m_faultBegin;
    std::optional<Instant> m_firstAcknowledged;
    std::optional<Instant> m_lastAcknowledged;
    Duration m_longestSilence {};
};

} // namespace Auburnpost::Load
