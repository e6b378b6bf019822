#pragma once

#include "base/LogPoint.h"
#include "session/Answer.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace Auburnpost::Platform {

/// @return whether the text has a control character, a CR or LF included.
inline bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char letter) { return std::iscntrl(letter) != 0; });
}

/// @return whether the text can be a field of a line, which a space or a line end would divide.
inline bool isField(std::string_view text)
{
    return !text.empty() && text.find(' ') == std::string_view::npos && !hasControlCharacter(text);
}

/// Removes the first field from a line and returns it; fields are separated by one space.
inline std::string_view nextField(std::string_view& line)
{
    const auto blank = line.find(' ');
    const auto field = line.substr(0, blank);
    line = blank == std::string_view::npos ? std::string_view() : line.substr(blank + 1);
    return field;
}

/// @return the number; empty if the text is not an unsigned decimal number.
inline std::optional<std::uint64_t> readNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, problem] = std::from_chars(text.data(), end, number);
    if (problem != std::errc {} || rest != end)
        return {};
    return number;
}

/// @return the log point that "TERM.POSITION" denotes; empty for "-" and other text.
inline std::optional<LogPoint> readPosition(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return {};
    const auto term = readNumber(text.substr(0, dot));
    const auto number = readNumber(text.substr(dot + 1));
    if (!term || !number)
        return {};
    return LogPoint { Term(*term), Position(*number) };
}

inline std::string writePosition(const std::optional<LogPoint>& point)
{
    if (!point)
        return "-";
    return std::to_string(point->term.value()) + "." + std::to_string(point->position.value());
}

/// @return the state that a letter denotes; empty for other text.
inline std::optional<Session::TransactionState> readState(std::string_view letter)
{
    if (letter == "I")
        return Session::TransactionState::Idle;
    if (letter == "T")
        return Session::TransactionState::Open;
    if (letter == "E")
        return Session::TransactionState::Failed;
    return {};
}

} // namespace Auburnpost::Platform
