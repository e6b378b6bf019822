#pragma once

#include "base/SocketAddress.h"

#include <string_view>
#include <vector>

/// A listener whose queue of connections is full, so that connecting to it takes until acceptAll().
class FullListener {
public:
    FullListener();
    ~FullListener();
    FullListener(const FullListener&) = delete;
    FullListener& operator=(const FullListener&) = delete;

    [[nodiscard]] const Auburnpost::SocketAddress& address() const { return m_address; }
    /// Accepts the connections that fill the queue.
    void acceptAll();
    /// Accepts the next connection and reads from it.
    /// @return whether it carried exactly the text.
    [[nodiscard]] bool receive(std::string_view text) const;

private:
    Auburnpost::SocketAddress m_address;
    int m_listener { -1 };
    std::vector<int> m_clients;
};
