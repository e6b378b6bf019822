#include "wire/LineFraming.h"

#include <event2/buffer.h>

namespace Auburnpost::Wire {

std::optional<std::string> LineFraming::takeLine(evbuffer* input)
{
    const auto end = evbuffer_search_eol(input, nullptr, nullptr, EVBUFFER_EOL_CRLF_STRICT);
    if (end.pos < 0)
        return {};
    std::string line(static_cast<std::size_t>(end.pos), '\0');
    evbuffer_remove(input, line.data(), line.size());
    evbuffer_drain(input, lineEnd.size());
    return line;
}

} // namespace Auburnpost::Wire
