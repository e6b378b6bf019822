#include "process/LocalHttp.h"

#include <arpa/inet.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace Auburnpost::Test {

namespace {

    constexpr timeval receiveTimeout { 5, 0 };

    int connectTo(std::uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return descriptor;
        close(descriptor);
        return -1;
    }

    std::string exchange(int descriptor, const std::string& request)
    {
        std::string answer;
        if (send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0)
            return answer;
        char buffer[65536];
        for (ssize_t count = 1; count > 0;) {
            count = recv(descriptor, buffer, sizeof buffer, 0);
            if (count > 0)
                answer.append(buffer, static_cast<std::size_t>(count));
        }
        return answer;
    }

    HttpAnswer parse(const std::string& text)
    {
        HttpAnswer answer;
        const auto end = text.find("\r\n\r\n");
        if (end == std::string::npos)
            return answer;
        std::istringstream header(text.substr(0, end));
        std::string version;
        header >> version >> answer.status;
        std::string line;
        std::getline(header, line);
        while (std::getline(header, line)) {
            const auto colon = line.find(": ");
            if (colon != std::string::npos)
                answer.headers[line.substr(0, colon)] = line.substr(colon + 2, line.find('\r') - colon - 2);
        }
        answer.body = text.substr(end + 4);
        return answer;
    }

} // namespace

HttpAnswer httpCall(std::uint16_t port, const std::string& method, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers)
{
    std::ostringstream request;
    request << method << " " << path
            << " HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: " << body.size() << "\r\n";
    for (const auto& [name, value] : headers)
        request << name << ": " << value << "\r\n";
    request << "\r\n" << body;
    const int descriptor = connectTo(port);
    if (descriptor < 0)
        return {};
    const HttpAnswer answer = parse(exchange(descriptor, request.str()));
    close(descriptor);
    return answer;
}

} // namespace Auburnpost::Test
