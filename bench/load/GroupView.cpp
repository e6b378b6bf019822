#include "load/GroupView.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Load {

Expected<TargetStanding> TargetStanding::parse(std::string_view state)
{
    try {
        const auto json = nlohmann::json::parse(state);
        return TargetStanding { TargetName(json.at("name").get<std::string>()), json.at("role") == "primary",
            json.at("term").get<std::uint64_t>(), json.at("fenced_term").get<std::uint64_t>() };
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadMessage, "read target state", "", problem.what());
    }
}

Expected<HomeStanding> HomeStanding::parse(std::string_view state, const DatabaseName& database)
{
    try {
        const auto group = nlohmann::json::parse(state).at("databases").at(database.value()).at("group");
        HomeStanding standing { group.at("takeover").get<std::string>(), false, false, 0 };
        if (group.contains("primary")) {
            const auto& primary = group.at("primary");
            standing.suspectsPrimary = primary.at("suspected").get<bool>();
            standing.isOpen = primary.at("open").get<bool>();
            standing.term = primary.at("term").get<std::uint64_t>();
        }
        return standing;
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadMessage, "read host state", database.value(), problem.what());
    }
}

std::optional<TargetName> findPrimary(const std::vector<TargetStanding>& standings)
{
    const TargetStanding* best = nullptr;
    for (const auto& standing : standings) {
        if (standing.isPrimary && (!best || standing.fencedTerm > best->fencedTerm))
            best = &standing;
    }
    return best ? std::optional(best->name) : std::nullopt;
}

} // namespace Auburnpost::Load
