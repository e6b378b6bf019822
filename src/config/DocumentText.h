#pragma once

#include "base/Ids.h"
#include "config/DocumentProblem.h"
#include "config/JsonReader.h"
#include "config/LineIndex.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// JSON text from an operator or the platform: a whole document or a single section.
class DocumentText {
public:
    /// @param section name of the section that @p text contains; empty for a whole document.
    explicit DocumentText(std::string_view text, std::string section = {});

    /// @return the sections of the text by name.
    [[nodiscard]] const Json& sections() const { return m_sections; }
    /// @return the version stated in a whole document, if any.
    [[nodiscard]] std::optional<ConfigVersion> version() const { return m_version; }
    /// @return syntax errors, duplicate members and unknown members; the contents of the sections are not checked.
    [[nodiscard]] const std::vector<DocumentProblem>& problems() const { return m_problems; }
    /// Sets the line of each problem that is located in this text.
    void locate(std::vector<DocumentProblem>&) const;

private:
    void readDocument(const Json& root);
    void report(std::string path, std::string message);

    std::string m_section;
    LineIndex m_index;
    Json m_sections = Json::object();
    std::optional<ConfigVersion> m_version;
    std::vector<DocumentProblem> m_problems;
};

} // namespace Auburnpost::Config
