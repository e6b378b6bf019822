#pragma once

#include "common/EventLoop.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace Auburnpost::Standin {

/// The lock that allows only one open write transaction. Other transactions wait in order, for a limited time.
class WriteLock {
public:
    using Owner = std::uint64_t;

    WriteLock(EventLoop&, Duration timeout);

    /// @param onDecision called with true when the owner gets the lock, at once if it is free, or with false after the
    /// timeout.
    void request(Owner, std::function<void(bool)> onDecision);
    /// Releases the lock if the owner holds it, and removes waiting requests of the owner.
    void release(Owner);

private:
    struct Waiter {
        std::uint64_t ticket;
        Owner owner;
        std::function<void(bool)> onDecision;
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
