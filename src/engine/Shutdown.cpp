#include "engine/Shutdown.h"

#include "chart/EmbeddedCharts.h"

namespace Auburnpost {

Shutdown::Shutdown(const ShutdownTimes& times, ShutdownOwner& owner)
    : m_times(times)
    , m_owner(owner)
    , m_chart(bindChart())
{
}

Shutdown::Runner Shutdown::bindChart()
{
    const auto chart = Chart::StateChart::parse("shutdown", Chart::embeddedChart("shutdown"));
    AUBURNPOST_INVARIANT(chart.has_value(), "the embedded chart of the stop is valid");
    Runner::Bindings bindings;
    bindings.guards = { { "nothingInFlight", &Shutdown::nothingInFlight } };
    bindings.actions = { { "refuseReadiness", &Shutdown::refuseReadiness },
        { "announceLeave", &Shutdown::announceLeave }, { "stopAccepting", &Shutdown::stopAccepting },
        { "reportCut", &Shutdown::reportCut }, { "stop", &Shutdown::stop } };
    auto runner = Runner::bind(*chart, std::move(bindings));
    AUBURNPOST_INVARIANT(runner.has_value(), "the chart of the stop is bound");
    return std::move(*runner);
}

void Shutdown::fire(std::string_view event, Instant now)
{
    Moment moment { now };
    m_chart.fire(event, *this, moment);
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
    if (now - *m_signalledAt >= m_times.notice)
        fire("announced", now);
    fire("progress", now);
    if (now - *m_signalledAt >= m_times.limit)
        fire("deadline", now);
}

void Shutdown::announceLeave(Moment& moment)
{
    m_owner.announceLeave(moment.now);
}

void Shutdown::stopAccepting(Moment&)
{
    m_owner.stopAccepting();
}

void Shutdown::reportCut(Moment&)
{
    m_cut = true;
    m_owner.reportCut();
}

void Shutdown::stop(Moment&)
{
    m_owner.stop(!m_cut);
}

bool Shutdown::nothingInFlight(const Moment&) const
{
    return m_owner.nothingInFlight();
}

} // namespace Auburnpost
