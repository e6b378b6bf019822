#include "target/TargetSettings.h"

#include "common/IniFile.h"
#include "target/SqlCommand.h"

#include <fstream>
#include <sstream>

namespace Auburnpost::Standin {

namespace {

    constexpr auto section = "target";
    constexpr auto memberSection = "members";
    constexpr auto delaySection = "delays_ms";
    constexpr auto schemaSection = "schema";

    constexpr std::int64_t defaultSlots = 3;
    constexpr std::int64_t defaultConnections = 50;
    constexpr double defaultConnectMs = 10;
    constexpr double defaultStatementMs = 1;
    constexpr double defaultLockTimeoutMs = 2000;

    constexpr auto outcomeTable = "CREATE TABLE auburnpost_outcomes(outcome_key TEXT PRIMARY KEY, request_hash TEXT, "
                                  "result TEXT, recorded_at BIGINT)";

    void readBasics(IniFile& file, TargetSettings& settings)
    {
        settings.name = TargetName(file.text(section, "name"));
        settings.database = DatabaseName(file.text(section, "database"));
        settings.dataCentre = DataCentreName(file.text(section, "data_centre"));
        settings.address = file.address(section, "address");
        settings.control = file.address(section, "control");
        settings.initialPrimary = TargetName(file.text(section, "initial_primary"));
        settings.stateDirectory = file.text(section, "state_dir", "");
        settings.seed = static_cast<std::uint64_t>(file.number(section, "seed", 1));
    }

    void readLimits(IniFile& file, TargetSettings& settings)
    {
        settings.slots = file.number(section, "slots", defaultSlots);
        settings.maxConnections = file.number(section, "max_connections", defaultConnections);
        settings.connectTime = file.milliseconds(section, "connect_ms", defaultConnectMs);
        settings.statementTime = file.milliseconds(section, "statement_ms", defaultStatementMs);
        settings.replicationLag = file.milliseconds(section, "replication_lag_ms", 0);
        settings.lockTimeout = file.milliseconds(section, "lock_timeout_ms", defaultLockTimeoutMs);
    }

    void readGroup(IniFile& file, TargetSettings& settings)
    {
        for (const std::string& member : file.keys(memberSection))
            settings.members.emplace(TargetName(member), file.address(memberSection, member));
        for (const std::string& dataCentre : file.keys(delaySection))
            settings.delays.emplace(DataCentreName(dataCentre), file.milliseconds(delaySection, dataCentre, 0));
    }

    std::string readFile(const std::string& path)
    {
        std::ostringstream content;
        content << std::ifstream(path).rdbuf();
        return content.str();
    }

    void readSchema(IniFile& file, TargetSettings& settings)
    {
        settings.schema.emplace_back(outcomeTable);
        const std::string path = file.text(schemaSection, "file", "");
        const std::string text = (path.empty() ? "" : readFile(path)) + ";" + file.text(schemaSection, "sql", "");
        for (std::string& statement : splitStatements(text))
            settings.schema.push_back(std::move(statement));
    }

} // namespace

Duration TargetSettings::delayTo(const DataCentreName& dataCentre) const
{
    const auto found = delays.find(dataCentre);
    return found == delays.end() ? Duration::zero() : found->second;
}

Expected<TargetSettings> TargetSettings::read(const std::string& path)
{
    auto file = IniFile::read(path);
    if (!file)
        return tl::unexpected<Error>(file.error());
    TargetSettings settings;
    readBasics(*file, settings);
    readLimits(*file, settings);
    readGroup(*file, settings);
    readSchema(*file, settings);
    if (const auto valid = file->validate(); !valid)
        return tl::unexpected<Error>(valid.error());
    for (const TargetName& name : { settings.name, settings.initialPrimary }) {
        if (!settings.members.contains(name))
            return fail(ErrorCode::BadSettings, "read settings", "", path + ": [members] lacks " + name.value());
    }
    return settings;
}

} // namespace Auburnpost::Standin
