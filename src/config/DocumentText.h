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

/// JSON that an operator or the platform handed in: a whole document, or one section of it.
class DocumentText {
public:
    /// @param section the section that the text is; empty for a whole document.
    explicit DocumentText(std::string_view text, std::string section = {});

    /// @return the sections that the text holds, by name.
    [[nodiscard]] const Json& sections() const { return m_sections; }
    /// @return the version that a whole document names.
    [[nodiscard]] std::optional<ConfigVersion> version() const { return m_version; }
    /// @return the faults of the text itself; its sections are not checked yet.
    [[nodiscard]] const std::vector<DocumentProblem>& problems() const { return m_problems; }
    /// Fills in the line of each problem that lies in this text.
    void locate(std::vector<DocumentProblem>&) const;

private:
    void readWhole(const Json& root);
    void report(std::string path, std::string message);

    std::string m_section;
    LineIndex m_index;
    Json m_sections = Json::object();
    std::optional<ConfigVersion> m_version;
    std::vector<DocumentProblem> m_problems;
};

} // namespace Auburnpost::Config
