#pragma once

#include <string_view>
#include <vector>

namespace Auburnpost::Chart {

/// A chart file that is part of the program.
struct EmbeddedChart {
    /// Name of the file without its suffix.
    std::string_view name;
    std::string_view text;
};

/// @return every chart of src/chart/charts. EmbeddedCharts.cpp is made by scripts/embed-charts.py.
const std::vector<EmbeddedChart>& embeddedCharts();

/// @return the text of the chart; empty when there is none of that name.
std::string_view embeddedChart(std::string_view name);

} // namespace Auburnpost::Chart
