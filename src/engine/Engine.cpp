#include "engine/Engine.h"

#include "engine/EngineState.h"

namespace Auburnpost {

Engine::Engine(Instant now, const Config::Settings& settings, Incarnation incarnation, std::uint64_t seed)
    : m_state(std::make_unique<EngineState>(now, settings, incarnation, seed))
{
}

Engine::~Engine() = default;

Actions Engine::onEvent(Instant now, Event event)
{
    return m_state->onEvent(now, std::move(event));
}

bool Engine::isReady() const
{
    return m_state->isReady();
}

std::string Engine::dump(Instant now) const
{
    return m_state->dump(now);
}

std::string Engine::documentText(const std::string& section) const
{
    return m_state->config().sectionText(section);
}

ConfigVersion Engine::documentVersion() const
{
    return m_state->config().version();
}

} // namespace Auburnpost
