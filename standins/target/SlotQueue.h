#pragma once

#include "common/EventLoop.h"
#include "target/Target.h"

#include <deque>
#include <functional>

namespace Auburnpost::Standin {

/// Executes a limited number of statements at a time; others wait in order.
class SlotQueue {
public:
    SlotQueue(EventLoop&, Target&);

    /// @param isWanted returns whether the statement still has to be executed when a slot is free for it.
    /// @param execute called at the end of the service time of the statement, before its slot is released.
    void enqueue(std::function<bool()> isWanted, std::function<void()> execute);

private:
    struct Job {
        std::function<bool()> isWanted;
        std::function<void()> execute;
    };

    void startNext();

    EventLoop& m_loop;
    Target& m_target;
    std::deque<Job> m_waiting;
    std::int64_t m_busySlots { 0 };
};

} // namespace Auburnpost::Standin
