#include "config/DocumentStore.h"

#include "base/Invariant.h"
#include "config/DocumentParser.h"

namespace Auburnpost::Config {

OfferResult DocumentStore::offer(ConfigVersion version, std::string bytes)
{
    if (version <= m_highestSeen)
        return {};
    m_highestSeen = version;
    auto parsed = parseDocument(bytes, version);
    if (!parsed.isAccepted())
        return { OfferVerdict::Refused, std::move(parsed.problems) };
    AUBURNPOST_INVARIANT(version > m_document.version, "the document in force went back to an older version");
    m_document = std::move(parsed.document);
    m_bytes = std::move(bytes);
    return { OfferVerdict::Applied, std::move(parsed.problems) };
}

} // namespace Auburnpost::Config
