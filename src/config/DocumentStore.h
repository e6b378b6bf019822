#pragma once

#include "config/Document.h"
#include "config/DocumentProblem.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Auburnpost::Config {

enum class InstallOutcome : std::uint8_t {
    /// The document is now in force.
    Installed,
    /// The host already has this version or a newer one, or rejected this version before.
    NotNewer,
    /// The document is newer but has errors; the current document stays in force.
    Rejected,
};

/// Result of an attempt to install a document.
struct InstallResult {
    InstallOutcome outcome { InstallOutcome::NotNewer };
    std::vector<DocumentProblem> problems;
};

/// The document in force on one host. Its version never decreases.
class DocumentStore {
public:
    /// Installs a document, whatever its source, if it is newer than the one in force and has no errors.
    /// @param bytes the value of the platform's row at @p version.
    InstallResult installIfNewer(ConfigVersion version, std::string bytes);

    [[nodiscard]] bool hasDocument() const { return m_document.version > ConfigVersion(0); }
    /// @return the document in force; an empty document with version 0 before the first one is installed.
    [[nodiscard]] const Document& document() const { return m_document; }
    [[nodiscard]] ConfigVersion version() const { return m_document.version; }
    /// @return the row value that the document in force was parsed from, for sending to peers.
    [[nodiscard]] const std::string& bytes() const { return m_bytes; }
    /// @return whether to fetch a document of this version: it is newer and was not rejected before.
    [[nodiscard]] bool needsVersion(ConfigVersion version) const;

private:
    Document m_document;
    std::string m_bytes;
    /// Rejected versions that are newer than the one in force.
    std::set<ConfigVersion> m_rejected;
};

} // namespace Auburnpost::Config
