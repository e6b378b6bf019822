#pragma once

#include "chart/StateChart.h"

#include <map>
#include <optional>
#include <pugixml.hpp>

namespace Auburnpost::Chart {

/// Turns an SCXML document into states; one reader reads one chart.
class ChartReader {
public:
    explicit ChartReader(std::string_view chartName);

    /// @return the states, or the first error found.
    Expected<std::vector<State>> read(std::string_view text);
    /// @return index of the state in which the chart read last starts.
    [[nodiscard]] std::size_t initial() const { return m_initial; }

private:
    using Check = std::optional<Error>;

    Check readStates(const pugi::xml_node& parent, std::size_t depth, std::size_t parentIndex);
    Check readState(const pugi::xml_node&, std::size_t depth, std::size_t parentIndex);
    Check resolveInitial(const pugi::xml_node&, std::size_t& initial, const std::string& owner);
    Check readBehaviour(const pugi::xml_node& root);
    Check readTransitions(const pugi::xml_node&, State&, std::size_t index);
    Check readActions(const pugi::xml_node&, std::vector<std::string>&) const;
    Check checkReachable() const;
    [[nodiscard]] Error problem(const std::string& message) const;

    std::string m_chartName;
    std::vector<State> m_states;
    std::vector<pugi::xml_node> m_nodes;
    std::map<std::string, std::size_t> m_indexes;
    std::size_t m_initial { 0 };
};

} // namespace Auburnpost::Chart
