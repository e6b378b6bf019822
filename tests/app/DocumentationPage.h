#pragma once

#include <string>
#include <vector>

/// One page of docs/.
class DocumentationPage {
public:
    /// @param name file name, such as "EVENTS.md".
    explicit DocumentationPage(const std::string& name);

    /// @return the cells of each table row whose first cell begins with @p start, without blanks and backquotes around.
    [[nodiscard]] std::vector<std::vector<std::string>> rows(const std::string& start) const;
    /// @return the cells of each row below the heading, up to the next one; header rows left out.
    [[nodiscard]] std::vector<std::vector<std::string>> rowsUnder(const std::string& heading) const;
    [[nodiscard]] bool contains(const std::string& text) const;

private:
    std::vector<std::string> m_lines;
};
