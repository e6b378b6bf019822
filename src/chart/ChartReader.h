#pragma once

#include "chart/StateChart.h"

#include <map>
#include <optional>
#include <pugixml.hpp>

namespace Auburnpost::Chart {

/// Parses an SCXML document into states. Each instance reads one chart.
class ChartReader {
public:
    explicit ChartReader(std::string_view chartName);

    /// @return the states, or the first error found.
    Expected<std::vector<State>> read(std::string_view text);
    /// @return index of the state in which the chart starts.
    [[nodiscard]] std::size_t initial() const { return m_initial; }

private:
    /// The first error found; empty when there is none.
    using OptionalError = std::optional<Error>;

    OptionalError readStates(const pugi::xml_node& parent, std::size_t depth, std::size_t parentIndex);
    OptionalError readState(const pugi::xml_node&, std::size_t depth, std::size_t parentIndex);
    OptionalError resolveInitial(const pugi::xml_node&, std::size_t& initial, const std::string& owner);
    /// Reads the initial state, actions and transitions of all states, once their names are known.
    OptionalError readBehaviour(const pugi::xml_node& root);
    OptionalError readTransitions(const pugi::xml_node&, State&, std::size_t index);
    OptionalError readActions(const pugi::xml_node&, std::vector<std::string>&) const;
    /// @return an error that names the first state that can't be reached.
    OptionalError checkReachable() const;
    [[nodiscard]] Error makeError(const std::string& message) const;

    std::string m_chartName;
    std::vector<State> m_states;
    /// The element of each state, in the same order.
    std::vector<pugi::xml_node> m_nodes;
    std::map<std::string, std::size_t> m_indexes;
    std::size_t m_initial { 0 };
};

} // namespace Auburnpost::Chart
