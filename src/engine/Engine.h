#pragma once

#include "base/Random.h"
#include "config/Settings.h"
#include "engine/Action.h"
#include "engine/Event.h"

#include <memory>
#include <string>

namespace Auburnpost {

class EngineState;

/// The decision logic of one host: takes an event with its time and returns the resulting actions. It has no clock,
/// socket or entropy source of its own, so that a simulation can drive it as well.
class Engine {
public:
    /// The incarnation of this host must be higher than that of any earlier run.
    /// @param seed seed of the random engine.
    Engine(Instant now, const Config::Settings&, Incarnation, std::uint64_t seed);
    ~Engine();
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    /// Handles an event. Calls have to come in order of time; a Tick is due at least every tickInterval.
    /// @return the actions to perform, in order.
    Actions onEvent(Instant now, Event);

    static constexpr Duration tickInterval { std::chrono::milliseconds(10) };

    /// @return whether the load balancer may send callers to this host.
    [[nodiscard]] bool isReady() const;
    /// @return the whole state as JSON.
    [[nodiscard]] std::string dump(Instant now) const;
    /// @return the current document, or one of its sections, as JSON; empty when there is none.
    [[nodiscard]] std::string documentText(const std::string& section) const;
    [[nodiscard]] ConfigVersion documentVersion() const;

private:
    std::unique_ptr<EngineState> m_state;
};

} // namespace Auburnpost
