#include "config/DocumentSamples.h"
#include "config/SettingsText.h"

#include "config/SettingsKeys.h"
#include "config/SettingsParser.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace Auburnpost;
using namespace Auburnpost::Config;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> problemsOf(const std::string& text)
{
    const auto settings = parseSettings("host.ini", text);
    std::vector<std::string> problems;
    if (!settings) {
        for (const auto& problem : settings.error())
            problems.push_back(problem.describe());
    }
    return problems;
}

using Problems = std::vector<std::string>;

} // namespace

TEST_CASE("Valid settings are parsed and omitted keys get their defaults", "[config][settings]")
{
    const auto settings = parseSettings("host.ini", goodSettings());
    REQUIRE(settings);
    CHECK(settings->host.name == HostName("host-1"));
    CHECK(settings->listen.peers.toString() == "127.0.0.1:8003");
    CHECK(settings->session.signingKey.size() == 16);
    CHECK(settings->session.signingKey[15] == '\x0f');
    CHECK(settings->limits.defaultTimeout == 5s);
    CHECK(settings->limits.bodyBytes == ByteCount(1'048'576));
    CHECK(settings->log.level == LogLevel::Info);
    CHECK(settings->seeds.hosts.empty());
}

TEST_CASE("Settings are parsed according to their units", "[config][settings]")
{
    const auto settings = parseSettings("host.ini",
        goodSettings()
            + "[limits]\ndefault_timeout = 250ms ; a comment\nmax_timeout = 2min\nbody_bytes = 256KB\nmax_callers = "
              "12\n"
              "[seeds]\nhosts = 127.0.0.1:1, 127.0.0.1:2,\n  127.0.0.1:3\n[log]\nlevel = debug\nfile = /var/log/a\n");
    REQUIRE(settings);
    CHECK(settings->limits.defaultTimeout == 250ms);
    CHECK(settings->limits.maxTimeout == 120s);
    CHECK(settings->limits.bodyBytes == ByteCount(262'144));
    CHECK(settings->limits.maxCallers == 12);
    CHECK(settings->seeds.hosts.size() == 3);
    CHECK(settings->log.level == LogLevel::Debug);
    CHECK(settings->log.file == "/var/log/a");
}

TEST_CASE("A problem in the settings file names the file, line and key", "[config][settings]")
{
    SECTION("an unknown key")
    {
        CHECK(
            problemsOf(goodSettings() + "[log]\nlevle = info\n") == Problems { "host.ini:14: log.levle: unknown key" });
    }
    SECTION("an unknown section, with and without keys")
    {
        CHECK(problemsOf(goodSettings() + "[logs]\n") == Problems { "host.ini:13: logs: unknown section" });
        CHECK(
            problemsOf(goodSettings() + "[logs]\nlevel = info\n") == Problems { "host.ini:13: logs: unknown section" });
    }
    SECTION("an invalid unit or value")
    {
        CHECK(problemsOf(goodSettings() + "[limits]\ndefault_timeout = 5\n")
            == Problems { "host.ini:14: limits.default_timeout: '5' is not a duration above zero with its unit: us, "
                          "ms, s, min or h" });
        CHECK(problemsOf(goodSettings() + "[limits]\nbody_bytes = 5ms\n").size() == 1);
        CHECK(problemsOf(goodSettings() + "[limits]\nmax_callers = 5s\n").size() == 1);
        CHECK(problemsOf(goodSettings() + "[limits]\nmax_callers = 99999999999999999999\n").size() == 1);
        CHECK(problemsOf(goodSettings() + "[limits]\nmax_timeout = 9223372036854775807h\n").size() == 1);
        CHECK(problemsOf(goodSettings() + "[limits]\nmax_timeout = -3s\n").size() == 1);
        CHECK(problemsOf(goodSettings() + "[limits]\nmax_timeout = 0s\n").size() == 1);
    }
    SECTION("a missing value and a missing key")
    {
        CHECK(problemsOf(replaced(goodSettings(), "name = host-1", "name ="))
            == Problems { "host.ini:2: host.name: missing value" });
        CHECK(
            problemsOf(replaced(goodSettings(), "name = host-1\n", "")) == Problems { "host.ini: host.name: missing" });
    }
    SECTION("a key that is set twice")
    {
        CHECK(problemsOf(goodSettings() + "[host]\nname = host-2\n")
            == Problems { "host.ini:14: host.name: already set on line 2" });
    }
    SECTION("a signing key that is too short, missing or not hexadecimal")
    {
        const std::string key = "signing_key = 000102030405060708090a0b0c0d0e0f";
        CHECK(problemsOf(replaced(goodSettings(), key, "signing_key = 0001"))
            == Problems { "host.ini:12: session.signing_key: is shorter than 16 bytes" });
        CHECK(problemsOf(replaced(goodSettings(), key, "signing_key = secret")).size() == 1);
        CHECK(problemsOf(replaced(goodSettings(), key, ""))
            == Problems { "host.ini: session.signing_key: set exactly one of signing_key and signing_key_file" });
    }
    SECTION("keys that contradict one another")
    {
        CHECK(problemsOf(goodSettings() + "[limits]\ndefault_timeout = 61s\n")
            == Problems { "host.ini:14: limits.default_timeout: must not be above limits.max_timeout" });
    }
    SECTION("a line that is not valid INI, and a line that is too long")
    {
        CHECK(problemsOf(goodSettings() + "nonsense\n")
            == Problems { "host.ini:13: line: is neither [section], key = value nor a comment" });
        CHECK(problemsOf(goodSettings() + "previous_key = " + std::string(400, 'a') + "\n")
            == Problems { "host.ini:13: line: longer than 198 characters" });
    }
    SECTION("an indented line, which INI treats as a continuation of the value above")
    {
        CHECK(problemsOf(replaced(goodSettings(), "data_centre", "  data_centre")).size() == 2);
    }
}

TEST_CASE("All problems of the settings are reported together, sorted by line", "[config][settings]")
{
    const auto text = replaced(goodSettings(), "127.0.0.1:8001", "here") + "junk\n[log]\nlevel = loud\nmore junk\n";
    CHECK(problemsOf(text)
        == Problems { "host.ini:5: listen.callers: 'here' is not IP:PORT",
            "host.ini:13: line: is neither [section], key = value nor a comment",
            "host.ini:15: log.level: 'loud' is not debug, info, warn or error",
            "host.ini:16: line: is neither [section], key = value nor a comment" });
}

TEST_CASE("Every settings key is defined once and its default can be parsed", "[config][settings]")
{
    std::set<std::string> names;
    for (const auto& key : settingsKeys()) {
        const auto name = std::string(key.section) + "." + std::string(key.key);
        INFO(name);
        CHECK(names.insert(name).second);
        Settings settings;
        if (key.defaultText && !key.defaultText->empty())
            CHECK(key.read(*key.defaultText, settings));
    }
}
