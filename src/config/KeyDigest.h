#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Auburnpost::Config {

/// SHA-256 of a caller's key.
class KeyDigest {
public:
    static constexpr std::size_t size = 32;

    /// @return the digest of @p key.
    static KeyDigest of(std::string_view key);
    /// @return the digest encoded by 64 hexadecimal digits; nothing if @p hexadecimal has another form.
    static std::optional<KeyDigest> parse(std::string_view hexadecimal);

    /// Compares in constant time.
    [[nodiscard]] bool matches(const KeyDigest&) const;
    /// @return 64 lower-case hexadecimal digits.
    [[nodiscard]] std::string toString() const;

private:
    std::array<std::uint8_t, size> m_bytes {};
};

} // namespace Auburnpost::Config
