#include "config/SectionReaders.h"

namespace Auburnpost::Config {

namespace {

    std::optional<TargetPlacement> readTarget(JsonReader& reader, const JsonNode& node)
    {
        reader.rejectUnknownMembers(node, { "name", "address", "data_centre" });
        const auto name = reader.require(node, "name");
        const auto address = reader.require(node, "address");
        const auto dataCentre = reader.require(node, "data_centre");
        if (!name || !address || !dataCentre)
            return std::nullopt;
        const auto nameText = reader.name(*name);
        const auto addressValue = reader.address(*address);
        const auto dataCentreText = reader.name(*dataCentre);
        if (!nameText || !addressValue || !dataCentreText)
            return std::nullopt;
        return TargetPlacement { TargetName(*nameText), *addressValue, DataCentreName(*dataCentreText) };
    }

    void readCount(JsonReader& reader, const std::optional<JsonNode>& node, unsigned& count)
    {
        if (node)
            count = reader.count(*node).value_or(count);
    }

    DatabasePlacement readDatabase(JsonReader& reader, const JsonNode& node)
    {
        reader.rejectUnknownMembers(node, { "targets", "connection_cap", "slots", "homes" });
        DatabasePlacement database;
        readCount(reader, reader.require(node, "connection_cap"), database.connectionCap);
        readCount(reader, reader.require(node, "slots"), database.slots);
        readCount(reader, reader.find(node, "homes"), database.homes);
        const auto targets = reader.require(node, "targets");
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
        const JsonNode root { &section, "" };
        reader.rejectUnknownMembers(root, { "databases" });
        const auto databases = reader.require(root, "databases");
        if (!databases)
            return;
        for (const auto& [name, node] : reader.members(*databases)) {
            if (reader.isName(node.path, name))
                document.databases.emplace(DatabaseName(name), readDatabase(reader, node));
        }
    }

    void readKeys(JsonReader& reader, const JsonNode& node, Organisation& organisation)
    {
        for (const auto& each : reader.elements(node)) {
            const auto text = reader.text(each);
            if (!text)
                continue;
            if (const auto digest = KeyDigest::parse(*text))
                organisation.keys.push_back(*digest);
            else
                reader.error(each.path, "must be a SHA-256 in 64 hexadecimal digits");
        }
        if (node.value->is_array() && node.value->empty())
            reader.warn(node.path, "no key, so that nobody can use this organisation");
    }

    Organisation readOrganisation(JsonReader& reader, const JsonNode& node)
    {
        reader.rejectUnknownMembers(node, { "databases", "keys", "weight" });
        Organisation organisation;
        readCount(reader, reader.find(node, "weight"), organisation.weight);
        if (const auto keys = reader.require(node, "keys"))
            readKeys(reader, *keys, organisation);
        const auto databases = reader.require(node, "databases");
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
        for (const auto& [name, node] : reader.members({ &section, "" })) {
            if (reader.isName(node.path, name))
                document.organisations.emplace(OrganisationName(name), readOrganisation(reader, node));
        }
    }

    void readAge(JsonReader& reader, const std::optional<JsonNode>& node, Duration& age)
    {
        if (node)
            age = reader.age(*node).value_or(age);
    }

    DatabaseStaleness readDatabaseStaleness(JsonReader& reader, const JsonNode& node, Duration inherited)
    {
        reader.rejectUnknownMembers(node, { "default_ms", "purposes" });
        DatabaseStaleness staleness { inherited, {} };
        readAge(reader, reader.find(node, "default_ms"), staleness.defaultAge);
        const auto purposes = reader.find(node, "purposes");
        if (!purposes)
            return staleness;
        for (const auto& [name, age] : reader.members(*purposes)) {
            if (reader.isName(age.path, name))
                readAge(reader, age, staleness.purposes[name]);
        }
        return staleness;
    }

    OrganisationStaleness readOrganisationStaleness(JsonReader& reader, const JsonNode& node, Duration inherited)
    {
        reader.rejectUnknownMembers(node, { "default_ms", "databases" });
        OrganisationStaleness staleness { inherited, {} };
        readAge(reader, reader.find(node, "default_ms"), staleness.defaultAge);
        const auto databases = reader.find(node, "databases");
        if (!databases)
            return staleness;
        for (const auto& [name, database] : reader.members(*databases))
            staleness.databases.emplace(
                DatabaseName(name), readDatabaseStaleness(reader, database, staleness.defaultAge));
        return staleness;
    }

    void readStaleness(JsonReader& reader, const Json& section, Document& document)
    {
        const JsonNode root { &section, "" };
        reader.rejectUnknownMembers(root, { "default_ms", "organisations" });
        auto& staleness = document.staleness;
        readAge(reader, reader.find(root, "default_ms"), staleness.defaultAge);
        const auto organisations = reader.find(root, "organisations");
        if (!organisations)
            return;
        for (const auto& [name, node] : reader.members(*organisations))
            staleness.organisations.emplace(
                OrganisationName(name), readOrganisationStaleness(reader, node, staleness.defaultAge));
    }

    void readSwitchover(JsonReader& reader, const JsonNode& node, Maintenance& maintenance)
    {
        reader.rejectUnknownMembers(node, { "database", "to" });
        const auto database = reader.require(node, "database");
        const auto target = reader.require(node, "to");
        if (!database || !target)
            return;
        const auto databaseName = reader.name(*database);
        const auto targetName = reader.name(*target);
        if (!databaseName || !targetName)
            return;
        if (!maintenance.switchovers.emplace(DatabaseName(*databaseName), TargetName(*targetName)).second)
            reader.error(node.path, "database '" + *databaseName + "' has two switches");
    }

    void readMaintenance(JsonReader& reader, const Json& section, Document& document)
    {
        const JsonNode root { &section, "" };
        reader.rejectUnknownMembers(root, { "leaving_targets", "switches" });
        auto& maintenance = document.maintenance;
        if (const auto leaving = reader.find(root, "leaving_targets")) {
            for (const auto& each : reader.elements(*leaving)) {
                const auto name = reader.name(each);
                if (name && !maintenance.leavingTargets.insert(TargetName(*name)).second)
                    reader.error(each.path, "target '" + *name + "' is listed twice");
            }
        }
        if (const auto switchovers = reader.find(root, "switches")) {
            for (const auto& each : reader.elements(*switchovers))
                readSwitchover(reader, each, maintenance);
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
