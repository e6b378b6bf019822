#pragma once

#include "base/SocketAddress.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <memory>
#include <string>
#include <string_view>

/// A TCP connection that sends arbitrary bytes and records all received ones.
class RawClient {
public:
    RawClient(event_base*, const Auburnpost::SocketAddress&);

    void send(std::string_view bytes);
    /// Sends a POST with a JSON body and the headers given, each with its line end.
    void post(std::string_view path, std::string_view body, std::string_view headers = "");
    /// Stops reading until resumeReading().
    void pauseReading() { bufferevent_disable(m_buffer.get(), EV_READ); }
    void resumeReading() { bufferevent_enable(m_buffer.get(), EV_READ); }
    /// Closes the connection immediately.
    void close() { m_buffer.reset(); }

    [[nodiscard]] const std::string& received() const { return m_received; }
    /// @return whether the server closed the connection.
    [[nodiscard]] bool closed() const { return m_closed; }
    /// @return whether a complete reply was received.
    [[nodiscard]] bool hasReply() const;
    /// @return the status of the first reply, 0 if there is none.
    [[nodiscard]] int status() const;
    /// @return the body of the first reply.
    [[nodiscard]] std::string body() const;
    /// Discards the first reply, which must be complete.
    void nextReply();

private:
    struct Callbacks;
    [[nodiscard]] std::size_t replySize() const;

    std::string m_received;
    bool m_closed { false };
    std::unique_ptr<bufferevent, void (*)(bufferevent*)> m_buffer;
};
