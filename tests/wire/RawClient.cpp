#include "wire/RawClient.h"

#include "wire/SocketOptions.h"

#include <event2/buffer.h>

#include <array>
#include <charconv>

namespace {

constexpr std::string_view headerEnd = "\r\n\r\n";
constexpr std::string_view lengthName = "Content-Length: ";
constexpr std::size_t readSize = 65536;

} // namespace

struct RawClient::Callbacks {
    static void read(bufferevent* buffer, void* argument)
    {
        std::array<char, readSize> bytes {};
        std::size_t size = 0;
        while ((size = bufferevent_read(buffer, bytes.data(), bytes.size())))
            static_cast<RawClient*>(argument)->m_received.append(bytes.data(), size);
    }

    static void event(bufferevent* buffer, short what, void* argument)
    {
        read(buffer, argument);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            static_cast<RawClient*>(argument)->m_closed = true;
    }
};

RawClient::RawClient(event_base* base, const Auburnpost::SocketAddress& address)
    : m_buffer(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE), bufferevent_free)
{
    Auburnpost::Wire::ignoreBrokenPipe();
    const auto target = Auburnpost::Wire::toSockaddr(address);
    bufferevent_setcb(m_buffer.get(), &Callbacks::read, nullptr, &Callbacks::event, this);
    bufferevent_enable(m_buffer.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(m_buffer.get(), reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

void RawClient::send(std::string_view bytes)
{
    bufferevent_write(m_buffer.get(), bytes.data(), bytes.size());
}

void RawClient::post(std::string_view path, std::string_view body, std::string_view headers)
{
    std::string message = "POST " + std::string(path) + " HTTP/1.1\r\nHost: test\r\nContent-Length: ";
    message += std::to_string(body.size()) + "\r\n" + std::string(headers) + "\r\n" + std::string(body);
    send(message);
}

std::size_t RawClient::replySize() const
{
    const auto header = m_received.find(headerEnd);
    const auto length = m_received.find(lengthName);
    if (header == std::string::npos || length == std::string::npos)
        return std::string::npos;
    std::size_t size = 0;
    std::from_chars(m_received.data() + length + lengthName.size(), m_received.data() + m_received.size(), size);
    return header + headerEnd.size() + size;
}

bool RawClient::hasReply() const
{
    return replySize() <= m_received.size();
}

int RawClient::status() const
{
    constexpr std::size_t statusOffset = 9;
    int status = 0;
    if (m_received.size() > statusOffset)
        std::from_chars(m_received.data() + statusOffset, m_received.data() + m_received.size(), status);
    return status;
}

std::string RawClient::body() const
{
    const auto header = m_received.find(headerEnd);
    return header == std::string::npos
        ? ""
        : m_received.substr(header + headerEnd.size(), replySize() - header - headerEnd.size());
}

void RawClient::nextReply()
{
    m_received.erase(0, replySize());
}
