#pragma once

#include "base/Invariant.h"
#include "chart/StateChart.h"

#include <map>

namespace Auburnpost::Chart {

/// The guards and actions of a chart, bound to members of its owner.
/// @tparam Owner the class whose members they are; @tparam Context what each call is given, such as the present time.
template <typename Owner, typename Context> struct ChartBindings {
    std::map<std::string, bool (Owner::*)(const Context&) const> guards;
    std::map<std::string, void (Owner::*)(Context&)> actions;
};

/// Runs one instance of a chart. It holds no pointer to its owner, so that the owner can be moved.
template <typename Owner, typename Context> class ChartRunner {
public:
    using Bindings = ChartBindings<Owner, Context>;

    /// Joins a chart with its bindings.
    /// @return the runner in the chart's first state (whose entry actions are not run),
    /// or an error that names the guard or action without a binding.
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

    /// Takes the first transition for @p event whose guard holds: those of the state come before those of its parent.
    /// An action must not fire another event.
    /// @return whether there was one.
    bool fire(std::string_view event, Owner& owner, Context& context)
    {
        AUBURNPOST_INVARIANT(!m_firing, "a chart's action fires an event");
        const auto* const transition = choose(event, owner, context);
        if (!transition)
            return false;
        m_firing = true;
        const auto target = m_chart.states()[transition->target].initial;
        const auto source = m_current;
        if (transition->leaves)
            leave(target, owner, context);
        run(transition->actions, owner, context);
        if (transition->leaves)
            enter(source, target, owner, context);
        m_firing = false;
        return true;
    }

    /// @return name of the current state.
    [[nodiscard]] const std::string& state() const { return m_chart.states()[m_current].name; }

    /// @return whether the current state is @p name or lies in it.
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

    const Transition* choose(std::string_view event, const Owner& owner, const Context& context) const
    {
        const auto& current = m_chart.states()[m_current];
        if (const auto* const found = chooseIn(current, event, owner, context))
            return found;
        return current.parent == m_current ? nullptr
                                           : chooseIn(m_chart.states()[current.parent], event, owner, context);
    }

    const Transition* chooseIn(
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

    void leave(std::size_t target, Owner& owner, Context& context)
    {
        const auto& current = m_chart.states()[m_current];
        run(current.onExit, owner, context);
        if (current.parent != m_current && current.parent != m_chart.states()[target].parent)
            run(m_chart.states()[current.parent].onExit, owner, context);
    }

    void enter(std::size_t source, std::size_t target, Owner& owner, Context& context)
    {
        m_current = target;
        const auto& entered = m_chart.states()[target];
        if (entered.parent != target && entered.parent != m_chart.states()[source].parent)
            run(m_chart.states()[entered.parent].onEntry, owner, context);
        run(entered.onEntry, owner, context);
    }

    void run(const std::vector<std::string>& actions, Owner& owner, Context& context)
    {
        for (const auto& name : actions)
            (owner.*m_bindings.actions.at(name))(context);
    }

    StateChart m_chart;
    Bindings m_bindings;
    std::size_t m_current { 0 };
    bool m_firing { false };
};

} // namespace Auburnpost::Chart
