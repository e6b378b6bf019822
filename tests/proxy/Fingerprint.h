#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace Auburnpost::Proxy {

/// 64-bit hash of a state, built from its parts in a fixed order.
class Fingerprint {
public:
    void add(std::uint64_t value)
    {
        m_value ^= value + 0x9e3779b97f4a7c15 + (m_value << 6) + (m_value >> 2);
        m_value *= 0xff51afd7ed558ccd;
        m_value ^= m_value >> 32;
    }
    void add(std::string_view text) { add(std::hash<std::string_view> {}(text)); }

    [[nodiscard]] std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value { 0xcbf29ce484222325 };
};

} // namespace Auburnpost::Proxy
