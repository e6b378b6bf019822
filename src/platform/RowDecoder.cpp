#include "platform/RowDecoder.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Platform {

using Proxy::Consistency;

namespace {

    using Json = nlohmann::json;

    /// Key of the row in the operators' table that holds the configuration.
    constexpr std::string_view configurationKey = "config";

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
        return route;
    }

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
            group.syncReplicas = service.value("SyncReplicas", std::size_t { 0 });
        }
        const auto& limits = json.at("Limits");
        if (limits.contains("TxIdleMs"))
            catalog.transactionIdleLimit = milliseconds(limits, "TxIdleMs");
        return catalog;
    }

    Proxy::TargetRecord parseRecord(const std::string& key, const Json& json)
    {
        Proxy::TargetRecord record;
        record.name = TargetName(key);
        record.group = Proxy::GroupName(json.at("Service").get<std::string>());
        const auto address = SocketAddress::parse(json.at("Address").get<std::string>());
        if (!address)
            throw std::invalid_argument(address.error().message);
        record.address = *address;
        record.dataCentre = DataCentreName(json.at("Zone").get<std::string>());
        record.slots = std::max<std::size_t>(1, json.at("Slots").get<std::size_t>());
        const auto state = json.at("State").get<std::string>();
        if (state != "ready" && state != "draining")
            throw std::invalid_argument("unknown state " + state);
        record.isLeaving = state == "draining";
        const auto role = json.at("DatabaseRole").get<std::string>();
        if (role != "primary" && role != "replica")
            throw std::invalid_argument("unknown role " + role);
        record.reportsPrimary = role == "primary";
        // Unix time of the target's start in milliseconds.
        record.incarnation = Proxy::TargetIncarnation(json.at("born").get<std::uint64_t>());
        return record;
    }

} // namespace

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
        return parseRecord(row.key, Json::parse(row.value));
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadMessage, "read target record", row.key, problem.what());
    }
}

} // namespace Auburnpost::Platform
