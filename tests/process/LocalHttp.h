#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Auburnpost::Test {

struct HttpAnswer {
    /// 0 when the connection failed or ended without an answer.
    int status { 0 };
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Makes one request to 127.0.0.1 and waits for its answer for up to 5 s.
HttpAnswer httpCall(std::uint16_t port, const std::string& method, const std::string& path,
    const std::string& body = "", const std::map<std::string, std::string>& headers = {});

} // namespace Auburnpost::Test
