#include "platform/RowDecoder.h"

#include "platform/Fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Auburnpost::Platform {

using Proxy::Consistency;

namespace {

    using Json = nlohmann::json;

    /// Key of the row in the operators' table that holds the configuration.
    constexpr std::string_view configurationKey = "config";
    constexpr auto keysField = "ApiKeys";
    /// Takes the place of a configuration with keys that is not JSON.
    constexpr auto unreadableText = "unreadable";
    /// Takes the place of an organisation's keys in the copy of the configuration that peers are given.
    constexpr auto keyDigestsField = "KeyDigests";

    Duration milliseconds(const Json& json, const char* name)
    {
        const std::chrono::duration<double, std::milli> value(json.at(name).get<double>());
        return std::chrono::duration_cast<Duration>(value);
    }

    Consistency readConsistency(const std::string& kind)
    {
        if (kind == "bounded_staleness")
            return Consistency::BoundedStaleness;
        if (kind == "read_your_writes")
            return Consistency::ReadYourWrites;
        // Unknown kinds get the strictest consistency, which is correct for every route.
        return Consistency::Current;
    }

    Proxy::Route readRoute(const Json& json)
    {
        Proxy::Route route;
        // The route's service is the group that holds the database.
        route.group = Proxy::GroupName(json.at("Service").get<std::string>());
        route.consistency = readConsistency(json.at("Kind").get<std::string>());
        route.statementTimeout = milliseconds(json, "TimeoutMs");
        route.priority = json.value("Priority", 0U);
        if (json.contains("MaxStalenessMs"))
            route.maxStaleness = milliseconds(json, "MaxStalenessMs");
        if (json.contains("LatencyTargetMs"))
            route.latencyTarget = milliseconds(json, "LatencyTargetMs");
        route.isPublic = json.value("Public", false);
        return route;
    }

    void readOrganisation(const Json& json, Proxy::Organisations& organisations)
    {
        const auto name = json.at("Name").get<std::string>();
        // The name becomes a field of the line that opens a connection to a target.
        if (!isField(name))
            throw std::invalid_argument("the name of an organisation is not a name");
        Proxy::OrganisationRules rules;
        rules.priority = json.value("Priority", 0U);
        if (json.contains("RatePerS")) {
            const auto rate = json.at("RatePerS").get<double>();
            const auto burst = json.value("Burst", rate);
            if (!(rate >= 0) || !(burst >= 0))
                throw std::invalid_argument("the limit of organisation " + name + " is negative");
            rules.allotment = Limit::AllotmentLimit { rate, burst };
        }
        std::vector<Config::KeyDigest> keys;
        for (const auto& key : json.value(keysField, Json::array()))
            keys.push_back(Config::KeyDigest::of(key.get<std::string>()));
        for (const auto& digest : json.value(keyDigestsField, Json::array())) {
            const auto key = Config::KeyDigest::parse(digest.get<std::string>());
            if (!key)
                throw std::invalid_argument("a key digest of organisation " + name + " can't be read");
            keys.push_back(*key);
        }
        organisations.add(OrganisationName(name), rules, keys);
    }

    /// Replicas that certainly have an acknowledged commit, whatever higher number is configured: targets acknowledge
    /// once the first replica has received the commit.
    constexpr std::size_t guaranteedSyncReplicas = 1;

    Proxy::Catalog parseCatalog(const Json& json)
    {
        Proxy::Catalog catalog;
        catalog.version = ConfigVersion(json.at("Version").get<std::uint64_t>());
        // A route's host is the name of the database that callers request.
        for (const auto& route : json.at("Routes"))
            catalog.routes[DatabaseName(route.at("Host").get<std::string>())] = readRoute(route);
        for (const auto& service : json.at("Services")) {
            auto& group = catalog.groups[Proxy::GroupName(service.at("Name").get<std::string>())];
            group.connectionLimit = service.at("ConnectionLimit").get<std::size_t>();
            group.syncReplicas = std::min(service.value("SyncReplicas", std::size_t { 0 }), guaranteedSyncReplicas);
        }
        for (const auto& organisation : json.value("Tenants", Json::array()))
            readOrganisation(organisation, catalog.organisations);
        const auto& limits = json.at("Limits");
        if (limits.contains("TxIdleMs"))
            catalog.transactionIdleLimit = milliseconds(limits, "TxIdleMs");
        return catalog;
    }

    /// Texts of parse errors quote the input, which may be long.
    constexpr std::size_t maxProblemLength = 200;
    constexpr std::uint64_t maxSlots = 1'000'000;
    constexpr Duration maxColdTime = std::chrono::hours(24);

