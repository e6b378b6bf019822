#pragma once

#include "base/Expected.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Auburnpost {

/// An IPv4 address and a port.
struct SocketAddress {
    std::string ip;
    std::uint16_t port { 0 };

    auto operator<=>(const SocketAddress&) const = default;

    /// @return "IP:PORT".
    [[nodiscard]] std::string toString() const;
    /// Parses "IP:PORT" with a dotted IPv4 address and a port from 1 to 65535.
    /// @return the address, or ErrorCode::BadSettings if @p text has another form.
    static Expected<SocketAddress> parse(std::string_view text);
};

} // namespace Auburnpost
