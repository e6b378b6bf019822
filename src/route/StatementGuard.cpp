#include "route/StatementGuard.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

namespace Auburnpost::Route {

namespace {

    constexpr std::array<std::string_view, 20> refusedKeywords { "abort", "begin", "commit", "copy", "deallocate",
        "discard", "do", "end", "execute", "listen", "load", "prepare", "release", "reset", "rollback", "savepoint",
        "set", "start", "unlisten", "vacuum" };
    constexpr std::array<std::string_view, 6> reservedNames { "auburnpost_", "group_status", "group_fence",
        "group_promote", "group_follow", "group_wait" };

    /// Each of these characters ends a comment that starts with "--".
    constexpr std::string_view lineEnds = "\r\n";

    std::string lower(std::string_view text)
    {
        std::string result(text);
        std::transform(
            result.begin(), result.end(), result.begin(), [](unsigned char letter) { return std::tolower(letter); });
        return result;
    }

    /// @return the index after the comment that starts at @p index; comments may be nested.
    std::size_t skipBlockComment(std::string_view sql, std::size_t index)
    {
        int depth = 0;
        while (index + 1 < sql.size()) {
            if (sql.substr(index, 2) == "/*") {
                ++depth;
                index += 2;
            } else if (sql.substr(index, 2) == "*/") {
                index += 2;
                if (--depth == 0)
                    return index;
            } else {
                ++index;
            }
        }
        return sql.size();
    }

    /// @return the index of the first character that is not white space, ';', '(' or part of a comment.
    std::size_t skipToKeyword(std::string_view sql)
    {
        std::size_t index = 0;
        while (index < sql.size()) {
            if (std::isspace(static_cast<unsigned char>(sql[index])) || sql[index] == ';' || sql[index] == '(')
                ++index;
            else if (sql.substr(index, 2) == "--")
                index = std::min(sql.find_first_of(lineEnds, index), sql.size());
            else if (sql.substr(index, 2) == "/*")
                index = skipBlockComment(sql, index);
            else
                break;
        }
        return index;
    }

    std::string firstKeyword(std::string_view sql)
    {
        const auto start = skipToKeyword(sql);
        auto end = start;
        while (end < sql.size() && std::isalpha(static_cast<unsigned char>(sql[end])))
            ++end;
        return lower(sql.substr(start, end - start));
    }

} // namespace

Expected<void> checkStatement(std::string_view sql)
{
    const auto refuse
        = [](std::string reason) { return fail(ErrorCode::BadRequest, "check statement", "", std::move(reason)); };
    const auto keyword = firstKeyword(sql);
    if (keyword.empty())
        return refuse("there is no statement");
    if (std::find(refusedKeywords.begin(), refusedKeywords.end(), keyword) != refusedKeywords.end())
        return refuse("'" + keyword + "' is not taken as a statement; transactions have calls of their own");
    const auto text = lower(sql);
    for (const auto name : reservedNames) {
        if (text.find(name) != std::string::npos)
            return refuse("the name '" + std::string(name) + "' is reserved");
    }
    return {};
}

} // namespace Auburnpost::Route
