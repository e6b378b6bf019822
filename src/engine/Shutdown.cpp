#include "engine/Shutdown.h"

#include "chart/EmbeddedCharts.h"

namespace Auburnpost {

Shutdown::Shutdown(const ShutdownTimes& times, ShutdownDelegate& delegate)
    : m_times(times)
    , m_delegate(delegate)
    , m_chart(bindChart())
{
}

Shutdown::Runner Shutdown::bindChart()
{
    const auto chart = Chart::StateChart::parse("shutdown", Chart::embeddedChart("shutdown"));
    AUBURNPOST_INVARIANT(chart.has_value(), "the embedded shutdown chart is valid");
    Runner::Bindings bindings;
    bindings.guards = { { "nothingInFlight", &Shutdown::nothingInFlight } };
    bindings.actions = { { "refuseReadiness", &Shutdown::refuseReadiness },
        { "announceLeave", &Shutdown::announceLeave }, { "stopAccepting", &Shutdown::stopAccepting },
        { "reportCut", &Shutdown::reportForcedShutdown }, { "stop", &Shutdown::stop } };
    auto runner = Runner::bind(*chart, std::move(bindings));
    AUBURNPOST_INVARIANT(runner.has_value(), "the shutdown chart is bound");
    return std::move(*runner);
}

void Shutdown::fire(std::string_view event, Instant now)
{
    Context context { now };
    m_chart.fire(event, *this, context);
}

void Shutdown::signal(Instant now)
{
    if (!m_signalledAt)
        m_signalledAt = now;
    fire("signal", now);
}

void Shutdown::tick(Instant now)
{
    if (!m_signalledAt)
        return;
    if (now - *m_signalledAt >= m_times.noticePeriod)
        fire("announced", now);
    fire("progress", now);
    if (now - *m_signalledAt >= m_times.limit)
        fire("deadline", now);
}

void Shutdown::announceLeave(Context& context)
{
    m_delegate.announceLeave(context.now);
}

void Shutdown::stopAccepting(Context&)
{
    m_delegate.stopAccepting();
}

void Shutdown::reportForcedShutdown(Context&)
{
    m_wasForced = true;
    m_delegate.reportForcedShutdown();
}

void Shutdown::stop(Context&)
{
    m_delegate.stop(!m_wasForced);
}

bool Shutdown::nothingInFlight(const Context&) const
{
    return m_delegate.nothingInFlight();
}

} // namespace Auburnpost
