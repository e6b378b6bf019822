#include "target/GroupCall.h"

#include <array>
#include <charconv>
#include <regex>

namespace Auburnpost::Standin {

namespace {

    constexpr std::uint32_t int8Type = 20;
    constexpr std::uint32_t textType = 25;
    constexpr std::size_t maxCallLength = 400;

    struct Operation {
        const char* name;
        GroupOperation operation;
        std::size_t arguments;
        void (*fill)(GroupCommand&, const std::vector<std::string>&);
    };

    struct InvalidNumber { };

    std::uint64_t parseNumber(const std::string& text)
    {
        std::uint64_t value = 0;
        const auto [rest, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (problem != std::errc {} || rest != text.data() + text.size())
            throw InvalidNumber {};
        return value;
    }

    void fillAttempt(GroupCommand& command, const std::vector<std::string>& arguments)
    {
        command.term = Term(parseNumber(arguments[0]));
        command.candidate = arguments[1];
    }

    void fillFollow(GroupCommand& command, const std::vector<std::string>& arguments)
    {
        command.term = Term(parseNumber(arguments[0]));
        command.primary = TargetName(arguments[1]);
    }

    void fillWait(GroupCommand& command, const std::vector<std::string>& arguments)
    {
        command.point = { Term(parseNumber(arguments[0])), Position(parseNumber(arguments[1])) };
        command.timeout = std::chrono::milliseconds(parseNumber(arguments[2]));
    }

    constexpr std::array operations {
        Operation { "status", GroupOperation::Status, 0, [](GroupCommand&, const std::vector<std::string>&) {} },
        Operation { "fence", GroupOperation::Fence, 2, fillAttempt },
        Operation { "promote", GroupOperation::Promote, 2, fillAttempt },
        Operation { "follow", GroupOperation::Follow, 2, fillFollow },
        Operation { "wait", GroupOperation::Wait, 3, fillWait },
    };

    const std::regex& callPattern()
    {
        static const std::regex pattern(
            R"(\s*select\s+(?:\*\s+from\s+)?group_([a-z]+)\s*\(([^()]*)\)\s*;?\s*)", std::regex::icase);
        return pattern;
    }

    std::string trim(const std::string& text)
    {
        const auto first = text.find_first_not_of(" \t\r\n");
        return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
    }

    std::string parameterText(const SqlParameter& parameter)
    {
        if (const auto* const integer = std::get_if<std::int64_t>(&parameter))
            return std::to_string(*integer);
        const auto* const text = std::get_if<std::string>(&parameter);
        return text ? *text : "";
    }

    std::string argumentText(const std::string& argument, const SqlCommand& command)
    {
        if (argument.starts_with('$')) {
            const auto index = parseNumber(argument.substr(1));
            if (!index || index > command.parameters.size())
                throw InvalidNumber {};
            return parameterText(command.parameters[index - 1]);
        }
        if (argument.size() > 1 && argument.front() == '\'' && argument.back() == '\'')
            return argument.substr(1, argument.size() - 2);
        return argument;
    }

    std::vector<std::string> readArguments(const std::string& list, const SqlCommand& command)
    {
        std::vector<std::string> arguments;
        for (std::size_t at = 0; at < list.size();) {
            const auto comma = std::min(list.find(',', at), list.size());
            arguments.push_back(argumentText(trim(list.substr(at, comma - at)), command));
            at = comma + 1;
        }
        return arguments;
    }

} // namespace

bool isGroupCall(const std::string& sql)
{
    return sql.size() < maxCallLength && sql.find("group_") != std::string::npos
        && std::regex_match(sql, callPattern());
}

SqlExpected<GroupCommand> parseGroupCall(const SqlCommand& command)
{
    std::smatch parts;
    if (!std::regex_match(command.sql, parts, callPattern()))
        return makeSqlError(SqlState::syntax, "not a group operation");
    for (const Operation& known : operations) {
        if (parts[1].str() != known.name)
            continue;
        GroupCommand result;
        result.operation = known.operation;
        try {
            const auto arguments = readArguments(parts[2].str(), command);
            if (arguments.size() != known.arguments)
                return makeSqlError(SqlState::protocol, "wrong number of arguments");
            known.fill(result, arguments);
        } catch (const InvalidNumber&) {
            return makeSqlError(SqlState::badParameter, "an argument is not a number");
        }
        return result;
    }
    return makeSqlError(SqlState::syntax, "unknown group operation " + parts[1].str());
}

std::vector<Column> groupColumns()
{
    return { { "accepted", textType }, { "role", textType }, { "fenced_term", int8Type }, { "last_term", int8Type },
        { "last_position", int8Type }, { "following", textType }, { "candidate", textType } };
}

QueryResult toResult(const GroupStatus& status)
{
    QueryResult result;
    result.tag = "SELECT 1";
    result.set.columns = groupColumns();
    result.set.rows.push_back({ status.accepted ? "t" : "f", std::string(toString(status.role)),
        std::to_string(status.fencedTerm.value()), std::to_string(status.end.term.value()),
        std::to_string(status.end.position.value()), status.following.value(), status.candidate });
    return result;
}

} // namespace Auburnpost::Standin
