#include "config/StoredDocument.h"

#include "config/DocumentParser.h"

#include <algorithm>

namespace Auburnpost::Config {

Expected<StoredDocument> StoredDocument::parse(std::string_view bytes, ConfigVersion version)
{
    StoredDocument stored;
    stored.m_version = version;
    if (bytes.empty())
        return stored;
    try {
        const auto root = Json::parse(bytes);
        stored.m_sections = root.at("sections");
        if (!stored.m_sections.is_object())
            return fail(ErrorCode::BadDocument, "read stored document", "platform", "sections is no object");
        if (const auto history = root.find("history"); history != root.end())
            stored.readHistory(*history);
    } catch (const Json::exception& problem) {
        return fail(ErrorCode::BadDocument, "read stored document", "platform", problem.what());
    }
    return stored;
}

void StoredDocument::readHistory(const Json& history)
{
    for (const auto& [section, version] : history.at("section_versions").items())
        m_sectionVersions[section] = ConfigVersion(version.get<std::uint64_t>());
    for (const auto& edit : history.at("edits"))
        m_edits.push_back({ edit.at("id").get<std::string>(), edit.at("section").get<std::string>(),
            ConfigVersion(edit.at("version").get<std::uint64_t>()) });
}

ConfigVersion StoredDocument::sectionVersion(const std::string& section) const
{
    if (section.empty()) {
        ConfigVersion latest;
        for (const auto name : sectionNames())
            latest = std::max(latest, sectionVersion(std::string(name)));
        return latest;
    }
    const auto found = m_sectionVersions.find(section);
    // A row that was written without an edit history may have changed any section.
    return found == m_sectionVersions.end() ? m_version : found->second;
}

std::optional<ConfigVersion> StoredDocument::findEdit(const std::string& id) const
{
    const auto found
        = std::find_if(m_edits.begin(), m_edits.end(), [&id](const EditRecord& edit) { return edit.id == id; });
    if (found == m_edits.end())
        return std::nullopt;
    return found->version;
}

bool StoredDocument::hasAllEditsSince(ConfigVersion version) const
{
    const auto recorded = std::count_if(
        m_edits.begin(), m_edits.end(), [version](const EditRecord& edit) { return edit.version > version; });
    return static_cast<std::uint64_t>(recorded) == m_version.value() - version.value();
}

StoredDocument StoredDocument::withEdit(const std::string& id, const std::string& section, const Json& sections) const
{
    StoredDocument next;
    next.m_version = ConfigVersion(m_version.value() + 1);
    next.m_sections = section.empty() ? Json::object() : m_sections;
    for (const auto& [name, value] : sections.items())
        next.m_sections[name] = value;
    for (const auto name : sectionNames()) {
        const std::string text(name);
        const bool isReplaced = section.empty() || section == text;
        next.m_sectionVersions[text] = isReplaced ? next.m_version : sectionVersion(text);
    }
    const auto dropped = m_edits.size() < editHistoryLimit ? 0 : m_edits.size() - editHistoryLimit + 1;
    next.m_edits.assign(m_edits.begin() + static_cast<std::ptrdiff_t>(dropped), m_edits.end());
    next.m_edits.push_back({ id, section, next.m_version });
    return next;
}

std::string StoredDocument::toText() const
{
    Json versions = Json::object();
    for (const auto& [section, version] : m_sectionVersions)
        versions[section] = version.value();
    Json edits = Json::array();
    for (const auto& edit : m_edits)
        edits.push_back({ { "id", edit.id }, { "section", edit.section }, { "version", edit.version.value() } });
    const Json history { { "section_versions", versions }, { "edits", edits } };
    return Json { { "sections", m_sections }, { "history", history } }.dump();
}

} // namespace Auburnpost::Config
