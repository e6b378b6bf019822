#include "app/LogBuffer.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;

TEST_CASE("A reader that accepts nothing causes dropped lines, but never blocks the writer", "[app][log]")
{
    LogBuffer buffer;
    const std::string line(1000, 'x');
    constexpr std::size_t lines = 400;
    for (std::size_t count = 0; count < lines; ++count) {
        buffer.add(line);
        buffer.flush([](std::string_view) { return std::size_t { 0 }; });
    }
    CHECK(buffer.size() <= LogBuffer::capacityBytes);
    CHECK(buffer.takeDroppedCount() == lines - LogBuffer::capacityBytes / line.size());
    CHECK(buffer.takeDroppedCount() == 0);

    SECTION("the buffered lines are written once the reader accepts data again")
    {
        std::size_t read = 0;
        buffer.flush([&read](std::string_view text) {
            const auto accepted = std::min<std::size_t>(text.size(), 4096);
            read += accepted;
            return accepted;
        });
        CHECK(read == LogBuffer::capacityBytes / line.size() * line.size());
        CHECK(buffer.size() == 0);
    }
}
