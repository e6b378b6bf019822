#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Wire {

enum class HttpMethod : std::uint8_t {
    Get,
    Post,
    Put,
    Other,
};

struct HttpHeader {
    std::string name;
    std::string value;
};

/// A complete request, as read by an HttpServer.
struct HttpRequest {
    RequestId id;
    HttpMethod method { HttpMethod::Other };
    /// The segments of the path, percent-decoded.
    std::vector<std::string> path;
    std::vector<HttpHeader> headers;
    std::string body;
    SocketAddress peer;

    /// @return all values of the named header; names are compared without regard to case.
    [[nodiscard]] std::vector<std::string_view> find(std::string_view name) const;
};

/// The answer to an HttpRequest.
struct HttpReply {
    int status { 200 };
    std::vector<HttpHeader> headers;
    std::string body;
};

} // namespace Auburnpost::Wire
