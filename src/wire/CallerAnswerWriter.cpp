#include "wire/CallerAnswerWriter.h"

#include "wire/HttpStatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Auburnpost::Wire {

namespace {

    using Json = nlohmann::json;

    constexpr int statusOk = 200;
    constexpr int statusCreated = 201;
    constexpr int statusServiceUnavailable = 503;
    constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

    /// Replaces bytes that are not valid UTF-8 by U+FFFD, because the answer must be sent all the same.
    std::string quote(const std::string& text)
    {
        return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    void appendText(std::string& output, const std::string& value)
    {
        output += quote(value);
    }

    /// Keeps the digits that the target sent, because a conversion to binary floating point could lose some.
    void appendNumber(std::string& output, const std::string& value)
    {
        const bool startsLikeNumber
            = !value.empty() && (value.front() == '-' || (value.front() >= '0' && value.front() <= '9'));
        if (startsLikeNumber && Json::accept(value))
            output += value;
        else
            appendText(output, value);
    }

    void appendBool(std::string& output, const std::string& value)
    {
        output += value == "t" || value == "true" ? "true" : "false";
    }

    using AppendValue = void (*)(std::string&, const std::string&);

    struct TypeAppender {
        std::uint32_t type;
        AppendValue append;
    };

    /// Type OIDs of PostgreSQL; values of all other types are written as strings.
    constexpr TypeAppender typeAppenders[] = {
        { 16, appendBool }, // bool
        { 20, appendNumber }, // int8
        { 21, appendNumber }, // int2
        { 23, appendNumber }, // int4
        { 700, appendNumber }, // float4
        { 701, appendNumber }, // float8
        { 1700, appendNumber }, // numeric
    };

    AppendValue appenderOf(std::uint32_t type)
    {
        for (const auto& entry : typeAppenders) {
            if (entry.type == type)
                return entry.append;
        }
        return appendText;
    }

    template <typename Items, typename Append> void appendList(std::string& output, const Items& items, Append append)
    {
        output += '[';
        for (std::size_t index = 0; index < items.size(); ++index) {
            if (index)
                output += ',';
            append(items[index], index);
        }
        output += ']';
    }

    std::string writeResult(const ResultSet& result)
    {
        std::string output = "{\"columns\":";
        std::vector<AppendValue> appenders;
        appendList(output, result.columns, [&](const Column& column, std::size_t) {
            appenders.push_back(appenderOf(column.type));
            appendText(output, column.name);
        });
        output += ",\"rows\":";
        appendList(output, result.rows, [&](const std::vector<SqlValue>& row, std::size_t) {
            appendList(output, row, [&](const SqlValue& value, std::size_t column) {
                if (!value)
                    output += "null";
                else
                    (column < appenders.size() ? appenders[column] : appendText)(output, *value);
            });
        });
        output += ",\"rows_affected\":" + std::to_string(result.rowsAffected) + "}";
        return output;
    }

    HttpReply writeBody(const ResultSet& result)
    {
        return { statusOk, {}, writeResult(result) };
    }

    HttpReply writeBody(const TransactionBegun& begun)
    {
        return { statusCreated, {}, "{\"transaction\":" + quote(begun.handle) + "}" };
    }

    HttpReply writeBody(const Refusal& refusal)
    {
        return writeRefusal(refusal);
    }

    std::string toWholeSeconds(Duration duration)
    {
        return std::to_string(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(duration).count()));
    }

} // namespace

HttpReply writeRefusal(const Refusal& refusal)
{
    const auto& error = refusal.error;
    HttpReply reply { httpStatus(error.code), { { "Content-Type", "application/json" } }, {} };
    // All paths of the callers' interface accept only this method.
    if (error.code == ErrorCode::MethodNotAllowed)
        reply.headers.push_back({ "Allow", "POST" });
    if (refusal.retryAfter || reply.status == statusServiceUnavailable)
        reply.headers.push_back({ "Retry-After", toWholeSeconds(refusal.retryAfter.value_or(defaultRetryAfter)) });
    reply.body = "{\"error\":{\"outcome\":";
    reply.body += refusal.outcome == FailedOutcome::NotRun ? "\"not_run\"" : "\"unknown\"";
    reply.body += ",\"code\":" + quote(std::string(toString(error.code)));
    reply.body += ",\"step\":" + quote(error.step) + ",\"peer\":" + quote(error.peer);
    reply.body += ",\"message\":" + quote(error.message) + "}}";
    return reply;
}

HttpReply writeCallerAnswer(const CallerAnswer& answer)
{
    auto reply = std::visit([](const auto& body) { return writeBody(body); }, answer.body);
    if (!std::holds_alternative<Refusal>(answer.body))
        reply.headers.push_back({ "Content-Type", "application/json" });
    if (!answer.session.empty())
        reply.headers.push_back({ "Auburnpost-Session", answer.session });
    if (!answer.servedBy.empty())
        reply.headers.push_back({ "Auburnpost-Served-By", answer.servedBy });
    if (answer.age)
        reply.headers.push_back(
            { "Auburnpost-Age-Ms", std::to_string(std::chrono::ceil<std::chrono::milliseconds>(*answer.age).count()) });
    return reply;
}

} // namespace Auburnpost::Wire
