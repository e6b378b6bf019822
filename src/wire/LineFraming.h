#pragma once

#include <cstddef>
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
    /// As above, without searching again what an earlier call has searched. A long line that arrives in small pieces
    /// would otherwise cost time in proportion to the square of its length.
    /// @param searchedBytes number of bytes at the start of the input that hold no line end; updated.
    [[nodiscard]] static std::optional<std::string> takeLine(evbuffer* input, std::size_t& searchedBytes);
};

} // namespace Auburnpost::Wire
