#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Auburnpost {

/// Lines of the log on their way to a reader that may be slow: kept up to a bound, written without blocking, and
/// counted when they are dropped.
class LogBuffer {
public:
    /// At full load a host logs about 25 KiB in a second, so that a reader may stop for some seconds.
    static constexpr std::size_t capacity = 256UL * 1024;

    /// Writes some of the bytes and returns how many, 0 when the reader takes none now.
    using Sink = std::function<std::size_t(std::string_view)>;

    /// Keeps a text of whole lines, or drops it when there is no room.
    void add(std::string_view text);
    /// Hands out what the sink takes.
    void flush(const Sink&);
    /// @return how many texts were dropped since the last call.
    std::size_t takeDropped();
    [[nodiscard]] std::size_t size() const { return m_text.size(); }

private:
    std::string m_text;
    std::size_t m_dropped { 0 };
};

} // namespace Auburnpost
