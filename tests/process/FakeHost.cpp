#include "process/FakeHost.h"

#include "process/ChildProcess.h"

#include <arpa/inet.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace Auburnpost::Test {

FakeHost::FakeHost()
    : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    , m_port(freePort())
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || listen(m_listener, SOMAXCONN) != 0)
        throw std::runtime_error("the fake host can't listen");
    m_thread = std::thread([this] { serve(); });
}

FakeHost::~FakeHost()
{
    stop();
}

void FakeHost::stop()
{
    if (m_isStopping.exchange(true))
        return;
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
}

void FakeHost::serve()
{
    while (!m_isStopping) {
        const int client = accept(m_listener, nullptr, nullptr);
        if (client < 0)
            continue;
        char request[4096];
        if (recv(client, request, sizeof request, 0) > 0) {
            const std::string answer
                = "HTTP/1.1 " + std::to_string(m_status) + " x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            send(client, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        close(client);
    }
}

} // namespace Auburnpost::Test
