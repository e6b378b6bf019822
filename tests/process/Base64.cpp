#include "process/Base64.h"

#include <string_view>

namespace Auburnpost::Test {

std::string encodeBase64(const std::string& bytes)
{
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::size_t bytesPerGroup = 3;
    constexpr std::size_t lettersPerGroup = 4;
    constexpr unsigned bitsPerByte = 8;
    constexpr unsigned bitsPerLetter = 6;
    constexpr unsigned letterMask = 63;
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += bytesPerGroup) {
        unsigned bits = 0;
        for (std::size_t index = 0; index < bytesPerGroup; ++index)
            bits = bits << bitsPerByte
                | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (std::size_t index = 0; index < lettersPerGroup; ++index) {
            const auto shift = bitsPerLetter * (lettersPerGroup - 1 - index);
            text += at + index <= bytes.size() ? letters[bits >> shift & letterMask] : '=';
        }
    }
    return text;
}

} // namespace Auburnpost::Test
