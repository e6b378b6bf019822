#include "config/DocumentStore.h"

#include "base/Invariant.h"
#include "config/DocumentParser.h"

namespace Auburnpost::Config {

OfferResult DocumentStore::offer(ConfigVersion version, std::string bytes)
{
    if (!wants(version))
        return {};
    auto parsed = parseDocument(bytes, version);
    if (!parsed.isAccepted()) {
        m_refused.insert(version);
        return { OfferVerdict::Refused, std::move(parsed.problems) };
    }
    AUBURNPOST_INVARIANT(version > m_document.version, "the document in force went back to an older version");
    m_document = std::move(parsed.document);
    m_bytes = std::move(bytes);
    m_refused.erase(m_refused.begin(), m_refused.upper_bound(version));
    return { OfferVerdict::Applied, std::move(parsed.problems) };
}

bool DocumentStore::wants(ConfigVersion version) const
{
    return version > m_document.version && !m_refused.contains(version);
}

} // namespace Auburnpost::Config
