#include "wire/HttpMessage.h"

#include <strings.h>

namespace Auburnpost::Wire {

std::vector<std::string_view> HttpRequest::find(std::string_view name) const
{
    std::vector<std::string_view> values;
    for (const auto& header : headers) {
        if (header.name.size() == name.size() && !strncasecmp(header.name.data(), name.data(), name.size()))
            values.emplace_back(header.value);
    }
    return values;
}

} // namespace Auburnpost::Wire
