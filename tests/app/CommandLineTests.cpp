#include "app/CommandLine.h"
#include "app/Flags.h"
#include "app/HttpClient.h"
#include "app/Logging.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace Auburnpost;
using namespace std::chrono_literals;

namespace {

int exitStatusOf(std::vector<std::string> words)
{
    words.insert(words.begin(), "auburnpost");
    std::vector<char*> arguments(words.size());
    std::transform(words.begin(), words.end(), arguments.begin(), [](std::string& word) { return word.data(); });
    return runCommandLine(static_cast<int>(arguments.size()), arguments.data());
}

} // namespace

TEST_CASE("A usage error ends with status 2", "[app][command]")
{
    CHECK(exitStatusOf({}) == 2);
    CHECK(exitStatusOf({ "srve" }) == 2);
    CHECK(exitStatusOf({ "config" }) == 2);
    CHECK(exitStatusOf({ "version", "--loud" }) == 2);
    CHECK(exitStatusOf({ "version", "now" }) == 2);
    CHECK(exitStatusOf({ "serve" }) == 2);
    CHECK(exitStatusOf({ "serve", "--settings" }) == 2);
    CHECK(exitStatusOf({ "serve", "--settings", "/nonexistent/host.ini" }) == 2);
    CHECK(exitStatusOf({ "config", "get", "placemint", "--operators", "127.0.0.1:1" }) == 2);
    CHECK(exitStatusOf({ "config", "put", "placement", "--operators", "127.0.0.1:1" }) == 2);
    CHECK(exitStatusOf({ "state", "--operators", "here" }) == 2);
    CHECK(exitStatusOf({ "state", "--operators=127.0.0.1:1", "--timeout=soon" }) == 2);
}

TEST_CASE("Help and version end with status 0", "[app][command]")
{
    CHECK(exitStatusOf({ "version" }) == 0);
    CHECK(exitStatusOf({ "--help" }) == 0);
    CHECK(exitStatusOf({ "config", "put", "--help" }) == 0);
}

TEST_CASE("A command that fails ends with status 1", "[app][command]")
{
    CHECK(exitStatusOf({ "config", "check", "/nonexistent/document.json" }) == 1);
    // Nothing listens on port 1.
    CHECK(exitStatusOf({ "state", "--operators", "127.0.0.1:1" }) == 1);
}

TEST_CASE("Flags are accepted as --name=value and as --name value", "[app][command]")
{
    const std::vector<std::string> arguments { "placement", "--if-match", "7", "--operators=127.0.0.1:2", "-" };
    const auto positional = parseFlags(arguments, { "if_match", "operators" });
    REQUIRE(positional);
    CHECK(*positional == std::vector<std::string> { "placement", "-" });
    CHECK_FALSE(isFlagEmpty("if_match"));
    CHECK_FALSE(parseFlags(arguments, { "operators" }));
}

TEST_CASE("A call to a host that refuses the connection reports error code and address", "[app][http]")
{
    const auto response = callOperators({ *SocketAddress::parse("127.0.0.1:1"), "/state", {}, "", 5s });
    REQUIRE_FALSE(response);
    CHECK(response.error().code == ErrorCode::ConnectionRefused);
    CHECK(response.error().peer == "127.0.0.1:1");
}

TEST_CASE("A log line has event number, text and fields, and control characters in a value are escaped", "[app][log]")
{
    CHECK(Logging::formatLine({ LogEvent::PrimarySuspected, { { "database", "d-1" }, { "target", "t-1" } } })
        == "E0400 primary suspected database=d-1 target=t-1");
    CHECK(Logging::formatLine({ LogEvent::RequestRefused, { { "message", "a\nE0100 \"host\" started" } } })
        == R"(E0600 request refused message="a\nE0100 \"host\" started")");
}
