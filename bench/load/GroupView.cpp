#include "load/GroupView.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Load {

Expected<TargetState> TargetState::parse(std::string_view state)
{
    try {
        const auto json = nlohmann::json::parse(state);
        return TargetState { TargetName(json.at("name").get<std::string>()), json.at("role") == "primary",
            json.at("term").get<std::uint64_t>(), json.at("fenced_term").get<std::uint64_t>() };
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadMessage, "read target state", "", problem.what());
    }
}

Expected<HomeState> HomeState::parse(std::string_view state, const DatabaseName& database)
{
    try {
        const auto group = nlohmann::json::parse(state).at("databases").at(database.value()).at("group");
        HomeState home { group.at("takeover").get<std::string>(), false, false, 0 };
        if (group.contains("primary")) {
            const auto& primary = group.at("primary");
            home.suspectsPrimary = primary.at("suspected").get<bool>();
            home.isOpen = primary.at("open").get<bool>();
            home.term = primary.at("term").get<std::uint64_t>();
        }
        return home;
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadMessage, "read host state", database.value(), problem.what());
    }
}

std::optional<TargetName> findPrimary(const std::vector<TargetState>& targets)
{
    const TargetState* best = nullptr;
    for (const auto& target : targets) {
        if (target.isPrimary && (!best || target.fencedTerm > best->fencedTerm))
            best = &target;
    }
    return best ? std::optional(best->name) : std::nullopt;
}

} // namespace Auburnpost::Load
