#include "wire/LineFraming.h"

#include "wire/LibeventPointers.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <rapidcheck/catch.h>

#include <vector>

using namespace Auburnpost::Wire;

namespace {

/// Text of the bytes that matter to the framing, in any order.
rc::Gen<std::string> framedText()
{
    return rc::gen::container<std::string>(rc::gen::element('\r', '\n', '\0', ' ', 'a', 'b'));
}

/// @return the parts of the text between CR LF, the unfinished last one included.
std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    for (auto end = text.find(LineFraming::lineEnd); end != std::string::npos;
         end = text.find(LineFraming::lineEnd, start)) {
        parts.push_back(text.substr(start, end - start));
        start = end + LineFraming::lineEnd.size();
    }
    parts.push_back(text.substr(start));
    return parts;
}

} // namespace

TEST_CASE("A line ends at CR LF only", "[wire][lines]")
{
    const BufferPointer input(evbuffer_new());
    const std::string text("one\ntwo\rthree\n\rfour\r\r\n\n\r\n\r\nlast\r");
    evbuffer_add(input.get(), text.data(), text.size());
    CHECK(LineFraming::takeLine(input.get()) == "one\ntwo\rthree\n\rfour\r");
    CHECK(LineFraming::takeLine(input.get()) == "\n");
    CHECK(LineFraming::takeLine(input.get()) == "");
    CHECK_FALSE(LineFraming::takeLine(input.get()));
    evbuffer_add(input.get(), "\n", 1);
    CHECK(LineFraming::takeLine(input.get()) == "last");
}

TEST_CASE("Any bytes are divided into the same lines however they arrive", "[wire][lines]")
{
    rc::prop("lines and the unfinished rest are the parts between CR LF", [] {
        const auto pieces = *rc::gen::container<std::vector<std::string>>(framedText());
        const BufferPointer input(evbuffer_new());
        std::string sent;
        std::vector<std::string> lines;
        for (const auto& piece : pieces) {
            sent += piece;
            evbuffer_add(input.get(), piece.data(), piece.size());
            while (auto line = LineFraming::takeLine(input.get()))
                lines.push_back(*std::move(line));
        }
        std::string rest(evbuffer_get_length(input.get()), '\0');
        evbuffer_remove(input.get(), rest.data(), rest.size());
        lines.push_back(rest);
        RC_ASSERT(lines == split(sent));
    });
}
