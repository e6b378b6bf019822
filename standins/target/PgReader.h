#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace Auburnpost::Standin {

/// Thrown for a message that is shorter than its fields.
struct PgBadMessage : std::runtime_error {
    PgBadMessage()
        : std::runtime_error("a message is cut short")
    {
    }
};

/// Reads the fields of one message of PostgreSQL's protocol. Reading past the end throws PgBadMessage.
class PgReader {
public:
    explicit PgReader(std::string_view body)
        : m_rest(body)
    {
    }

    std::uint16_t int16() { return static_cast<std::uint16_t>(number(2)); }
    std::uint32_t int32() { return number(4); }
    char byte() { return bytes(1).front(); }

    /// @return the text before the next NUL, which is consumed too.
    std::string text()
    {
        const auto end = m_rest.find('\0');
        if (end == std::string_view::npos)
            throw PgBadMessage();
        std::string value(m_rest.substr(0, end));
        m_rest.remove_prefix(end + 1);
        return value;
    }

    std::string_view bytes(std::size_t count)
    {
        if (m_rest.size() < count)
            throw PgBadMessage();
        const auto value = m_rest.substr(0, count);
        m_rest.remove_prefix(count);
        return value;
    }

    [[nodiscard]] bool empty() const { return m_rest.empty(); }

private:
    std::uint32_t number(std::size_t width)
    {
        std::uint32_t value = 0;
        for (const char digit : bytes(width))
            value = value << 8 | static_cast<unsigned char>(digit);
        return value;
    }

    std::string_view m_rest;
};

} // namespace Auburnpost::Standin
