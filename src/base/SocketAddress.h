#pragma once

#include "base/Expected.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Auburnpost {

/// An IP number and a port.
struct SocketAddress {
    std::string ip;
    std::uint16_t port { 0 };

    auto operator<=>(const SocketAddress&) const = default;

    /// @return "IP:PORT".
    [[nodiscard]] std::string toString() const;
    /// Reads "IP:PORT" with an IPv4 number and a port of 1 to 65535.
    /// @return the address, or ErrorCode::BadSettings for text of another form.
    static Expected<SocketAddress> parse(std::string_view text);
};

} // namespace Auburnpost
