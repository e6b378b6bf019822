#pragma once

#include "config/Document.h"
#include "config/DocumentProblem.h"

#include <cstdint>
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
    /// Takes a document from whatever source if it is newer than all before and has no errors.
    /// @param bytes the row's value under @p version.
    OfferResult offer(ConfigVersion version, std::string bytes);

    [[nodiscard]] bool hasDocument() const { return m_document.version > ConfigVersion(0); }
    /// @return the document in force; an empty one of version 0 before the first.
    [[nodiscard]] const Document& document() const { return m_document; }
    [[nodiscard]] ConfigVersion version() const { return m_document.version; }
    /// @return the value that the document in force was read from, to hand on to a peer.
    [[nodiscard]] const std::string& bytes() const { return m_bytes; }
    /// @return the highest version offered, refused ones included.
    [[nodiscard]] ConfigVersion highestSeen() const { return m_highestSeen; }

private:
    Document m_document;
    std::string m_bytes;
    ConfigVersion m_highestSeen;
};

} // namespace Auburnpost::Config
