#include "load/CallerClient.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Load {

namespace {

    using Json = nlohmann::json;

    constexpr int statusOk = 200;
    constexpr std::size_t columnCount = 2;

    /// Throws when the rows are not those of the item.
    void readRows(const Json& body, const HistoryEvent& event, CallerReply& reply)
    {
        for (const auto& row : body.at("rows")) {
            if (row.size() != columnCount || row[0].get<std::int64_t>() != event.item)
                throw std::invalid_argument("a row of another request");
            reply.facts.emplace_back(row[1].get<std::string>());
        }
    }

    void readDone(const HttpAnswer& answer, const HistoryEvent& event, CallerReply& reply)
    {
        reply.outcome = Outcome::Done;
        const auto body = Json::parse(answer.body);
        if (event.isWrite && body.at("rows_affected").get<int>() != 1)
            throw std::invalid_argument("a write that did not insert one row");
        if (!event.isWrite)
            readRows(body, event, reply);
    }

    void readRefusal(const HttpAnswer& answer, CallerReply& reply)
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
            readDone(answer, event, reply);
        else
            readRefusal(answer, reply);
    } catch (const std::exception&) {
        reply.malformed = true;
        reply.code = "malformed";
    }
    return reply;
}

HttpCall makeCall(const Operation& operation, const HostEndpoint& host, Duration timeout)
{
    HttpCall call { host.callers, "/v1/" + operation.organisation->name.value() + "/statements", {}, operation.body() };
    call.headers.emplace_back("Authorization", "Bearer " + operation.organisation->key);
    call.headers.emplace_back("Auburnpost-Timeout-Ms", std::to_string(toMilliseconds(timeout)));
    if (!operation.token.empty())
        call.headers.emplace_back("Auburnpost-Session", operation.token);
    if (!operation.event.key.empty())
        call.headers.emplace_back("Idempotency-Key", operation.event.key);
    return call;
}

} // namespace Auburnpost::Load
