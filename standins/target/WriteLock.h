#pragma once

#include "common/EventLoop.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace Auburnpost::Standin {

/// The lock of the one open write transaction; others wait in order for a limited time.
class WriteLock {
public:
    using Owner = std::uint64_t;

    WriteLock(EventLoop&, Duration timeout);

    /// @param granted called with whether @p owner has the lock, at once if it is free.
    void request(Owner, std::function<void(bool)> granted);
    /// Gives the lock on if @p owner has it, and forgets its request if it waits.
    void release(Owner);

private:
    struct Waiter {
        std::uint64_t ticket;
        Owner owner;
        std::function<void(bool)> granted;
    };

    void grantNext();
    void expire(std::uint64_t ticket);

    EventLoop& m_loop;
    Duration m_timeout;
    Owner m_owner { 0 };
    std::uint64_t m_lastTicket { 0 };
    std::deque<Waiter> m_waiting;
};

} // namespace Auburnpost::Standin
