#include "load/LogFacts.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Load {

namespace {

    using Json = nlohmann::json;

    void countFacts(const Json& statement, LogFacts& facts)
    {
        if (statement.at("sql").get<std::string>().find("load_facts") == std::string::npos)
            return;
        for (const auto& parameter : statement.at("parameters")) {
            if (parameter.is_string())
                ++facts[Fact(parameter.get<std::string>())];
        }
    }

} // namespace

Expected<LogFacts> readLogFacts(std::string_view log)
{
    try {
        LogFacts facts;
        const auto json = Json::parse(log);
        for (const auto& entry : json.at("entries")) {
            for (const auto& statement : entry.at("statements"))
                countFacts(statement, facts);
        }
        return facts;
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadMessage, "read log", "", problem.what());
    }
}

} // namespace Auburnpost::Load
