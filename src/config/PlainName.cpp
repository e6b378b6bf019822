#include "config/PlainName.h"

#include <algorithm>
#include <cctype>

namespace Auburnpost::Config {

namespace {

    constexpr std::size_t maxNameLength = 63;

    bool isNameCharacter(char character)
    {
        return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_'
            || character == '.';
    }

} // namespace

bool isPlainName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

} // namespace Auburnpost::Config
