#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Auburnpost::Test {

struct HttpAnswer {
    /// HTTP status; 0 when the connection failed or closed without an answer.
    int status { 0 };
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Sends one HTTP request to 127.0.0.1 and reads the answer until the connection closes. Each receive waits up to 5 s.
HttpAnswer httpCall(std::uint16_t port, const std::string& method, const std::string& path,
    const std::string& body = "", const std::map<std::string, std::string>& headers = {});

} // namespace Auburnpost::Test
