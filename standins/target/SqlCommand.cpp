#include "target/SqlCommand.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace Auburnpost::Standin {

namespace {

    constexpr std::array<std::uint32_t, 3> integerTypes { 20, 21, 23 };
    constexpr std::array<std::uint32_t, 3> realTypes { 700, 701, 1700 };

    template <typename Number> SqlExpected<SqlParameter> bindNumber(const std::string& text)
    {
        Number number {};
        const auto* const end = text.data() + text.size();
        const auto [rest, problem] = std::from_chars(text.data(), end, number);
        if (problem != std::errc {} || rest != end)
            return makeSqlError(SqlState::badParameter, "'" + text + "' is no number of the declared type");
        return SqlExpected<SqlParameter>(tl::in_place, number);
    }

    // Returns the length of the quoted text or comment at the start of the text, or 0 when there is none.
    std::size_t quotedOrCommentLength(std::string_view text)
    {
        const auto lengthThrough = [&](std::string_view end, std::size_t from) {
            const auto found = text.find(end, from);
            return found == std::string_view::npos ? text.size() : found + end.size();
        };
        if (text.front() == '\'' || text.front() == '"')
            return lengthThrough(text.substr(0, 1), 1);
        if (text.starts_with("--"))
            return lengthThrough("\n", 0);
        if (text.starts_with("/*"))
            return lengthThrough("*/", 2);
        return 0;
    }

    bool isBlank(const std::string& text)
    {
        return text.find_first_not_of(" \t\r\n") == std::string::npos;
    }

} // namespace

SqlExpected<SqlParameter> bindText(const SqlValue& value, std::uint32_t oid)
{
    if (!value)
        return SqlExpected<SqlParameter>(tl::in_place);
    if (std::find(integerTypes.begin(), integerTypes.end(), oid) != integerTypes.end())
        return bindNumber<std::int64_t>(*value);
    if (std::find(realTypes.begin(), realTypes.end(), oid) != realTypes.end())
        return bindNumber<double>(*value);
    return SqlExpected<SqlParameter>(tl::in_place, *value);
}

std::vector<std::string> splitStatements(const std::string& text)
{
    std::vector<std::string> statements;
    std::string current;
    const auto finish = [&] {
        if (!isBlank(current))
            statements.push_back(current);
        current.clear();
    };
    for (std::size_t at = 0; at < text.size();) {
        const auto length = std::max<std::size_t>(1, quotedOrCommentLength(std::string_view(text).substr(at)));
        if (length == 1 && text[at] == ';')
            finish();
        else
            current.append(text, at, length);
        at += length;
    }
    finish();
    return statements;
}

} // namespace Auburnpost::Standin
