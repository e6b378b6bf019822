#pragma once

#include "common/EventLoop.h"
#include "target/Target.h"

#include <deque>
#include <functional>

namespace Auburnpost::Standin {

/// Lets a limited number of statements execute at a time; the others wait in order.
class SlotQueue {
public:
    SlotQueue(EventLoop&, Target&);

    /// @param wanted tells whether the statement is still to be executed when its turn comes.
    /// @param execute called when the statement's service time is over, before its slot is given on.
    void submit(std::function<bool()> wanted, std::function<void()> execute);

private:
    struct Job {
        std::function<bool()> wanted;
        std::function<void()> execute;
    };

    void startNext();

    EventLoop& m_loop;
    Target& m_target;
    std::deque<Job> m_waiting;
    std::int64_t m_busy { 0 };
};

} // namespace Auburnpost::Standin
