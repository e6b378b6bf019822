#include "chart/StateChart.h"

#include "chart/ChartReader.h"

#include <set>

namespace Auburnpost::Chart {

Expected<StateChart> StateChart::parse(std::string_view name, std::string_view text)
{
    ChartReader reader(name);
    auto states = reader.read(text);
    if (!states)
        return tl::unexpected(states.error());
    StateChart chart;
    chart.m_name = name;
    chart.m_states = std::move(*states);
    chart.m_initial = reader.initial();
    return chart;
}

std::vector<std::string> StateChart::guardNames() const
{
    std::set<std::string> names;
    for (const auto& state : m_states) {
        for (const auto& transition : state.transitions) {
            if (!transition.guard.empty())
                names.insert(transition.guard);
        }
    }
    return { names.begin(), names.end() };
}

std::vector<std::string> StateChart::actionNames() const
{
    std::set<std::string> names;
    for (const auto& state : m_states) {
        names.insert(state.onEntry.begin(), state.onEntry.end());
        names.insert(state.onExit.begin(), state.onExit.end());
        for (const auto& transition : state.transitions)
            names.insert(transition.actions.begin(), transition.actions.end());
    }
    return { names.begin(), names.end() };
}

} // namespace Auburnpost::Chart
