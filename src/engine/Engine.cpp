#include "engine/Engine.h"

#include "engine/EngineState.h"

#include <nlohmann/json.hpp>

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
    const auto& text = m_state->documentText();
    if (section.empty() || text.empty())
        return text;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const auto sections
        = json.is_object() ? json.value("sections", nlohmann::json::object()) : nlohmann::json::object();
    return sections.contains(section) ? sections[section].dump(2) : std::string();
}

ConfigVersion Engine::documentVersion() const
{
    return m_state->documentVersion();
}

} // namespace Auburnpost
