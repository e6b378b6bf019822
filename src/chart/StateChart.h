#pragma once

#include "base/Expected.h"

#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Chart {

/// A change of state that an event brings about.
struct Transition {
    std::string event;
    /// Name of the guard that has to hold; empty when there is none.
    std::string guard;
    /// Index of the target state; the transition's own state when it stays.
    std::size_t target { 0 };
    /// Whether the state is left and entered; a transition without target runs its actions only.
    bool leaves { false };
    std::vector<std::string> actions;
};

/// A state; one with children is never current itself, its initial child is.
struct State {
    std::string name;
    /// Index of the enclosing state; its own index for one at the top.
    std::size_t parent { 0 };
    /// Index of the child entered first; its own index for one without children.
    std::size_t initial { 0 };
    std::vector<std::string> onEntry;
    std::vector<std::string> onExit;
    std::vector<Transition> transitions;
};

/// A state chart read from a subset of SCXML: states nested one level, `initial`, `transition` with `event`, `cond`
/// and `target`, `onentry`, `onexit`. A `cond` is the name of a guard; an action is `<action name="..."/>`.
class StateChart {
public:
    /// Reads and checks a chart.
    /// @param name of the chart, for errors; @param text the SCXML.
    /// @return the chart, or an error that names the state at fault.
    static Expected<StateChart> parse(std::string_view name, std::string_view text);

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const std::vector<State>& states() const { return m_states; }
    /// @return index of the state the chart starts in, always one without children.
    [[nodiscard]] std::size_t initial() const { return m_initial; }
    /// @return every guard and every action that is named, each once, sorted.
    [[nodiscard]] std::vector<std::string> guardNames() const;
    [[nodiscard]] std::vector<std::string> actionNames() const;

private:
    std::string m_name;
    std::vector<State> m_states;
    std::size_t m_initial { 0 };
};

} // namespace Auburnpost::Chart
