#include "config/DocumentText.h"

#include "config/DocumentParser.h"

namespace Auburnpost::Config {

namespace {

    constexpr std::string_view sectionsPath = "/sections/";

    /// Creates a problem from a path in the whole document, which is split into the section and the path inside it.
    DocumentProblem problemAt(const std::string& path, int line, std::string message)
    {
        DocumentProblem problem { ProblemSeverity::Error, "", path, line, std::move(message) };
        if (path.starts_with(sectionsPath)) {
            const auto slash = path.find('/', sectionsPath.size());
            problem.section = path.substr(sectionsPath.size(), slash - sectionsPath.size());
            problem.path = slash == std::string::npos ? "" : path.substr(slash);
        }
        return problem;
    }

} // namespace

DocumentText::DocumentText(std::string_view text, std::string section)
    : m_section(std::move(section))
    , m_index(text)
{
    for (const auto& fault : m_index.faults())
        m_problems.push_back({ ProblemSeverity::Error, m_section, "", fault.line, fault.message });
    if (!m_problems.empty())
        return;
    for (const auto& duplicate : m_index.duplicates()) {
        auto problem = problemAt(duplicate.path, duplicate.line, "given twice");
        if (!m_section.empty())
            problem = { ProblemSeverity::Error, m_section, duplicate.path, duplicate.line, "given twice" };
        m_problems.push_back(std::move(problem));
    }
    auto root = Json::parse(text);
    if (m_section.empty())
        readDocument(root);
    else
        m_sections[m_section] = std::move(root);
}

void DocumentText::readDocument(const Json& root)
{
    JsonReader reader("", m_problems);
    const JsonNode node { &root, "" };
    reader.rejectUnknownMembers(node, { "version", "sections", "history" });
    if (const auto version = reader.find(node, "version")) {
        if (version->value->is_number_unsigned())
            m_version = ConfigVersion(version->value->get<std::uint64_t>());
        else
            reader.error(version->path, "must be a whole number");
    }
    const auto sections = reader.require(node, "sections");
    if (!sections)
        return;
    for (const auto& [name, section] : reader.members(*sections)) {
        if (isSection(name))
            m_sections[name] = *section.value;
        else
            reader.error(section.path, "unknown section");
    }
    locate(m_problems);
}

void DocumentText::locate(std::vector<DocumentProblem>& problems) const
{
    for (auto& problem : problems) {
        if (problem.line > 0)
            continue;
        if (!m_section.empty()) {
            problem.line = problem.section == m_section ? m_index.line(problem.path) : 0;
        } else {
            const auto prefix = problem.section.empty() ? "" : std::string(sectionsPath) + problem.section;
            problem.line = m_index.line(prefix + problem.path);
        }
    }
}

} // namespace Auburnpost::Config
