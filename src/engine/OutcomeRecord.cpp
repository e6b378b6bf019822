#include "engine/OutcomeRecord.h"

#include <nlohmann/json.hpp>

namespace Auburnpost {

namespace {

    using Json = nlohmann::json;

    constexpr const char* cancelledMark = "cancelled";
    constexpr std::size_t recordColumns = 2;

    std::string writeResult(const ResultSet& result)
    {
        auto columns = Json::array();
        for (const auto& column : result.columns)
            columns.push_back({ column.name, column.type });
        auto rows = Json::array();
        for (const auto& row : result.rows) {
            auto values = Json::array();
            for (const auto& value : row)
                values.push_back(value ? Json(*value) : Json());
            rows.push_back(std::move(values));
        }
        return Json {
            { "columns", std::move(columns) }, { "rows", std::move(rows) }, { "affected", result.rowsAffected }
        }.dump();
    }

    ResultSet readResult(const std::string& text)
    {
        const auto json = Json::parse(text);
        ResultSet result;
        for (const auto& column : json.at("columns"))
            result.columns.push_back({ column.at(0).get<std::string>(), column.at(1).get<std::uint32_t>() });
        for (const auto& row : json.at("rows")) {
            auto& values = result.rows.emplace_back();
            for (const auto& value : row)
                values.push_back(value.is_null() ? SqlValue {} : SqlValue(value.get<std::string>()));
        }
        result.rowsAffected = json.at("affected").get<std::uint64_t>();
        return result;
    }

} // namespace

Expected<std::optional<OutcomeRecord>> OutcomeRecord::parse(const ResultSet& answer)
{
    if (answer.rows.empty())
        return std::optional<OutcomeRecord> {};
    const auto& row = answer.rows.front();
    if (row.size() != recordColumns || !row[1])
        return fail(ErrorCode::BadMessage, "read outcome record", "", "the row is not complete");
    OutcomeRecord record { row[0].value_or(""), *row[1] == cancelledMark, {} };
    if (record.cancelled)
        return std::optional(std::move(record));
    try {
        record.result = readResult(*row[1]);
    } catch (const Json::exception& problem) {
        return fail(ErrorCode::BadMessage, "read outcome record", "", problem.what());
    }
    return std::optional(std::move(record));
}

Statement OutcomeSql::insert(const OutcomeKey& key, const std::string& requestHash)
{
    return { "INSERT INTO auburnpost_outcomes (outcome_key, request_hash) VALUES ($1, $2)",
        { key.value(), requestHash } };
}

Statement OutcomeSql::complete(const OutcomeKey& key, const ResultSet& result)
{
    return { "UPDATE auburnpost_outcomes SET result = $2 WHERE outcome_key = $1",
        { key.value(), writeResult(result) } };
}

Statement OutcomeSql::cancel(const OutcomeKey& key)
{
    return { "INSERT INTO auburnpost_outcomes (outcome_key, request_hash, result) VALUES ($1, '', $2)",
        { key.value(), cancelledMark } };
}

Statement OutcomeSql::select(const OutcomeKey& key)
{
    return { "SELECT request_hash, result FROM auburnpost_outcomes WHERE outcome_key = $1", { key.value() } };
}

} // namespace Auburnpost
