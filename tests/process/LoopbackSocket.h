#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Auburnpost::Test {

/// A TCP socket on 127.0.0.1, closed by the destructor.
class LoopbackSocket {
public:
    LoopbackSocket() = default;
    explicit LoopbackSocket(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~LoopbackSocket();
    LoopbackSocket(LoopbackSocket&&) noexcept;
    LoopbackSocket& operator=(LoopbackSocket&&) noexcept;

    /// @param receiveBufferBytes size of the kernel's receive buffer; 0 keeps the default.
    /// @return a connected socket, or one that is not open.
    static LoopbackSocket connectTo(std::uint16_t port, int receiveBufferBytes = 0);
    /// @return a listening socket.
    static LoopbackSocket listenOn(std::uint16_t port);

    [[nodiscard]] bool isOpen() const { return m_descriptor >= 0; }
    [[nodiscard]] int descriptor() const { return m_descriptor; }
    void setNonBlocking() const;
    void setReceiveTimeout(int seconds) const;
    /// Ends both directions, which wakes threads that wait for the socket.
    void shutDown() const;
    /// Sends all bytes. @return whether the peer took them.
    [[nodiscard]] bool sendAll(std::string_view bytes) const;

private:
    int m_descriptor { -1 };
};

/// Reads lines that end with CR LF, and blocks of bytes, from a blocking socket.
class SocketReader {
public:
    explicit SocketReader(const LoopbackSocket& socket)
        : m_socket(socket)
    {
    }
    /// @return whether a line was read; false at the end of the connection.
    bool readLine(std::string& line);
    /// @return whether as many bytes were read; false at the end of the connection.
    bool readBytes(std::size_t count, std::string& bytes);

private:
    bool fill();

    const LoopbackSocket& m_socket;
    std::string m_buffered;
};

} // namespace Auburnpost::Test
