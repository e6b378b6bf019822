#pragma once

#include <string_view>
#include <vector>

namespace Auburnpost::Chart {

/// A chart file that is compiled into the program.
struct EmbeddedChart {
    /// Name of the file without its suffix.
    std::string_view name;
    std::string_view text;
};

/// @return every chart of src/chart/charts. scripts/embed-charts.py generates EmbeddedCharts.cpp.
const std::vector<EmbeddedChart>& embeddedCharts();

/// @return the text of the chart; empty when there is none of that name.
std::string_view embeddedChart(std::string_view name);

} // namespace Auburnpost::Chart
