#pragma once

#include "session/Statement.h"

#include <array>
#include <cstdint>
#include <string>

namespace Auburnpost::Proxy {

/// The name under which connections prepare a shape, the same for all sessions. Two shapes share a name only if they
/// are the same text with the same access. Callers choose the texts, and could choose two with the same short or
/// non-cryptographic digest.
class PreparedName {
public:
    static PreparedName of(const Session::PreparedShape&);

    /// @return the name on the wire: a letter and 64 hexadecimal digits.
    [[nodiscard]] std::string toString() const;
    auto operator<=>(const PreparedName&) const = default;

private:
    static constexpr std::size_t digestSize = 32;

    Session::Access m_access { Session::Access::Read };
    /// SHA-256 of the text.
    std::array<std::uint8_t, digestSize> m_digest {};
};

/// A shape and its name, which is derived once for all uses by a statement.
struct NamedShape {
    explicit NamedShape(Session::PreparedShape definition)
        : shape(std::move(definition))
        , name(PreparedName::of(shape))
    {
    }

    Session::PreparedShape shape;
    PreparedName name;
};

} // namespace Auburnpost::Proxy
