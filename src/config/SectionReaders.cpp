#include "config/SectionReaders.h"

namespace Auburnpost::Config {

namespace {

    std::optional<TargetPlacement> readTarget(JsonReader& reader, const JsonPlace& place)
    {
        reader.rejectOthers(place, { "name", "address", "data_centre" });
        const auto name = reader.require(place, "name");
        const auto address = reader.require(place, "address");
        const auto dataCentre = reader.require(place, "data_centre");
        if (!name || !address || !dataCentre)
            return std::nullopt;
        const auto nameText = reader.name(*name);
        const auto addressValue = reader.address(*address);
        const auto dataCentreText = reader.name(*dataCentre);
        if (!nameText || !addressValue || !dataCentreText)
            return std::nullopt;
        return TargetPlacement { TargetName(*nameText), *addressValue, DataCentreName(*dataCentreText) };
    }

    void readCount(JsonReader& reader, const std::optional<JsonPlace>& place, unsigned& count)
    {
        if (place)
            count = reader.count(*place).value_or(count);
    }

    DatabasePlacement readDatabase(JsonReader& reader, const JsonPlace& place)
    {
        reader.rejectOthers(place, { "targets", "connection_cap", "slots", "homes" });
        DatabasePlacement database;
        readCount(reader, reader.require(place, "connection_cap"), database.connectionCap);
        readCount(reader, reader.require(place, "slots"), database.slots);
        readCount(reader, reader.find(place, "homes"), database.homes);
        const auto targets = reader.require(place, "targets");
        if (!targets)
            return database;
        for (const auto& each : reader.elements(*targets)) {
            if (auto target = readTarget(reader, each))
                database.targets.push_back(std::move(*target));
        }
        if (targets->value->empty())
            reader.error(targets->path, "a database needs a target");
        return database;
    }

    void readPlacement(JsonReader& reader, const Json& section, Document& document)
    {
        const JsonPlace root { &section, "" };
        reader.rejectOthers(root, { "databases" });
        const auto databases = reader.require(root, "databases");
        if (!databases)
            return;
        for (const auto& [name, place] : reader.members(*databases)) {
            if (reader.isName(place.path, name))
                document.databases.emplace(DatabaseName(name), readDatabase(reader, place));
        }
    }

    void readKeys(JsonReader& reader, const JsonPlace& place, Organisation& organisation)
    {
        for (const auto& each : reader.elements(place)) {
            const auto text = reader.text(each);
            if (!text)
                continue;
            if (const auto digest = KeyDigest::parse(*text))
                organisation.keys.push_back(*digest);
            else
                reader.error(each.path, "must be a SHA-256 in 64 hexadecimal digits");
        }
        if (place.value->is_array() && place.value->empty())
            reader.warn(place.path, "no key, so that nobody can use this organisation");
    }

    Organisation readOrganisation(JsonReader& reader, const JsonPlace& place)
    {
        reader.rejectOthers(place, { "databases", "keys", "weight" });
        Organisation organisation;
        readCount(reader, reader.find(place, "weight"), organisation.weight);
        if (const auto keys = reader.require(place, "keys"))
            readKeys(reader, *keys, organisation);
        const auto databases = reader.require(place, "databases");
        if (!databases)
            return organisation;
        for (const auto& each : reader.elements(*databases)) {
            const auto name = reader.name(each);
            if (name && !organisation.databases.insert(DatabaseName(*name)).second)
                reader.error(each.path, "database '" + *name + "' is listed twice");
        }
        return organisation;
    }

    void readOrganisations(JsonReader& reader, const Json& section, Document& document)
    {
        for (const auto& [name, place] : reader.members({ &section, "" })) {
            if (reader.isName(place.path, name))
                document.organisations.emplace(OrganisationName(name), readOrganisation(reader, place));
        }
    }

    void readAge(JsonReader& reader, const std::optional<JsonPlace>& place, Duration& age)
    {
        if (place)
            age = reader.age(*place).value_or(age);
    }

    DatabaseStaleness readDatabaseStaleness(JsonReader& reader, const JsonPlace& place, Duration inherited)
    {
        reader.rejectOthers(place, { "default_ms", "purposes" });
        DatabaseStaleness staleness { inherited, {} };
        readAge(reader, reader.find(place, "default_ms"), staleness.defaultAge);
        const auto purposes = reader.find(place, "purposes");
        if (!purposes)
            return staleness;
        for (const auto& [name, age] : reader.members(*purposes)) {
            if (reader.isName(age.path, name))
                readAge(reader, age, staleness.purposes[name]);
        }
        return staleness;
    }

    OrganisationStaleness readOrganisationStaleness(JsonReader& reader, const JsonPlace& place, Duration inherited)
    {
        reader.rejectOthers(place, { "default_ms", "databases" });
        OrganisationStaleness staleness { inherited, {} };
        readAge(reader, reader.find(place, "default_ms"), staleness.defaultAge);
        const auto databases = reader.find(place, "databases");
        if (!databases)
            return staleness;
        for (const auto& [name, database] : reader.members(*databases))
            staleness.databases.emplace(
                DatabaseName(name), readDatabaseStaleness(reader, database, staleness.defaultAge));
        return staleness;
    }

    void readStaleness(JsonReader& reader, const Json& section, Document& document)
    {
        const JsonPlace root { &section, "" };
        reader.rejectOthers(root, { "default_ms", "organisations" });
        auto& staleness = document.staleness;
        readAge(reader, reader.find(root, "default_ms"), staleness.defaultAge);
        const auto organisations = reader.find(root, "organisations");
        if (!organisations)
            return;
        for (const auto& [name, place] : reader.members(*organisations))
            staleness.organisations.emplace(
                OrganisationName(name), readOrganisationStaleness(reader, place, staleness.defaultAge));
    }

    void readSwitch(JsonReader& reader, const JsonPlace& place, Maintenance& maintenance)
    {
        reader.rejectOthers(place, { "database", "to" });
        const auto database = reader.require(place, "database");
        const auto target = reader.require(place, "to");
        if (!database || !target)
            return;
        const auto databaseName = reader.name(*database);
        const auto targetName = reader.name(*target);
        if (!databaseName || !targetName)
            return;
        if (!maintenance.switches.emplace(DatabaseName(*databaseName), TargetName(*targetName)).second)
            reader.error(place.path, "database '" + *databaseName + "' has two switches");
    }

    void readMaintenance(JsonReader& reader, const Json& section, Document& document)
    {
        const JsonPlace root { &section, "" };
        reader.rejectOthers(root, { "leaving_targets", "switches" });
        auto& maintenance = document.maintenance;
        if (const auto leaving = reader.find(root, "leaving_targets")) {
            for (const auto& each : reader.elements(*leaving)) {
                const auto name = reader.name(each);
                if (name && !maintenance.leavingTargets.insert(TargetName(*name)).second)
                    reader.error(each.path, "target '" + *name + "' is listed twice");
            }
        }
        if (const auto switches = reader.find(root, "switches")) {
            for (const auto& each : reader.elements(*switches))
                readSwitch(reader, each, maintenance);
        }
    }

} // namespace

const std::vector<SectionDefinition>& sectionDefinitions()
{
    static const std::vector<SectionDefinition> definitions {
        { "placement", readPlacement },
        { "organisations", readOrganisations },
        { "staleness", readStaleness },
        { "maintenance", readMaintenance },
    };
    return definitions;
}

} // namespace Auburnpost::Config
