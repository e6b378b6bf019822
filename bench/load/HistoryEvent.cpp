#include "load/HistoryEvent.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Auburnpost::Load {

namespace {

    using Json = nlohmann::json;

    constexpr std::array<std::string_view, 3> outcomeNames { "done", "not_run", "unknown" };

    Outcome parseOutcome(const std::string& name)
    {
        for (std::size_t index = 0; index < outcomeNames.size(); ++index) {
            if (outcomeNames[index] == name)
                return static_cast<Outcome>(index);
        }
        throw std::invalid_argument("no such outcome: " + name);
    }

    std::int64_t toMicroseconds(Instant instant)
    {
        return instant.time_since_epoch().count();
    }

    Instant parseInstant(const Json& json)
    {
        return Instant(Duration(json.get<std::int64_t>()));
    }

    std::optional<Duration> parseOptionalDuration(const Json& json, const char* name)
    {
        if (!json.contains(name))
            return {};
        return Duration(json.at(name).get<std::int64_t>());
    }

    HistoryEvent parseEvent(const Json& json)
    {
        HistoryEvent event;
        event.session = SessionNumber(json.at("session").get<std::uint64_t>());
        event.kind = json.at("kind").get<std::string>();
        event.isWrite = json.at("op").get<std::string>() == "write";
        event.database = DatabaseName(json.at("database").get<std::string>());
        event.item = json.at("item").get<std::int64_t>();
        event.fact = Fact(json.at("fact").get<std::string>());
        event.key = json.at("key").get<std::string>();
        event.invoked = parseInstant(json.at("invoked_us"));
        event.completed = parseInstant(json.at("completed_us"));
        event.outcome = parseOutcome(json.at("outcome").get<std::string>());
        event.status = json.at("status").get<int>();
        event.code = json.at("code").get<std::string>();
        event.attempts = json.at("attempts").get<std::uint32_t>();
        event.host = HostName(json.at("host").get<std::string>());
        event.servedBy = json.at("served_by").get<std::string>();
        event.maxAge = parseOptionalDuration(json, "max_age_us");
        event.age = parseOptionalDuration(json, "age_us");
        for (const auto& fact : json.at("facts"))
            event.facts.emplace_back(fact.get<std::string>());
        return event;
    }

} // namespace

std::string_view toString(Outcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string HistoryEvent::toLine() const
{
    Json json { { "session", session.value() }, { "kind", kind }, { "op", isWrite ? "write" : "read" },
        { "database", database.value() }, { "item", item }, { "fact", fact.value() }, { "key", key },
        { "invoked_us", toMicroseconds(invoked) }, { "completed_us", toMicroseconds(completed) },
        { "outcome", toString(outcome) }, { "status", status }, { "code", code }, { "attempts", attempts },
        { "host", host.value() }, { "served_by", servedBy }, { "facts", Json::array() } };
    if (maxAge)
        json["max_age_us"] = maxAge->count();
    if (age)
        json["age_us"] = age->count();
    for (const auto& returned : facts)
        json["facts"].push_back(returned.value());
    return json.dump();
}

Expected<HistoryEvent> HistoryEvent::fromLine(std::string_view line)
{
    try {
        return parseEvent(Json::parse(line));
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadMessage, "read history", "", problem.what());
    }
}

} // namespace Auburnpost::Load
