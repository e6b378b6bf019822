#pragma once

#include "common/EventLoop.h"
#include "load/Arrivals.h"
#include "load/CallerClient.h"
#include "load/ReadChecker.h"
#include "load/ResultTable.h"
#include "load/Workload.h"

#include <functional>
#include <memory>

namespace Auburnpost::Load {

struct LoadSettings {
    std::vector<HostEndpoint> hosts;
    double ratePerSecond { 100 };
    Duration length { std::chrono::seconds(10) };
    Surge surge;
    std::uint64_t seed { 1 };
    /// The time limit that each attempt states.
    Duration requestTimeout { std::chrono::seconds(2) };
    /// How long a keyed write is retried with its key, from its first attempt.
    Duration retryWindow { std::chrono::seconds(15) };
};

/// Makes the requests of a workload at their times and checks the answers.
class LoadRunner {
public:
    using EventSink = std::function<void(const HistoryEvent&)>;

    LoadRunner(Standin::EventLoop&, LoadSettings, Workload);

    /// Called for each request that is over.
    void onEvent(EventSink sink) { m_sink = std::move(sink); }
    /// Starts the arrivals. @param done called when the last request is over.
    void start(std::function<void()> done);

    [[nodiscard]] const ResultTable& table() const { return m_table; }

private:
    struct Running;

    void arrive();
    void scheduleArrival();
    void attempt(const std::shared_ptr<Running>&);
    void onReply(const std::shared_ptr<Running>&, const CallerReply&);
    [[nodiscard]] bool shouldRetry(const Running&, const CallerReply&) const;
    void retryLater(const std::shared_ptr<Running>&, const CallerReply&);
    void finish(Running&, const CallerReply&);
    void checkDone();

    Standin::EventLoop& m_loop;
    LoadSettings m_settings;
    Workload m_workload;
    RandomEngine m_random;
    HttpClient m_client;
    ReadChecker m_checker;
    ResultTable m_table;
    std::unique_ptr<Arrivals> m_arrivals;
    Instant m_nextArrival;
    Instant m_end;
    std::size_t m_running { 0 };
    EventSink m_sink;
    std::function<void()> m_done;
};

} // namespace Auburnpost::Load
