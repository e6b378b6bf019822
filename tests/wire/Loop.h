#pragma once

#include <event2/event.h>

#include <chrono>
#include <functional>
#include <memory>

/// An event loop of a test's own.
class Loop {
public:
    Loop();

    [[nodiscard]] event_base* base() const { return m_base.get(); }
    /// Runs the loop until the condition holds.
    /// @return whether it came to hold within the guard of 5 s.
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition) const;
    /// Runs what is ready, and what becomes ready within the time.
    void runFor(std::chrono::milliseconds) const;

private:
    std::unique_ptr<event_base, void (*)(event_base*)> m_base;
};
