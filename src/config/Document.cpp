#include "config/Document.h"

namespace Auburnpost::Config {

namespace {

    template <typename Map, typename Key> const typename Map::mapped_type* findOrNull(const Map& map, const Key& key)
    {
        const auto found = map.find(key);
        return found == map.end() ? nullptr : &found->second;
    }

} // namespace

bool Organisation::acceptsKey(std::string_view key) const
{
    const auto digest = KeyDigest::of(key);
    bool matched = false;
    for (const auto& each : keys)
        matched = each.matches(digest) || matched;
    return matched;
}

Duration Staleness::maximumAge(
    const OrganisationName& organisation, const DatabaseName& database, const std::string& purpose) const
{
    const auto* const ofOrganisation = findOrNull(organisations, organisation);
    if (!ofOrganisation)
        return defaultAge;
    const auto* const ofDatabase = findOrNull(ofOrganisation->databases, database);
    if (!ofDatabase)
        return ofOrganisation->defaultAge;
    const auto* const ofPurpose = findOrNull(ofDatabase->purposes, purpose);
    return ofPurpose ? *ofPurpose : ofDatabase->defaultAge;
}

const DatabasePlacement* Document::database(const DatabaseName& name) const
{
    return findOrNull(databases, name);
}

const Organisation* Document::organisation(const OrganisationName& name) const
{
    return findOrNull(organisations, name);
}

} // namespace Auburnpost::Config
