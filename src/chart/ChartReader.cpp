#include "chart/ChartReader.h"

namespace Auburnpost::Chart {

namespace {

    constexpr std::size_t maxNestingDepth = 1;

    bool isKnownChild(std::string_view name)
    {
        return name == "state" || name == "transition" || name == "onentry" || name == "onexit";
    }

} // namespace

ChartReader::ChartReader(std::string_view chartName)
    : m_chartName(chartName)
{
}

Expected<std::vector<State>> ChartReader::read(std::string_view text)
{
    pugi::xml_document document;
    const auto parseResult = document.load_buffer(text.data(), text.size());
    if (!parseResult)
        return tl::unexpected(
            makeError(std::string(parseResult.description()) + " at offset " + std::to_string(parseResult.offset)));
    const auto root = document.child("scxml");
    if (!root)
        return tl::unexpected(makeError("the root element is not 'scxml'"));
    if (auto error = readStates(root, 0, 0))
        return tl::unexpected(*error);
    if (m_states.empty())
        return tl::unexpected(makeError("the chart has no state"));
    if (auto error = readBehaviour(root))
        return tl::unexpected(*error);
    if (auto error = checkReachable())
        return tl::unexpected(*error);
    return std::move(m_states);
}

ChartReader::OptionalError ChartReader::readStates(
    const pugi::xml_node& parent, std::size_t depth, std::size_t parentIndex)
{
    for (const auto& node : parent.children()) {
        if (node.type() != pugi::node_element)
            continue;
        if (!isKnownChild(node.name()))
            return makeError(std::string("unknown element '") + node.name() + "'");
        if (std::string_view(node.name()) != "state")
            continue;
        if (auto error = readState(node, depth, parentIndex))
            return error;
    }
    return std::nullopt;
}

ChartReader::OptionalError ChartReader::readState(
    const pugi::xml_node& node, std::size_t depth, std::size_t parentIndex)
{
    const std::string name = node.attribute("id").value();
    if (name.empty())
        return makeError("a state has no id");
    if (depth > maxNestingDepth)
        return makeError("state '" + name + "' is nested too deeply");
    const auto index = m_states.size();
    if (!m_indexes.emplace(name, index).second)
        return makeError("state '" + name + "' is defined twice");
    State state;
    state.name = name;
    state.parent = depth == 0 ? index : parentIndex;
    state.initial = index;
    m_states.push_back(std::move(state));
    m_nodes.push_back(node);
    return readStates(node, depth + 1, index);
}

ChartReader::OptionalError ChartReader::resolveInitial(
    const pugi::xml_node& node, std::size_t& initial, const std::string& owner)
{
    const std::string name = node.attribute("initial").value();
    const auto first = node.child("state").attribute("id").value();
    const auto found = m_indexes.find(name.empty() ? first : name);
    if (found == m_indexes.end())
        return makeError("unknown state '" + name + "' as initial of '" + owner + "'");
    initial = found->second;
    return std::nullopt;
}

ChartReader::OptionalError ChartReader::readBehaviour(const pugi::xml_node& root)
{
    for (std::size_t index = 0; index < m_states.size(); ++index) {
        auto& state = m_states[index];
        const auto& node = m_nodes[index];
        if (node.child("state")) {
            if (auto error = resolveInitial(node, state.initial, state.name))
                return error;
            if (m_states[state.initial].parent != index)
                return makeError("initial of '" + state.name + "' is not one of its children");
        }
        if (auto error = readActions(node.child("onentry"), state.onEntry))
            return error;
        if (auto error = readActions(node.child("onexit"), state.onExit))
            return error;
        if (auto error = readTransitions(node, state, index))
            return error;
    }
    if (auto error = resolveInitial(root, m_initial, m_chartName))
        return error;
    m_initial = m_states[m_initial].initial;
    return std::nullopt;
}

ChartReader::OptionalError ChartReader::readTransitions(const pugi::xml_node& node, State& state, std::size_t index)
{
    for (const auto& child : node.children("transition")) {
        Transition transition;
        transition.event = child.attribute("event").value();
        transition.guard = child.attribute("cond").value();
        transition.target = index;
        if (transition.event.empty())
            return makeError("a transition of '" + state.name + "' has no event");
        const std::string target = child.attribute("target").value();
        if (!target.empty()) {
            const auto found = m_indexes.find(target);
            if (found == m_indexes.end())
                return makeError("unknown state '" + target + "' as target in '" + state.name + "'");
            transition.target = found->second;
            transition.hasTarget = true;
        }
        if (auto error = readActions(child, transition.actions))
            return error;
        state.transitions.push_back(std::move(transition));
    }
    return std::nullopt;
}

ChartReader::OptionalError ChartReader::readActions(const pugi::xml_node& node, std::vector<std::string>& actions) const
{
    for (const auto& child : node.children()) {
        if (child.type() != pugi::node_element)
            continue;
        const std::string name = child.attribute("name").value();
        if (std::string_view(child.name()) != "action" || name.empty())
            return makeError(std::string("'") + child.name() + "' is not an action with a name");
        actions.push_back(name);
    }
    return std::nullopt;
}

ChartReader::OptionalError ChartReader::checkReachable() const
{
    std::vector<bool> reached(m_states.size(), false);
    std::vector<std::size_t> pending { m_initial };
    const auto reach = [&](std::size_t index) {
        if (reached[index])
            return;
        reached[index] = true;
        pending.push_back(index);
    };
    reached[m_initial] = true;
    while (!pending.empty()) {
        const auto& state = m_states[pending.back()];
        pending.pop_back();
        reach(state.parent);
        reach(state.initial);
        for (const auto& transition : state.transitions)
            reach(transition.target);
    }
    for (std::size_t index = 0; index < m_states.size(); ++index) {
        if (!reached[index])
            return makeError("state '" + m_states[index].name + "' can't be reached");
    }
    return std::nullopt;
}

Error ChartReader::makeError(const std::string& message) const
{
    return { ErrorCode::Internal, "read chart", m_chartName, message };
}

} // namespace Auburnpost::Chart