    /// @throws std::exception for text that is not JSON, or that has a field of the top level twice.
    Json parseObject(const std::string& text)
    {
        std::set<std::string> names;
        return Json::parse(text, [&names](int depth, Json::parse_event_t event, const Json& parsed) {
            if (event == Json::parse_event_t::key && depth == 1 && !names.insert(parsed.get<std::string>()).second)
                throw std::invalid_argument("more than one field " + parsed.get<std::string>());
            return true;
        });
    }

    std::string readText(const Json& json, const char* name)
    {
        const auto& value = json.at(name);
        if (!value.is_string() || value.get_ref<const std::string&>().empty())
            throw std::invalid_argument(std::string(name) + " is not a text");
        return value.get<std::string>();
    }

    std::uint64_t readWholeNumber(const Json& json, const char* name)
    {
        const auto& value = json.at(name);
        if (!value.is_number_unsigned())
            throw std::invalid_argument(std::string(name) + " is not a whole number from 0 to 2^64 - 1");
        return value.get<std::uint64_t>();
    }

    /// Checks the fields that the proxy does not need. A record without them was not written by a target.
    void checkUnusedFields(const Json& json)
    {
        readText(json, "Version");
        readWholeNumber(json, "Sequence");
        const auto& coldTime = json.at("ColdRemainingMs");
        const auto isInRange = [](double value) { return value >= 0 && value <= toMilliseconds(maxColdTime); };
        if (!coldTime.is_number() || !isInRange(coldTime.get<double>()))
            throw std::invalid_argument("ColdRemainingMs is not a time");
    }

    Proxy::TargetRecord parseRecord(const std::string& key, const Json& json)
    {
        // The name and the group become fields of the line that opens a connection to the target.
        if (!isField(key))
            throw std::invalid_argument("the key is not a name");
        const auto group = readText(json, "Service");
        if (!isField(group))
            throw std::invalid_argument("Service is not a name");
        Proxy::TargetRecord record;
        record.name = TargetName(key);
        record.group = Proxy::GroupName(group);
        const auto address = SocketAddress::parse(readText(json, "Address"));
        if (!address)
            throw std::invalid_argument(address.error().message);
        record.address = *address;
        record.dataCentre = DataCentreName(readText(json, "Zone"));
        const auto slots = readWholeNumber(json, "Slots");
        if (slots > maxSlots)
            throw std::invalid_argument("Slots is out of range");
        record.slots = std::max<std::size_t>(1, slots);
        const auto state = readText(json, "State");
        if (state != "ready" && state != "draining")
            throw std::invalid_argument("unknown state " + state);
        record.isLeaving = state == "draining";
        const auto role = readText(json, "DatabaseRole");
        if (role != "primary" && role != "replica")
            throw std::invalid_argument("unknown role " + role);
        record.reportsPrimary = role == "primary";
        // Unix time of the target's start in milliseconds.
        record.incarnation = Proxy::TargetIncarnation(readWholeNumber(json, "born"));
        checkUnusedFields(json);
        return record;
    }

} // namespace

void redactKeys(Proxy::StorePage& page)
{
    for (auto& row : page.rows) {
        if (row.key != configurationKey || row.value.find(keysField) == std::string::npos)
            continue;
        auto json = Json::parse(row.value, nullptr, false);
        if (json.is_discarded()) {
            // The texts of parse errors quote the input.
            row.value = unreadableText;
            continue;
        }
        const auto organisations = json.is_object() ? json.find("Tenants") : json.end();
        if (organisations == json.end() || !organisations->is_array())
            continue;
        for (auto& organisation : *organisations) {
            if (!organisation.is_object() || !organisation.contains(keysField))
                continue;
            const auto keys = organisation.at(keysField);
            organisation.erase(keysField);
            auto& digests = organisation[keyDigestsField];
            digests = Json::array();
            for (const auto& key : keys)
                digests.push_back(key.is_string() ? Config::KeyDigest::of(key.get<std::string>()).toString() : "");
        }
        row.value = json.dump();
    }
}

Expected<std::optional<Proxy::Catalog>> RowDecoder::readCatalog(const Proxy::StoreRow& row) const
{
    if (row.key != configurationKey)
        return std::nullopt;
    try {
        return parseCatalog(Json::parse(row.value));
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadDocument, "read configuration", row.key, problem.what());
    }
}

Expected<Proxy::TargetRecord> RowDecoder::readTarget(const Proxy::StoreRow& row) const
{
    try {
        return parseRecord(row.key, parseObject(row.value));
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadMessage, "read target record", row.key,
            std::string(problem.what()).substr(0, maxProblemLength));
    }
}

} // namespace Auburnpost::Platform
