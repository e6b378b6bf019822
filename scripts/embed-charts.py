#!/usr/bin/env python3
"""Generates src/chart/EmbeddedCharts.cpp from the charts in src/chart/charts. Run it after each change of a chart."""
import pathlib

top = pathlib.Path(__file__).resolve().parent.parent
charts = sorted((top / "src/chart/charts").glob("*.scxml"))
lines = ['#include "chart/EmbeddedCharts.h"', "", "// clang-format off", "namespace Auburnpost::Chart {", "", "namespace {", ""]
for path in charts:
    lines += [f'constexpr std::string_view {path.stem}Text = R"scxml({path.read_text()})scxml";', ""]
lines += ["} // namespace", "", "const std::vector<EmbeddedChart>& embeddedCharts()", "{"]
lines += ["    static const std::vector<EmbeddedChart> charts {"]
lines += [f'        {{ "{path.stem}", {path.stem}Text }},' for path in charts]
lines += [
    "    };",
    "    return charts;",
    "}",
    "",
    "std::string_view embeddedChart(std::string_view name)",
    "{",
    "    for (const auto& chart : embeddedCharts()) {",
    "        if (chart.name == name)",
    "            return chart.text;",
    "    }",
    "    return {};",
    "}",
    "",
    "} // namespace Auburnpost::Chart",
    "",
]
(top / "src/chart/EmbeddedCharts.cpp").write_text("\n".join(lines))
