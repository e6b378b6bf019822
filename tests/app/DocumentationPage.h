#pragma once

#include <string>
#include <vector>

/// A page of the folder docs/.
class DocumentationPage {
public:
    /// @param name file name, such as "EVENTS.md".
    explicit DocumentationPage(const std::string& name);

    /// @return the cells of each table row whose first cell begins with @p start, without surrounding blanks and
    /// backquotes.
    [[nodiscard]] std::vector<std::vector<std::string>> rows(const std::string& start) const;
    /// @return the cells of each table row between the heading and the next one, without header rows.
    [[nodiscard]] std::vector<std::vector<std::string>> rowsBelow(const std::string& heading) const;
    [[nodiscard]] bool contains(const std::string& text) const;

private:
    std::vector<std::string> m_lines;
};
