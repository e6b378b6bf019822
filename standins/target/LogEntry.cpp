#include "target/LogEntry.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Standin {

namespace {

    using Json = nlohmann::json;

    Json parameterToJson(const SqlParameter& parameter)
    {
        if (const auto* const number = std::get_if<std::int64_t>(&parameter))
            return *number;
        if (const auto* const real = std::get_if<double>(&parameter))
            return *real;
        if (const auto* const text = std::get_if<std::string>(&parameter))
            return *text;
        return nullptr;
    }

    SqlParameter parameterFromJson(const Json& json)
    {
        if (json.is_null())
            return {};
        if (json.is_number_integer())
            return json.get<std::int64_t>();
        if (json.is_number_float())
            return json.get<double>();
        return json.get<std::string>();
    }

    Json statementToJson(const SqlCommand& statement)
    {
        Json parameters = Json::array();
        for (const SqlParameter& parameter : statement.parameters)
            parameters.push_back(parameterToJson(parameter));
        return { { "sql", statement.sql }, { "parameters", parameters } };
    }

    SqlCommand statementFromJson(const Json& json)
    {
        SqlCommand statement { json.at("sql").get<std::string>(), {} };
        for (const Json& parameter : json.at("parameters"))
            statement.parameters.push_back(parameterFromJson(parameter));
        return statement;
    }

} // namespace

Json LogEntry::toJson() const
{
    Json list = Json::array();
    for (const SqlCommand& statement : statements)
        list.push_back(statementToJson(statement));
    return { { "term", point.term.value() }, { "position", point.position.value() }, { "statements", list } };
}

LogEntry LogEntry::fromJson(const Json& json)
{
    LogEntry entry;
    entry.point.term = Term(json.at("term").get<std::uint64_t>());
    entry.point.position = Position(json.at("position").get<std::uint64_t>());
    for (const Json& statement : json.at("statements"))
        entry.statements.push_back(statementFromJson(statement));
    return entry;
}

} // namespace Auburnpost::Standin
