#pragma once

#include "config/Document.h"
#include "config/DocumentProblem.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Auburnpost::Config {

enum class OfferVerdict : std::uint8_t {
    /// The document is in force now.
    Applied,
    /// The host has it already, or a newer one.
    NotNewer,
    /// It is newer and has errors; the one in force stays.
    Refused,
};

/// What became of a document that was offered to a host.
struct OfferResult {
    OfferVerdict verdict { OfferVerdict::NotNewer };
    std::vector<DocumentProblem> problems;
};

/// The document in force on one host. Its version only rises.
class DocumentStore {
public:
    /// Takes a document from whatever source if it is newer than the one in force and has no errors.
    /// @param bytes the row's value under @p version.
    OfferResult offer(ConfigVersion version, std::string bytes);

    [[nodiscard]] bool hasDocument() const { return m_document.version > ConfigVersion(0); }
    /// @return the document in force; an empty one of version 0 before the first.
    [[nodiscard]] const Document& document() const { return m_document; }
    [[nodiscard]] ConfigVersion version() const { return m_document.version; }
    /// @return the value that the document in force was read from, to hand on to a peer.
    [[nodiscard]] const std::string& bytes() const { return m_bytes; }
    /// @return whether a document of this version is worth fetching: it is newer and was not refused before.
    [[nodiscard]] bool wants(ConfigVersion version) const;

private:
    Document m_document;
    std::string m_bytes;
    /// Versions above the one in force that had errors.
    std::set<ConfigVersion> m_refused;
};

} // namespace Auburnpost::Config
