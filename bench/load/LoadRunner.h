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
    /// Time limit stated in each attempt.
    Duration requestTimeout { std::chrono::seconds(2) };
    /// Time after the first attempt of a keyed write during which it is retried with its key.
    Duration retryWindow { std::chrono::seconds(15) };
};

/// Sends the requests of a workload at their arrival times and checks the answers.
class LoadRunner {
public:
    using EventSink = std::function<void(const HistoryEvent&)>;

    LoadRunner(Standin::EventLoop&, LoadSettings, Workload);

    /// Sets the function that is called for each completed request.
    void onEvent(EventSink sink) { m_sink = std::move(sink); }
    /// Starts the arrivals. @param done called when the last request has completed.
    void start(std::function<void()> done);

    [[nodiscard]] const ResultTable& table() const { return m_table; }

private:
    struct ActiveRequest;

    void startDueRequests();
    void scheduleArrival();
    void attempt(const std::shared_ptr<ActiveRequest>&);
    void onReply(const std::shared_ptr<ActiveRequest>&, const CallerReply&);
    [[nodiscard]] bool shouldRetry(const ActiveRequest&, const CallerReply&) const;
    void retryLater(const std::shared_ptr<ActiveRequest>&, const CallerReply&);
    void finish(ActiveRequest&, const CallerReply&);
    void notifyIfDone();

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
    std::size_t m_activeRequests { 0 };
    EventSink m_sink;
    std::function<void()> m_done;
};

} // namespace Auburnpost::Load
