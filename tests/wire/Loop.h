#pragma once

#include <event2/event.h>

#include <chrono>
#include <functional>
#include <memory>

/// The event loop of a test.
class Loop {
public:
    Loop();

    [[nodiscard]] event_base* base() const { return m_base.get(); }
    /// Runs the loop until the condition holds.
    /// @return whether the condition held within 5 s.
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition) const;
    /// Runs the loop for a duration.
    void runFor(std::chrono::milliseconds) const;

private:
    std::unique_ptr<event_base, void (*)(event_base*)> m_base;
};
