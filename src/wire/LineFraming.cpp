#include "wire/LineFraming.h"

#include <event2/buffer.h>

namespace Auburnpost::Wire {

std::optional<std::string> LineFraming::takeLine(evbuffer* input)
{
    std::size_t searchedBytes = 0;
    return takeLine(input, searchedBytes);
}

std::optional<std::string> LineFraming::takeLine(evbuffer* input, std::size_t& searchedBytes)
{
    evbuffer_ptr start {};
    if (evbuffer_ptr_set(input, &start, searchedBytes, EVBUFFER_PTR_SET))
        return {};
    const auto end = evbuffer_search_eol(input, &start, nullptr, EVBUFFER_EOL_CRLF_STRICT);
    if (end.pos < 0) {
        // The last byte may be the first one of a line end.
        const auto length = evbuffer_get_length(input);
        searchedBytes = length > 0 ? length - 1 : 0;
        return {};
    }
    searchedBytes = 0;
    std::string line(static_cast<std::size_t>(end.pos), '\0');
    evbuffer_remove(input, line.data(), line.size());
    evbuffer_drain(input, lineEnd.size());
    return line;
}

} // namespace Auburnpost::Wire
