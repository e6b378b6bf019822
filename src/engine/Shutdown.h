#pragma once

#include "base/Time.h"
#include "chart/ChartRunner.h"

#include <optional>
#include <string>

namespace Auburnpost {

/// What a planned stop asks of its host.
class ShutdownOwner {
public:
    virtual ~ShutdownOwner() = default;
    /// Tells the other hosts and the balancer.
    virtual void announceLeave(Instant now) = 0;
    /// Takes no new connections of callers.
    virtual void stopAccepting() = 0;
    /// Something in flight is being cut.
    virtual void reportCut() = 0;
    virtual void stop(bool cutsNothing) = 0;
    [[nodiscard]] virtual bool nothingInFlight() const = 0;
};

/// Times of a planned stop.
struct ShutdownTimes {
    /// From the announcement on callers are still accepted for this long, until the balancer and the others know.
    Duration notice { std::chrono::seconds(2) };
    /// From the first signal to the end, whatever is in flight.
    Duration limit { std::chrono::seconds(30) };
};

/// The planned stop of a host, as the chart shutdown.scxml orders it.
class Shutdown {
public:
    Shutdown(const ShutdownTimes&, ShutdownOwner&);

    /// The process was asked to stop. The second time cuts what is in flight.
    void signal(Instant now);
    void tick(Instant now);
    [[nodiscard]] bool isStopping() const { return m_signalledAt.has_value(); }
    /// @return name of the chart's state.
    [[nodiscard]] const std::string& state() const { return m_chart.state(); }

private:
    struct Moment {
        Instant now;
    };
    using Runner = Chart::ChartRunner<Shutdown, Moment>;

    static Runner bindChart();
    void fire(std::string_view event, Instant now);
    void refuseReadiness(Moment&) { }
    void announceLeave(Moment&);
    void stopAccepting(Moment&);
    void reportCut(Moment&);
    void stop(Moment&);
    [[nodiscard]] bool nothingInFlight(const Moment&) const;

    ShutdownTimes m_times;
    ShutdownOwner& m_owner;
    Runner m_chart;
    std::optional<Instant> m_signalledAt;
    bool m_cut { false };
};

} // namespace Auburnpost
