#include "DocumentationPage.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace {

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" `");
    if (first == std::string::npos)
        return "";
    return text.substr(first, text.find_last_not_of(" `") - first + 1);
}

std::vector<std::string> cellsOf(const std::string& line)
{
    std::vector<std::string> cells;
    std::istringstream stream(line.substr(1));
    for (std::string cell; std::getline(stream, cell, '|');)
        cells.push_back(trimmed(cell));
    return cells;
}

bool isRow(const std::string& line)
{
    return line.starts_with('|') && !line.starts_with("|---");
}

} // namespace

DocumentationPage::DocumentationPage(const std::string& name)
{
    std::ifstream file(std::string(AUBURNPOST_DOCS) + "/" + name);
    for (std::string line; std::getline(file, line);)
        m_lines.push_back(line);
}

std::vector<std::vector<std::string>> DocumentationPage::rows(const std::string& start) const
{
    std::vector<std::vector<std::string>> rows;
    for (const auto& line : m_lines) {
        if (isRow(line) && cellsOf(line).front().starts_with(start))
            rows.push_back(cellsOf(line));
    }
    return rows;
}

std::vector<std::vector<std::string>> DocumentationPage::rowsBelow(const std::string& heading) const
{
    std::vector<std::vector<std::string>> rows;
    bool isBelowHeading = false;
    bool isBelowHeaderRow = false;
    for (const auto& line : m_lines) {
        if (line.starts_with('#')) {
            isBelowHeading = line == heading;
            isBelowHeaderRow = false;
        }
        if (isBelowHeading && isBelowHeaderRow && isRow(line))
            rows.push_back(cellsOf(line));
        isBelowHeaderRow = isBelowHeaderRow || line.starts_with("|---");
    }
    return rows;
}

bool DocumentationPage::contains(const std::string& text) const
{
    return std::any_of(m_lines.begin(), m_lines.end(),
        [&text](const std::string& line) { return line.find(text) != std::string::npos; });
}
