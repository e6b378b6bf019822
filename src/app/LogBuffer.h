#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Auburnpost {

/// Bounded buffer between the log and a reader that may be slow. Lines are written without blocking; lines that do not
/// fit are dropped and counted.
class LogBuffer {
public:
    /// At full load a host logs about 25 KiB per second, so a reader may stall for some seconds without loss.
    static constexpr std::size_t capacityBytes = 256UL * 1024;

    /// Writes part of the text without blocking.
    /// @return the number of bytes written; 0 when the reader accepts none now.
    using Sink = std::function<std::size_t(std::string_view)>;

    /// Appends a text of whole lines, or drops it when there is no room.
    void add(std::string_view text);
    /// Writes buffered text until the sink accepts no more.
    void flush(const Sink&);
    /// @return the number of texts dropped since the last call.
    std::size_t takeDroppedCount();
    [[nodiscard]] std::size_t size() const { return m_text.size(); }

private:
    std::string m_text;
    std::size_t m_dropped { 0 };
};

} // namespace Auburnpost
