#include "chart/ChartRunner.h"
#include "chart/EmbeddedCharts.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Auburnpost;
using namespace Auburnpost::Chart;

namespace {

struct Trace {
    std::string text;
};

class Door {
public:
    bool allowed { true };

    bool isAllowed(const Trace&) const { return allowed; }
    void ring(Trace& trace) { trace.text += "ring "; }
    void light(Trace& trace) { trace.text += "light "; }
    void dark(Trace& trace) { trace.text += "dark "; }

    static ChartBindings<Door, Trace> bindings()
    {
        return { { { "isAllowed", &Door::isAllowed } },
            { { "ring", &Door::ring }, { "light", &Door::light }, { "dark", &Door::dark } } };
    }
};

constexpr std::string_view doorChart = R"(<scxml initial="Shut">
  <state id="Shut"><transition event="push" cond="isAllowed" target="Wide"><action name="ring"/></transition>
    <transition event="push"><action name="ring"/></transition></state>
  <state id="Open" initial="Ajar"><onentry><action name="light"/></onentry><onexit><action name="dark"/></onexit>
    <transition event="shut" target="Shut"/>
    <state id="Ajar"><transition event="push" target="Wide"/></state>
    <state id="Wide"><transition event="pull" target="Ajar"/></state>
  </state></scxml>)";

std::string errorOf(std::string_view text)
{
    const auto chart = StateChart::parse("door", text);
    return chart ? "" : chart.error().message;
}

std::string contentOf(const std::filesystem::path& path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// @return src/chart/charts of the tree that the test runs in.
std::filesystem::path chartFolder()
{
    auto top = std::filesystem::current_path();
    while (!std::filesystem::exists(top / "src/chart/charts") && top.has_relative_path())
        top = top.parent_path();
    return top / "src/chart/charts";
}

} // namespace

TEST_CASE("A chart runs its transitions, guards and actions", "[chart]")
{
    auto runner = *ChartRunner<Door, Trace>::bind(*StateChart::parse("door", doorChart), Door::bindings());
    Door door;
    Trace trace;
    CHECK(runner.state() == "Shut");
    SECTION("the entry actions of the parent run only when the parent is entered")
    {
        CHECK(runner.fire("push", door, trace));
        CHECK(runner.state() == "Wide");
        CHECK(runner.isIn("Open"));
        CHECK(runner.fire("pull", door, trace));
        CHECK(trace.text == "ring light ");
        CHECK(runner.fire("shut", door, trace));
        CHECK(trace.text == "ring light dark ");
        CHECK(runner.state() == "Shut");
    }
    SECTION("the next transition is tried when a guard does not hold")
    {
        door.allowed = false;
        CHECK(runner.fire("push", door, trace));
        CHECK(runner.state() == "Shut");
        CHECK(trace.text == "ring ");
    }
    SECTION("an event without a transition is ignored")
    {
        CHECK_FALSE(runner.fire("pull", door, trace));
        CHECK(runner.state() == "Shut");
    }
}

TEST_CASE("An invalid chart is refused with an error", "[chart]")
{
    CHECK(errorOf("<scxml><state id='A'").find("at offset") != std::string::npos);
    CHECK(errorOf("<other/>") == "the root element is not 'scxml'");
    CHECK(errorOf("<scxml/>") == "the chart has no state");
    CHECK(errorOf("<scxml initial='B'><state id='A'/></scxml>") == "unknown state 'B' as initial of 'door'");
    CHECK(errorOf("<scxml><state id='A'><transition event='e' target='B'/></state></scxml>")
        == "unknown state 'B' as target in 'A'");
    CHECK(errorOf("<scxml><state id='A'/><state id='B'/></scxml>") == "state 'B' can't be reached");
    CHECK(errorOf("<scxml><state id='A'/><state id='A'/></scxml>") == "state 'A' is defined twice");
    CHECK(errorOf("<scxml><state id='A'><state id='B'><state id='C'/></state></state></scxml>")
        == "state 'C' is nested too deeply");
    CHECK(errorOf("<scxml><state id='A'><transition/></state></scxml>") == "a transition of 'A' has no event");
    CHECK(errorOf("<scxml><parallel/></scxml>") == "unknown element 'parallel'");
    CHECK(errorOf("<scxml><state id='A'><onentry><log/></onentry></state></scxml>")
        == "'log' is not an action with a name");
}

TEST_CASE("An unbound guard or action is refused with its name", "[chart]")
{
    auto bindings = Door::bindings();
    SECTION("action")
    {
        bindings.actions.erase("ring");
        const auto runner = ChartRunner<Door, Trace>::bind(*StateChart::parse("door", doorChart), bindings);
        REQUIRE_FALSE(runner);
        CHECK(runner.error().message == "action 'ring' is not bound");
    }
    SECTION("guard")
    {
        bindings.guards.clear();
        const auto runner = ChartRunner<Door, Trace>::bind(*StateChart::parse("door", doorChart), bindings);
        REQUIRE_FALSE(runner);
        CHECK(runner.error().message == "guard 'isAllowed' is not bound");
    }
}

TEST_CASE("The embedded charts are identical to the files and valid", "[chart]")
{
    std::size_t files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(chartFolder())) {
        INFO(entry.path().filename().string() << ": run scripts/embed-charts.py");
        const auto name = entry.path().stem().string();
        CHECK(embeddedChart(name) == contentOf(entry.path()));
        const auto chart = StateChart::parse(name, embeddedChart(name));
        INFO((chart ? "" : chart.error().describe()));
        CHECK(chart);
        ++files;
    }
    CHECK(files == embeddedCharts().size());
    CHECK(embeddedChart("none").empty());
}
