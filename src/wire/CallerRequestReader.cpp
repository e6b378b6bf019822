#include "wire/CallerRequestReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Auburnpost::Wire {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t parameterLimit = 65535;
    constexpr std::string_view bearerPrefix = "Bearer ";

    using Failure = tl::unexpected<Error>;

    Failure refuse(ErrorCode code, std::string_view step, std::string message)
    {
        return fail(code, std::string(step), "", std::move(message));
    }

    Failure refuseBody(std::string message)
    {
        return refuse(ErrorCode::BadRequest, "read body", std::move(message));
    }

    // Path

    struct Route {
        std::string_view collection;
        /// Path segment after the transaction's handle; empty if the path has no handle.
        std::string_view verb;
        CallerAction action;
    };

    constexpr Route routes[] = {
        { "statements", "", CallerAction::Execute },
        { "transactions", "", CallerAction::Begin },
        { "transactions", "statements", CallerAction::ExecuteInTransaction },
        { "transactions", "commit", CallerAction::Commit },
        { "transactions", "rollback", CallerAction::Rollback },
    };

    constexpr std::size_t collectionSegments = 3;
    constexpr std::size_t verbSegments = 5;

    Expected<void> readRoute(const HttpRequest& message, CallerRequest& request)
    {
        const auto& path = message.path;
        const bool hasVerb = path.size() == verbSegments;
        if ((path.size() == collectionSegments || hasVerb) && path[0] == "v1") {
            for (const auto& route : routes) {
                if (route.collection != path[2] || route.verb != (hasVerb ? path[4] : ""))
                    continue;
                if (message.method != HttpMethod::Post)
                    return refuse(ErrorCode::MethodNotAllowed, "read method", "this path takes POST only");
                request.action = route.action;
                request.organisation = OrganisationName(path[1]);
                request.transaction = hasVerb ? path[3] : "";
                return {};
            }
        }
        return refuse(ErrorCode::BadRequest, "read path", "no such path; see docs/CALLERS.md");
    }

    // Headers

    Expected<std::string> readHeader(const HttpRequest& message, std::string_view name)
    {
        const auto values = message.find(name);
        if (values.empty())
            return std::string();
        const std::string label(name);
        if (values.size() > 1)
            return refuse(ErrorCode::BadRequest, "read header", label + " is there more than once");
        const auto printable = [](char letter) { return letter >= ' ' && letter <= '~'; };
        if (!std::all_of(values.front().begin(), values.front().end(), printable))
            return refuse(ErrorCode::BadRequest, "read header", label + " is not printable ASCII");
        if (values.front().empty())
            return refuse(ErrorCode::BadRequest, "read header", label + " is empty");
        return std::string(values.front());
    }

    Expected<void> readKey(const HttpRequest& message, CallerRequest& request)
    {
        auto authorisation = readHeader(message, "Authorization");
        if (!authorisation)
            return Failure(authorisation.error());
        if (authorisation->empty())
            return {};
        if (!authorisation->starts_with(bearerPrefix))
            return refuse(ErrorCode::Unauthorised, "read header", "Authorization is not 'Bearer KEY'");
        request.key = authorisation->substr(bearerPrefix.size());
        return {};
    }

    Expected<void> readTimeout(const HttpRequest& message, CallerRequest& request)
    {
        const auto text = readHeader(message, "Auburnpost-Timeout-Ms");
        if (!text)
            return Failure(text.error());
        if (text->empty())
            return {};
        std::uint32_t milliseconds = 0;
        const auto* const end = text->data() + text->size();
        const auto [rest, problem] = std::from_chars(text->data(), end, milliseconds);
        if (problem != std::errc {} || rest != end || !milliseconds)
            return refuse(
                ErrorCode::BadRequest, "read header", "Auburnpost-Timeout-Ms is not a whole number of 1 to 4294967295");
        request.timeout = std::chrono::milliseconds(milliseconds);
        return {};
    }

    Expected<void> readText(const HttpRequest& message, std::string_view name, std::string& text)
    {
        auto value = readHeader(message, name);
        if (!value)
            return Failure(value.error());
        text = std::move(*value);
        return {};
    }

    Expected<void> readHeaders(const HttpRequest& message, CallerRequest& request)
    {
        return readKey(message, request)
            .and_then([&] { return readTimeout(message, request); })
            .and_then([&] { return readText(message, "Auburnpost-Session", request.session); })
            .and_then([&] { return readText(message, "Idempotency-Key", request.idempotencyKey); });
    }

    // Body

    Expected<std::string> readString(const Json& value, std::string_view name)
    {
        if (!value.is_string())
            return refuseBody("'" + std::string(name) + "' is a " + value.type_name() + ", not a string");
        auto text = value.get<std::string>();
        if (text.find('\0') != std::string::npos)
            return refuseBody("'" + std::string(name) + "' holds a NUL character");
        return text;
    }

    Expected<SqlValue> readParameter(const Json& value, std::size_t number)
    {
        switch (value.type()) {
        case Json::value_t::null:
            return SqlValue();
        case Json::value_t::boolean:
            return SqlValue(value.get<bool>() ? "t" : "f");
        case Json::value_t::number_integer:
        case Json::value_t::number_unsigned:
        case Json::value_t::number_float:
            return SqlValue(value.dump());
        case Json::value_t::string:
            return readString(value, "params, number " + std::to_string(number)).map([](std::string text) {
                return SqlValue(std::move(text));
            });
        default:
            return refuseBody("'params', number " + std::to_string(number) + " is an " + value.type_name()
                + ", not null, a boolean, a number or a string");
        }
    }

    Expected<void> readSql(const Json& value, CallerRequest& request)
    {
        auto text = readString(value, "sql");
        if (!text)
            return Failure(text.error());
        if (text->empty())
            return refuseBody("'sql' is empty");
        request.statement.sql = std::move(*text);
        return {};
    }

    Expected<void> readParameters(const Json& value, CallerRequest& request)
    {
        if (!value.is_array())
            return refuseBody(std::string("'params' is a ") + value.type_name() + ", not an array");
        if (value.size() > parameterLimit)
            return refuseBody("'params' has more than " + std::to_string(parameterLimit) + " values");
        for (const auto& item : value) {
            auto parameter = readParameter(item, request.statement.parameters.size() + 1);
            if (!parameter)
                return Failure(parameter.error());
            request.statement.parameters.push_back(std::move(*parameter));
        }
        return {};
    }

    Expected<void> readDatabase(const Json& value, CallerRequest& request)
    {
        auto text = readString(value, "database");
        if (!text)
            return Failure(text.error());
        if (text->empty())
            return refuseBody("'database' is empty");
        request.database = DatabaseName(std::move(*text));
        return {};
    }

    Expected<void> readAccess(const Json& value, CallerRequest& request)
    {
        if (value != "read" && value != "write")
            return refuseBody("'access' is neither \"read\" nor \"write\"");
        request.access = value == "write" ? Access::Write : Access::Read;
        return {};
    }

    Expected<void> readMaxAge(const Json& value, CallerRequest& request)
    {
        constexpr std::uint64_t limitMs = std::numeric_limits<std::uint32_t>::max();
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > limitMs)
            return refuseBody("'max_age_ms' is not a whole number of 0 to " + std::to_string(limitMs));
        request.maxAge = std::chrono::milliseconds(value.get<std::uint64_t>());
        return {};
    }

    struct Member {
        std::string_view name;
        Expected<void> (*read)(const Json&, CallerRequest&);
    };

    constexpr Member members[] = {
        { "database", readDatabase },
        { "sql", readSql },
        { "params", readParameters },
        { "access", readAccess },
        { "max_age_ms", readMaxAge },
    };

    /// Members that the body of an action may have and must have.
    struct BodyRule {
        CallerAction action;
        std::vector<std::string_view> allowed;
        std::vector<std::string_view> required;
        Access defaultAccess;
    };

    const BodyRule& bodyRule(CallerAction action)
    {
        static const std::vector<BodyRule> rules {
            { CallerAction::Execute, { "database", "sql", "params", "access", "max_age_ms" }, { "database", "sql" },
                Access::Read },
            { CallerAction::Begin, { "database", "access", "max_age_ms" }, { "database" }, Access::Write },
            { CallerAction::ExecuteInTransaction, { "sql", "params", "access" }, { "sql" }, Access::Write },
            { CallerAction::Commit, {}, {}, Access::Write },
            { CallerAction::Rollback, {}, {}, Access::Write },
        };
        return *std::find_if(rules.begin(), rules.end(), [action](const auto& rule) { return rule.action == action; });
    }

    bool isAmong(const std::vector<std::string_view>& names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    Expected<void> readMember(const std::string& name, const Json& value, const BodyRule& rule, CallerRequest& request)
    {
        if (!isAmong(rule.allowed, name))
            return refuseBody("'" + name + "' has no place in this request");
        const auto* const member = std::find_if(
            std::begin(members), std::end(members), [&](const auto& entry) { return entry.name == name; });
        return member->read(value, request);
    }

    Expected<Json> parseBody(const std::string& text)
    {
        if (text.empty())
            return Json::object();
        try {
            auto body = Json::parse(text);
            if (!body.is_object())
                return refuse(ErrorCode::BadJson, "parse body", std::string("the body is not an object"));
            return body;
        } catch (const Json::parse_error& problem) {
            const std::string_view what = problem.what();
            const auto start = what.find("] ");
            const std::string reason(start == std::string_view::npos ? what : what.substr(start + 2));
            // The parser quotes the text that it read last, which may not be valid UTF-8.
            return refuse(
                ErrorCode::BadJson, "parse body", Json(reason).dump(-1, ' ', true, Json::error_handler_t::replace));
        }
    }

    Expected<void> readBody(const HttpRequest& message, CallerRequest& request)
    {
        const auto body = parseBody(message.body);
        if (!body)
            return Failure(body.error());
        const auto& rule = bodyRule(request.action);
        request.access = rule.defaultAccess;
        for (const auto& [name, value] : body->items()) {
            auto done = readMember(name, value, rule, request);
            if (!done)
                return done;
        }
        for (const auto name : rule.required) {
            if (!body->contains(name))
                return refuseBody("'" + std::string(name) + "' is missing");
        }
        return {};
    }

} // namespace

Expected<CallerRequest> readCallerRequest(const HttpRequest& message)
{
    CallerRequest request;
    request.id = message.id;
    auto done = readRoute(message, request).and_then([&] { return readHeaders(message, request); }).and_then([&] {
        return readBody(message, request);
    });
    if (done)
        return request;
    done.error().peer = message.peer.toString();
    return Failure(std::move(done.error()));
}

} // namespace Auburnpost::Wire
