#include "base/SocketAddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace Auburnpost {

std::string SocketAddress::toString() const
{
    return ip + ":" + std::to_string(port);
}

Expected<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const auto reject = [text] {
        return fail(ErrorCode::BadSettings, "parse address", "", "'" + std::string(text) + "' is not IP:PORT");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return reject();
    SocketAddress address { std::string(text.substr(0, colon)), 0 };
    in_addr number {};
    if (inet_pton(AF_INET, address.ip.c_str(), &number) != 1)
        return reject();
    const auto portText = text.substr(colon + 1);
    const auto [end, problem] = std::from_chars(portText.data(), portText.data() + portText.size(), address.port);
    if (problem != std::errc {} || end != portText.data() + portText.size() || !address.port)
        return reject();
    return address;
}

} // namespace Auburnpost
