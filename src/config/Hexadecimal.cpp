#include "config/Hexadecimal.h"

#include <charconv>

namespace Auburnpost::Config {

std::optional<std::string> parseHexadecimal(std::string_view digits)
{
    constexpr int base = 16;
    if (digits.size() % 2 != 0)
        return std::nullopt;
    std::string bytes;
    for (std::size_t index = 0; index < digits.size(); index += 2) {
        unsigned char byte = 0;
        const auto* const pair = digits.data() + index;
        const auto [end, problem] = std::from_chars(pair, pair + 2, byte, base);
        if (problem != std::errc {} || end != pair + 2)
            return std::nullopt;
        bytes.push_back(static_cast<char>(byte));
    }
    return bytes;
}

std::string formatHexadecimal(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xFU]);
    }
    return text;
}

} // namespace Auburnpost::Config
