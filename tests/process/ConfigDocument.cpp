#include "process/ConfigDocument.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Test {

using Json = nlohmann::json;

std::string ConfigDocument::toJson() const
{
    Json routeList = Json::array();
    for (const auto& [database, group] : routes)
        routeList.push_back({ { "Name", "r-" + database }, { "Host", database }, { "Kind", "primary" },
            { "TimeoutMs", 2000 }, { "Priority", 0 }, { "Service", group } });
    Json services = Json::array();
    for (const auto& group : groups)
        services.push_back({ { "Name", group }, { "ConnectionLimit", connectionLimit }, { "SyncReplicas", 0 } });
    return Json {
        { "Version", version }, { "Routes", routeList }, { "Services", services },
        { "Limits", { { "TxIdleMs", 3000 } } }
    }.dump();
}

std::string makeTargetRecord(const std::string& group, const std::string& address)
{
    return Json {
        { "Service", group }, { "Address", address }, { "Zone", "zone-a" }, { "Version", "v1" }, { "Slots", 4 },
        { "State", "ready" }, { "Sequence", 1 }, { "ColdRemainingMs", 0 }, { "born", 1790000000000ULL },
        { "DatabaseRole", "primary" }
    }.dump();
}

} // namespace Auburnpost::Test
