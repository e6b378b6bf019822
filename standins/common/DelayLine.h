#pragma once

#include "common/EventLoop.h"

#include <deque>
#include <string>

namespace Auburnpost::Standin {

/// Passes bytes on in order after a fixed delay, and keeps them back while the line is held.
class DelayLine {
public:
    /// @param deliver takes the bytes when they are due.
    DelayLine(const EventLoop&, std::function<void(const std::string&)> deliver);

    void setDelay(Duration delay) { m_delay = delay; }
    /// Stops or resumes delivery; nothing is lost.
    void setHeld(bool);
    void push(std::string bytes);
    [[nodiscard]] bool empty() const { return m_parcels.empty(); }

private:
    struct Parcel {
        Instant due;
        std::string bytes;
    };

    void deliverDue();

    std::function<void(const std::string&)> m_deliver;
    std::deque<Parcel> m_parcels;
    Duration m_delay {};
    bool m_held { false };
    Timer m_timer;
};

} // namespace Auburnpost::Standin
