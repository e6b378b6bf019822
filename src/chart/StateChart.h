#pragma once

#include "base/Expected.h"

#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Chart {

/// A reaction to an event: actions, and a change of state unless the transition has no target.
struct Transition {
    std::string event;
    /// Name of the guard that has to hold; empty when the transition is unconditional.
    std::string guard;
    /// Index of the target state; index of the state that declares the transition when it has no target.
    std::size_t target { 0 };
    /// Whether the current state is exited and the target entered; a transition without a target only runs its actions.
    bool hasTarget { false };
    std::vector<std::string> actions;
};

/// A state. A state with children is never the current state itself; its initial child is entered instead.
struct State {
    std::string name;
    /// Index of the parent state; the state's own index at the top level.
    std::size_t parent { 0 };
    /// Index of the initial child; the state's own index when it has no children.
    std::size_t initial { 0 };
    std::vector<std::string> onEntry;
    std::vector<std::string> onExit;
    std::vector<Transition> transitions;
};

/// A state chart read from a subset of SCXML: states nested one level, `initial`, `transition` with `event`, `cond`
/// and `target`, `onentry`, `onexit`. A `cond` is the name of a guard; an action is `<action name="..."/>`.
class StateChart {
public:
    /// Parses and validates a chart.
    /// @param name name of the chart, for errors; @param text the SCXML document.
    /// @return the chart, or an error that names the invalid state.
    static Expected<StateChart> parse(std::string_view name, std::string_view text);

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const std::vector<State>& states() const { return m_states; }
    /// @return index of the initial state, always one without children.
    [[nodiscard]] std::size_t initial() const { return m_initial; }
    /// @return the names of all guards, and of all actions; each once, sorted.
    [[nodiscard]] std::vector<std::string> guardNames() const;
    [[nodiscard]] std::vector<std::string> actionNames() const;

private:
    std::string m_name;
    std::vector<State> m_states;
    std::size_t m_initial { 0 };
};

} // namespace Auburnpost::Chart
