#include "proxy/Organisations.h"

namespace Auburnpost::Proxy {

void Organisations::add(
    const OrganisationName& name, const OrganisationRules& rules, const std::vector<Config::KeyDigest>& keys)
{
    m_rules[name] = rules;
    for (const auto& key : keys) {
        const auto [owner, isNew] = m_owners.try_emplace(key.toString(), name);
        if (!isNew && owner->second != name)
            owner->second.reset();
    }
}

std::optional<OrganisationName> Organisations::findByKey(const Config::KeyDigest& key) const
{
    const auto owner = m_owners.find(key.toString());
    return owner == m_owners.end() ? std::nullopt : owner->second;
}

} // namespace Auburnpost::Proxy
