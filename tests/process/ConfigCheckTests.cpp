#include "process/ConfigCheck.h"

#include <catch2/catch.hpp>

using namespace Auburnpost::Test;
using namespace std::chrono_literals;

namespace {

const Moment start { 100s };

/// Version 1 has a route to group a, version 2 (acknowledged at 10 s) one to group b, version 3 (at 20 s) none.
ConfigHistory makeHistory()
{
    ConfigHistory history;
    history.edits = { { 1, start, start, { { "orders", "a" } } },
        { 2, start + 10s, start + 10s, { { "orders", "b" } } }, { 3, start + 20s, start + 20s, {} } };
    return history;
}

ConfigRequest makeRequest(std::chrono::milliseconds sentAfter, const std::string& group)
{
    return { "1", 0, 1, false, "orders", start + sentAfter, start + sentAfter + 2ms, group };
}

std::size_t countViolations(const ConfigHistory& history)
{
    return ConfigCheck(history, {}).violations().size();
}

} // namespace

TEST_CASE("The check reports a request that an older version handles after the bound", "[check]")
{
    auto history = makeHistory();
    SECTION("run by the group of an older route")
    {
        history.requests = { makeRequest(14001ms, "a") };
        CHECK(countViolations(history) == 1);
    }
    SECTION("run on a dropped route")
    {
        history.requests = { makeRequest(24001ms, "b") };
        CHECK(countViolations(history) == 1);
    }
    SECTION("refused though the route is there")
    {
        history.requests = { makeRequest(14001ms, "") };
        CHECK(countViolations(history) == 1);
    }
}

TEST_CASE("The check reports no request that a version within the bound allows", "[check]")
{
    auto history = makeHistory();
    SECTION("before the bound has passed")
    {
        history.requests = { makeRequest(13999ms, "a") };
    }
    SECTION("by a newer version")
    {
        history.requests = { makeRequest(19999ms, "") };
    }
    SECTION("at a host that was disturbed")
    {
        history.requests = { makeRequest(14001ms, "a") };
        history.disturbances = { { 0, start + 8s, start + 9002ms, "stopped" } };
    }
    SECTION("beside a disturbed store")
    {
        history.requests = { makeRequest(14001ms, "a") };
        history.disturbances = { { Disturbance::allHosts, start + 8s, start + 9002ms, "silent" } };
    }
    CHECK(countViolations(history) == 0);
}

TEST_CASE("The check takes a host whose disturbance ended before the window as in touch", "[check]")
{
    auto history = makeHistory();
    history.requests = { makeRequest(14001ms, "a") };
    SECTION("the host's own")
    {
        history.disturbances = { { 0, start + 8s, start + 9s, "stopped" } };
    }
    SECTION("another host's")
    {
        history.disturbances = { { 1, start + 8s, start + 14s, "stopped" } };
    }
    CHECK(countViolations(history) == 1);
}

TEST_CASE("The check reports a host that goes back to an older version", "[check]")
{
    auto history = makeHistory();
    history.requests = { makeRequest(10100ms, "b"), makeRequest(10353ms, "a") };
    CHECK(countViolations(history) == 1);
    SECTION("unless the request was sent within the slack")
    {
        history.requests.back() = makeRequest(10352ms, "a");
        CHECK(countViolations(history) == 0);
    }
    SECTION("unless the host was started in between")
    {
        history.requests.back().boot = 2;
        CHECK(countViolations(history) == 0);
    }
}
