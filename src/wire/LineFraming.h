#pragma once

#include <optional>
#include <string>
#include <string_view>

struct evbuffer;

namespace Auburnpost::Wire {

/// The framing of lines, the same on every connection that carries them.
class LineFraming {
public:
    static constexpr std::string_view lineEnd = "\r\n";

    /// Removes the first complete line from the input. Only CR LF ends a line; a CR or LF alone belongs to its text.
    /// @return the line without its end; empty while no line is complete.
    [[nodiscard]] static std::optional<std::string> takeLine(evbuffer* input);
};

} // namespace Auburnpost::Wire
