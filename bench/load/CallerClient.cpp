#include "load/CallerClient.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Load {

namespace {

    using Json = nlohmann::json;

    constexpr int statusOk = 200;
    constexpr std::size_t columnCount = 2;

    /// Throws std::exception when a row does not belong to the item of the event.
    void parseRows(const Json& body, const HistoryEvent& event, CallerReply& reply)
    {
        for (const auto& row : body.at("rows")) {
            if (row.size() != columnCount || row[0].get<std::int64_t>() != event.item)
                throw std::invalid_argument("a row of another request");
            reply.facts.emplace_back(row[1].get<std::string>());
        }
    }

    void parseSuccess(const HttpAnswer& answer, const HistoryEvent& event, CallerReply& reply)
    {
        reply.outcome = Outcome::Done;
        const auto body = Json::parse(answer.body);
        if (event.isWrite && body.at("rows_affected").get<int>() != 1)
            throw std::invalid_argument("a write that did not insert one row");
        if (!event.isWrite)
            parseRows(body, event, reply);
    }

    void parseRefusal(const HttpAnswer& answer, CallerReply& reply)
    {
        const auto error = Json::parse(answer.body).at("error");
        reply.code = error.at("code").get<std::string>();
        reply.outcome = error.at("outcome") == "not_run" ? Outcome::NotRun : Outcome::Unknown;
    }

} // namespace

CallerReply CallerReply::read(const HttpAnswer& answer, const HistoryEvent& event)
{
    CallerReply reply;
    reply.status = answer.status;
    reply.code = "no_answer";
    if (!answer.status)
        return reply;
    reply.code = "";
    reply.token = answer.header("Auburnpost-Session");
    reply.servedBy = answer.header("Auburnpost-Served-By");
    try {
        if (const auto age = answer.header("Auburnpost-Age-Ms"); !age.empty())
            reply.age = std::chrono::milliseconds(std::stoll(age));
        if (answer.status == statusOk)
            parseSuccess(answer, event, reply);
        else
            parseRefusal(answer, reply);
    } catch (const std::exception&) {
        reply.malformed = true;
        reply.code = "malformed";
    }
    return reply;
}

HttpRequest makeRequest(const Operation& operation, const HostEndpoint& host, Duration timeout)
{
    HttpRequest request { host.callers, "/v1/" + operation.organisation->name.value() + "/statements", {},
        operation.body() };
    request.headers.emplace_back("Authorization", "Bearer " + operation.organisation->key);
    request.headers.emplace_back("Auburnpost-Timeout-Ms", std::to_string(toMilliseconds(timeout)));
    if (!operation.token.empty())
        request.headers.emplace_back("Auburnpost-Session", operation.token);
    if (!operation.event.key.empty())
        request.headers.emplace_back("Idempotency-Key", operation.event.key);
    return request;
}

} // namespace Auburnpost::Load
