#pragma once

#include "base/Invariant.h"
#include "chart/StateChart.h"

#include <map>

namespace Auburnpost::Chart {

/// Binds the names of a chart's guards and actions to members of its owner.
/// @tparam Owner the class with these members; @tparam Context argument of each call, such as the current time.
template <typename Owner, typename Context> struct ChartBindings {
    std::map<std::string, bool (Owner::*)(const Context&) const> guards;
    std::map<std::string, void (Owner::*)(Context&)> actions;
};

/// Runs one instance of a chart. It keeps no pointer to its owner, so that the owner can be moved.
template <typename Owner, typename Context> class ChartRunner {
public:
    using Bindings = ChartBindings<Owner, Context>;

    /// Creates a runner for a chart.
    /// @return the runner in the chart's initial state (whose entry actions are not run),
    /// or an error that names a guard or action without a binding.
    static Expected<ChartRunner> bind(StateChart chart, Bindings bindings)
    {
        for (const auto& name : chart.guardNames()) {
            if (!bindings.guards.contains(name))
                return fail(ErrorCode::Internal, "bind chart", chart.name(), "guard '" + name + "' is not bound");
        }
        for (const auto& name : chart.actionNames()) {
            if (!bindings.actions.contains(name))
                return fail(ErrorCode::Internal, "bind chart", chart.name(), "action '" + name + "' is not bound");
        }
        return ChartRunner(std::move(chart), std::move(bindings));
    }

    /// Executes the first transition for @p event whose guard holds; the transitions of the current state come before
    /// those of its parent. An action must not fire another event.
    /// @return whether there was such a transition.
    bool fire(std::string_view event, Owner& owner, Context& context)
    {
        AUBURNPOST_INVARIANT(!m_isFiring, "an action of a chart fired an event");
        const auto* const transition = findTransition(event, owner, context);
        if (!transition)
            return false;
        m_isFiring = true;
        const auto target = m_chart.states()[transition->target].initial;
        const auto source = m_current;
        if (transition->hasTarget)
            runExitActions(target, owner, context);
        runActions(transition->actions, owner, context);
        if (transition->hasTarget)
            enterState(source, target, owner, context);
        m_isFiring = false;
        return true;
    }

    /// @return the name of the current state.
    [[nodiscard]] const std::string& state() const { return m_chart.states()[m_current].name; }

    /// @return whether @p name is the current state or its parent.
    [[nodiscard]] bool isIn(std::string_view name) const
    {
        const auto& current = m_chart.states()[m_current];
        return current.name == name || m_chart.states()[current.parent].name == name;
    }

private:
    ChartRunner(StateChart chart, Bindings bindings)
        : m_chart(std::move(chart))
        , m_bindings(std::move(bindings))
        , m_current(m_chart.initial())
    {
    }

    const Transition* findTransition(std::string_view event, const Owner& owner, const Context& context) const
    {
        const auto& current = m_chart.states()[m_current];
        if (const auto* const found = findTransitionIn(current, event, owner, context))
            return found;
        return current.parent == m_current ? nullptr
                                           : findTransitionIn(m_chart.states()[current.parent], event, owner, context);
    }

    const Transition* findTransitionIn(
        const State& state, std::string_view event, const Owner& owner, const Context& context) const
    {
        for (const auto& transition : state.transitions) {
            if (transition.event != event)
                continue;
            if (transition.guard.empty() || (owner.*m_bindings.guards.at(transition.guard))(context))
                return &transition;
        }
        return nullptr;
    }

    void runExitActions(std::size_t target, Owner& owner, Context& context)
    {
        const auto& current = m_chart.states()[m_current];
        runActions(current.onExit, owner, context);
        if (current.parent != m_current && current.parent != m_chart.states()[target].parent)
            runActions(m_chart.states()[current.parent].onExit, owner, context);
    }

    void enterState(std::size_t source, std::size_t target, Owner& owner, Context& context)
    {
        m_current = target;
        const auto& entered = m_chart.states()[target];
        if (entered.parent != target && entered.parent != m_chart.states()[source].parent)
            runActions(m_chart.states()[entered.parent].onEntry, owner, context);
        runActions(entered.onEntry, owner, context);
    }

    void runActions(const std::vector<std::string>& actions, Owner& owner, Context& context)
    {
        for (const auto& name : actions)
            (owner.*m_bindings.actions.at(name))(context);
    }

    StateChart m_chart;
    Bindings m_bindings;
    std::size_t m_current { 0 };
    bool m_isFiring { false };
};

} // namespace Auburnpost::Chart
