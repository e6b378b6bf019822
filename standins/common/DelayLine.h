#pragma once

#include "common/EventLoop.h"

#include <deque>
#include <string>

namespace Auburnpost::Standin {

/// Delivers byte chunks in order, each after a fixed delay. Delivery can be paused.
class DelayLine {
public:
    /// @param deliver called with each chunk when its delay has passed.
    DelayLine(const EventLoop&, std::function<void(const std::string&)> deliver);

    /// Sets the delay of chunks that are pushed from now on.
    void setDelay(Duration delay) { m_delay = delay; }
    /// Pauses or resumes delivery. Chunks stay queued during a pause.
    void setPaused(bool);
    void push(std::string bytes);
    [[nodiscard]] bool empty() const { return m_chunks.empty(); }

private:
    struct Chunk {
        Instant due;
        std::string bytes;
    };

    void deliverDue();

    std::function<void(const std::string&)> m_deliver;
    std::deque<Chunk> m_chunks;
    Duration m_delay {};
    bool m_isPaused { false };
    Timer m_timer;
};

} // namespace Auburnpost::Standin
