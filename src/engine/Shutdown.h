#pragma once

#include "base/Time.h"
#include "chart/ChartRunner.h"

#include <optional>
#include <string>

namespace Auburnpost {

/// Operations that Shutdown requires from its host.
class ShutdownDelegate {
public:
    virtual ~ShutdownDelegate() = default;
    /// Announces the shutdown to the other hosts and the load balancer.
    virtual void announceLeave(Instant now) = 0;
    /// Stops accepting connections of callers.
    virtual void stopAccepting() = 0;
    /// Reports that requests or operations in flight are aborted.
    virtual void reportForcedShutdown() = 0;
    /// Ends the process.
    /// @param isGraceful whether the shutdown aborted nothing.
    virtual void stop(bool isGraceful) = 0;
    [[nodiscard]] virtual bool nothingInFlight() const = 0;
};

/// Time limits of a planned shutdown.
struct ShutdownTimes {
    /// Time after the announcement during which callers are still accepted, until the load balancer and the other hosts
    /// know of it.
    Duration noticePeriod { std::chrono::seconds(2) };
    /// Maximum time from the first signal to the end of the process, whatever is in flight.
    Duration limit { std::chrono::seconds(30) };
};

/// The planned shutdown of a host, as the chart shutdown.scxml defines it.
class Shutdown {
public:
    Shutdown(const ShutdownTimes&, ShutdownDelegate&);

    /// Handles a request to shut down. The second one aborts what is in flight.
    void signal(Instant now);
    void tick(Instant now);
    [[nodiscard]] bool isStopping() const { return m_signalledAt.has_value(); }
    /// @return name of the chart's current state.
    [[nodiscard]] const std::string& state() const { return m_chart.state(); }

private:
    struct Context {
        Instant now;
    };
    using Runner = Chart::ChartRunner<Shutdown, Context>;

    static Runner bindChart();
    void fire(std::string_view event, Instant now);
    void refuseReadiness(Context&) { }
    void announceLeave(Context&);
    void stopAccepting(Context&);
    void reportForcedShutdown(Context&);
    void stop(Context&);
    [[nodiscard]] bool nothingInFlight(const Context&) const;

    ShutdownTimes m_times;
    ShutdownDelegate& m_delegate;
    Runner m_chart;
    std::optional<Instant> m_signalledAt;
    bool m_wasForced { false };
};

} // namespace Auburnpost
