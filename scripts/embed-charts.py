#!/usr/bin/env python3
"""Writes src/chart/EmbeddedCharts.cpp from the files of src/chart/charts. Run it after a change to one of them."""
import pathlib

top = pathlib.Path(__file__).resolve().parent.parent
lines = [
    '#include "chart/EmbeddedCharts.h"',
    "",
    "// clang-format off",
    "namespace Auburnpost::Chart {",
    "",
    "const std::vector<EmbeddedChart>& embeddedCharts()",
    "{",
    "    static const std::vector<EmbeddedChart> charts {",
]
for path in sorted((top / "src/chart/charts").glob("*.scxml")):
    lines.append(f'        {{ "{path.stem}", R"scxml({path.read_text()})scxml" }},')
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
