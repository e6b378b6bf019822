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

/// One accepted edit, as the stored row remembers it.
struct EditRecord {
    /// Unique for each edit.
    std::string id;
    /// The section that was replaced; empty when it was the whole document.
    std::string section;
    /// Version of the row that the edit made.
    ConfigVersion version;
};

/// The row config/document of the platform's table: the sections and the history that makes edits idempotent.
class StoredDocument {
public:
    static constexpr std::size_t rememberedEdits = 64;

    /// @param bytes the row's value; empty text is a row that does not exist yet.
    /// @return the document, or ErrorCode::BadDocument for a value of another form.
    static Expected<StoredDocument> parse(std::string_view bytes, ConfigVersion);

    [[nodiscard]] ConfigVersion version() const { return m_version; }
    [[nodiscard]] const Json& sections() const { return m_sections; }
    /// @return the version at which the section was last changed; with an empty name, the latest of all sections.
    [[nodiscard]] ConfigVersion sectionVersion(const std::string& section) const;
    /// @return the version that this edit made, if the row remembers the edit.
    [[nodiscard]] std::optional<ConfigVersion> findEdit(const std::string& id) const;
    /// @return whether the row remembers each edit made after @p version.
    [[nodiscard]] bool remembersAllSince(ConfigVersion version) const;

    /// @param section the section to replace; empty for the whole document.
    /// @param sections object that holds the new sections by name.
    /// @return the document that the edit makes of this one, one version higher.
    [[nodiscard]] StoredDocument withEdit(
        const std::string& id, const std::string& section, const Json& sections) const;
    /// @return the row's value.
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
