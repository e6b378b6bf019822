#include "app/LogBuffer.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;

TEST_CASE("A reader that takes nothing costs lines, never time", "[app][log]")
{
    LogBuffer buffer;
    const std::string line(1000, 'x');
    constexpr std::size_t lines = 400;
    for (std::size_t count = 0; count < lines; ++count) {
        buffer.add(line);
        buffer.flush([](std::string_view) { return std::size_t { 0 }; });
    }
    CHECK(buffer.size() <= LogBuffer::capacity);
    CHECK(buffer.takeDropped() == lines - LogBuffer::capacity / line.size());
    CHECK(buffer.takeDropped() == 0);

    SECTION("what was kept goes out in order once it reads again")
    {
        std::size_t read = 0;
        buffer.flush([&read](std::string_view text) {
            const auto taken = std::min<std::size_t>(text.size(), 4096);
            read += taken;
            return taken;
        });
        CHECK(read == LogBuffer::capacity / line.size() * line.size());
        CHECK(buffer.size() == 0);
    }
}
