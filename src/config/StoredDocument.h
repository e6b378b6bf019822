#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "config/Json.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// An accepted edit in the edit history of the stored row.
struct EditRecord {
    /// Unique for each edit.
    std::string id;
    /// The replaced section; empty if the whole document was replaced.
    std::string section;
    /// Version of the row that the edit created.
    ConfigVersion version;
};

/// The row config/document of the platform's table: the sections, and the edit history that makes edits idempotent.
class StoredDocument {
public:
    /// Number of edits kept in the history.
    static constexpr std::size_t editHistoryLimit = 64;

    /// @param bytes the row's value; empty if the row does not exist yet.
    /// @return the document, or ErrorCode::BadDocument if @p bytes are malformed.
    static Expected<StoredDocument> parse(std::string_view bytes, ConfigVersion);

    [[nodiscard]] ConfigVersion version() const { return m_version; }
    [[nodiscard]] const Json& sections() const { return m_sections; }
    /// @param section name of the section; empty for the whole document.
    /// @return the version at which the section was last changed.
    [[nodiscard]] ConfigVersion sectionVersion(const std::string& section) const;
    /// @return the version that the edit created, if the history contains the edit.
    [[nodiscard]] std::optional<ConfigVersion> findEdit(const std::string& id) const;
    /// @return whether the history contains every edit after @p version.
    [[nodiscard]] bool hasAllEditsSince(ConfigVersion version) const;

    /// @param id id of the edit.
    /// @param section the section to replace; empty for the whole document.
    /// @param sections JSON object with the new sections by name.
    /// @return the document after the edit, with the next version.
    [[nodiscard]] StoredDocument withEdit(
        const std::string& id, const std::string& section, const Json& sections) const;
    /// @return the document serialized as the row's value.
    [[nodiscard]] std::string toText() const;

private:
    void readHistory(const Json& history);

    ConfigVersion m_version;
    Json m_sections = Json::object();
    std::map<std::string, ConfigVersion> m_sectionVersions;
    /// In the order of their versions.
    std::vector<EditRecord> m_edits;
};

} // namespace Auburnpost::Config
