#include "config/DocumentStore.h"

#include "base/Invariant.h"
#include "config/DocumentParser.h"

namespace Auburnpost::Config {

InstallResult DocumentStore::installIfNewer(ConfigVersion version, std::string bytes)
{
    if (!needsVersion(version))
        return {};
    auto parsed = parseDocument(bytes, version);
    if (!parsed.isAccepted()) {
        m_rejected.insert(version);
        return { InstallOutcome::Rejected, std::move(parsed.problems) };
    }
    AUBURNPOST_INVARIANT(version > m_document.version, "the installed document reverted to an older version");
    m_document = std::move(parsed.document);
    m_bytes = std::move(bytes);
    m_rejected.erase(m_rejected.begin(), m_rejected.upper_bound(version));
    return { InstallOutcome::Installed, std::move(parsed.problems) };
}

bool DocumentStore::needsVersion(ConfigVersion version) const
{
    return version > m_document.version && !m_rejected.contains(version);
}

} // namespace Auburnpost::Config
