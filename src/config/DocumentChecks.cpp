#include "config/DocumentChecks.h"

#include "config/JsonReader.h"

#include <algorithm>

namespace Auburnpost::Config {

namespace {

    using Problems = std::vector<DocumentProblem>;

    /// Share of a target's connections that hosts may use; the rest is reserved for the database's administrators.
    constexpr unsigned usablePercent = 90;
    constexpr unsigned wholePercent = 100;

    std::string quoted(const std::string& name)
    {
        return "'" + name + "'";
    }

    std::string databasePath(const DatabaseName& name)
    {
        return "/databases/" + name.value();
    }

    void checkConnections(JsonReader& reader, const DatabaseName& name, const DatabasePlacement& database)
    {
        const auto usable = std::uint64_t { database.connectionCap } * usablePercent / wholePercent;
        if (database.connectionCap > 0 && usable / database.homes == 0)
            reader.error(databasePath(name) + "/homes",
                "each home would get no connection: nine tenths of connection_cap are below homes");
        if (database.slots > database.connectionCap && database.connectionCap > 0)
            reader.warn(databasePath(name) + "/slots", "above connection_cap, so that some stay unused");
    }

    void checkGroupSize(JsonReader& reader, const DatabaseName& name, const DatabasePlacement& database)
    {
        const auto path = databasePath(name) + "/targets";
        if (database.targets.size() == 1)
            reader.warn(path, "a group of one target has no replica to promote");
        else if (database.targets.size() % 2 == 0 && !database.targets.empty())
            reader.warn(path, "a group of even size survives no more failures than one with a target less");
    }

    void checkPlacement(const Document& document, Problems& problems)
    {
        JsonReader reader("placement", problems);
        std::set<TargetName> names;
        std::set<SocketAddress> addresses;
        for (const auto& [databaseName, database] : document.databases) {
            checkConnections(reader, databaseName, database);
            checkGroupSize(reader, databaseName, database);
            for (std::size_t index = 0; index < database.targets.size(); ++index) {
                const auto& target = database.targets[index];
                const auto path = databasePath(databaseName) + "/targets/" + std::to_string(index);
                if (!names.insert(target.name).second)
                    reader.error(path + "/name", "target " + quoted(target.name.value()) + " is listed twice");
                if (!addresses.insert(target.address).second)
                    reader.error(path + "/address", target.address.toString() + " belongs to another target");
            }
        }
    }

    void checkOrganisations(const Document& document, Problems& problems)
    {
        JsonReader reader("organisations", problems);
        for (const auto& [name, organisation] : document.organisations) {
            for (const auto& database : organisation.databases) {
                if (!document.database(database))
                    reader.error("/" + name.value() + "/databases",
                        "section placement has no database " + quoted(database.value()));
            }
        }
    }

    void checkStaleness(const Document& document, Problems& problems)
    {
        JsonReader reader("staleness", problems);
        for (const auto& [name, staleness] : document.staleness.organisations) {
            const auto path = "/organisations/" + name.value();
            const auto* const organisation = document.organisation(name);
            if (!organisation) {
                reader.error(path, "section organisations has no " + quoted(name.value()));
                continue;
            }
            for (const auto& [database, ages] : staleness.databases) {
                if (!organisation->databases.contains(database))
                    reader.error(path + "/databases/" + database.value(),
                        "organisation " + quoted(name.value()) + " has no database " + quoted(database.value()));
            }
        }
    }

    bool hasTarget(const DatabasePlacement& database, const TargetName& name)
    {
        return std::any_of(database.targets.begin(), database.targets.end(),
            [&name](const TargetPlacement& target) { return target.name == name; });
    }

    void checkLeaving(JsonReader& reader, const Document& document)
    {
        const auto& leaving = document.maintenance.leavingTargets;
        for (const auto& target : leaving) {
            const bool isKnown = std::any_of(document.databases.begin(), document.databases.end(),
                [&target](const auto& database) { return hasTarget(database.second, target); });
            if (!isKnown)
                reader.error("/leaving_targets", "section placement has no target " + quoted(target.value()));
        }
        for (const auto& [name, database] : document.databases) {
            const auto count = static_cast<std::size_t>(std::count_if(database.targets.begin(), database.targets.end(),
                [&leaving](const TargetPlacement& target) { return leaving.contains(target.name); }));
            if (count > 0 && count == database.targets.size())
                reader.error("/leaving_targets", "every target of " + quoted(name.value()) + " is leaving");
            else if (count * 2 >= database.targets.size() && count > 0)
                reader.warn("/leaving_targets",
                    "half or more of the targets of " + quoted(name.value())
                        + " are leaving, so that no majority is left");
        }
    }

    void checkSwitchovers(JsonReader& reader, const Document& document)
    {
        for (const auto& [databaseName, target] : document.maintenance.switchovers) {
            const auto* const database = document.database(databaseName);
            if (!database)
                reader.error("/switches", "section placement has no database " + quoted(databaseName.value()));
            else if (!hasTarget(*database, target))
                reader.error("/switches",
                    quoted(target.value()) + " is not a target of database " + quoted(databaseName.value()));
            else if (document.maintenance.leavingTargets.contains(target))
                reader.error("/switches", quoted(target.value()) + " is leaving and can't become primary");
        }
    }

    void checkMaintenance(const Document& document, Problems& problems)
    {
        JsonReader reader("maintenance", problems);
        checkLeaving(reader, document);
        checkSwitchovers(reader, document);
    }

} // namespace

void checkDocument(const Document& document, Problems& problems)
{
    checkPlacement(document, problems);
    checkOrganisations(document, problems);
    checkStaleness(document, problems);
    checkMaintenance(document, problems);
}

} // namespace Auburnpost::Config
