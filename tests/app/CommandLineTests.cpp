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

int statusOf(std::vector<std::string> words)
{
    words.insert(words.begin(), "auburnpost");
    std::vector<char*> arguments(words.size());
    std::transform(words.begin(), words.end(), arguments.begin(), [](std::string& word) { return word.data(); });
    return runCommandLine(static_cast<int>(arguments.size()), arguments.data());
}

} // namespace

TEST_CASE("Wrong use of the command line ends with status 2", "[app][command]")
{
    CHECK(statusOf({}) == 2);
    CHECK(statusOf({ "srve" }) == 2);
    CHECK(statusOf({ "config" }) == 2);
    CHECK(statusOf({ "version", "--loud" }) == 2);
    CHECK(statusOf({ "version", "now" }) == 2);
    CHECK(statusOf({ "serve" }) == 2);
    CHECK(statusOf({ "serve", "--settings" }) == 2);
    CHECK(statusOf({ "serve", "--settings", "/nonexistent/host.ini" }) == 2);
    CHECK(statusOf({ "config", "get", "placemint", "--operators", "127.0.0.1:1" }) == 2);
    CHECK(statusOf({ "config", "put", "placement", "--operators", "127.0.0.1:1" }) == 2);
    CHECK(statusOf({ "state", "--operators", "here" }) == 2);
    CHECK(statusOf({ "state", "--operators=127.0.0.1:1", "--timeout=soon" }) == 2);
}

TEST_CASE("Help and version end with status 0", "[app][command]")
{
    CHECK(statusOf({ "version" }) == 0);
    CHECK(statusOf({ "--help" }) == 0);
    CHECK(statusOf({ "config", "put", "--help" }) == 0);
}

TEST_CASE("A command that fails ends with status 1", "[app][command]")
{
    CHECK(statusOf({ "config", "check", "/nonexistent/document.json" }) == 1);
    // Port 1 on this machine has no listener.
    CHECK(statusOf({ "state", "--operators", "127.0.0.1:1" }) == 1);
}

TEST_CASE("Flags may be written in each of the usual ways", "[app][command]")
{
    const std::vector<std::string> arguments { "placement", "--if-match", "7", "--operators=127.0.0.1:2", "-" };
    const auto rest = parseFlags(arguments, { "if_match", "operators" });
    REQUIRE(rest);
    CHECK(*rest == std::vector<std::string> { "placement", "-" });
    CHECK_FALSE(isFlagEmpty("if_match"));
    CHECK_FALSE(parseFlags(arguments, { "operators" }));
}

TEST_CASE("A call to a host that refuses names step and address", "[app][http]")
{
    const auto response = callOperators({ *SocketAddress::parse("127.0.0.1:1"), "/state", {}, "", 5s });
    REQUIRE_FALSE(response);
    CHECK(response.error().code == ErrorCode::ConnectionRefused);
    CHECK(response.error().peer == "127.0.0.1:1");
}

TEST_CASE("A log line has number, text and fields, and stays one line", "[app][log]")
{
    CHECK(Logging::formatLine({ LogEvent::PrimarySuspected, { { "database", "d-1" }, { "target", "t-1" } } })
        == "E0400 primary suspected database=d-1 target=t-1");
    CHECK(Logging::formatLine({ LogEvent::RequestRefused, { { "message", "a\nE0100 \"host\" started" } } })
        == R"(E0600 request refused message="a\nE0100 \"host\" started")");
}
