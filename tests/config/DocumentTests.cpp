#include "config/DocumentSamples.h"

#include "config/DocumentParser.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Config;
using namespace std::chrono_literals;

namespace {

using Problems = std::vector<std::string>;

Problems problemsOf(const std::string& text)
{
    Problems problems;
    for (const auto& problem : parseDocument(text).problems)
        problems.push_back(problem.describe());
    return problems;
}

Problems problemsAfter(const std::string& from, const std::string& to)
{
    return problemsOf(replaced(goodDocument(), from, to));
}

} // namespace

TEST_CASE("A valid document is parsed completely", "[config][document]")
{
    const auto parsed = parseDocument(goodDocument(), ConfigVersion(7));
    REQUIRE(parsed.problems.empty());
    const auto& document = parsed.document;
    CHECK(document.version == ConfigVersion(7));
    const auto* const database = document.database(DatabaseName("sizing-core-1"));
    REQUIRE(database);
    CHECK(database->targets.at(1).address.toString() == "127.0.0.1:5002");
    CHECK(database->connectionCap == 50);
    CHECK(database->slots == 3);
    CHECK(database->homes == 3);
    CHECK(document.organisation(OrganisationName("ranwala"))->weight == 2);
    CHECK(document.maintenance.leavingTargets.contains(TargetName("sizing-core-1-c")));
    CHECK(document.maintenance.switchovers.at(DatabaseName("sizing-core-1")) == TargetName("sizing-core-1-b"));
}

TEST_CASE("The maximum age of a read comes from the most specific staleness entry", "[config][document][staleness]")
{
    const auto document = parseDocument(goodDocument()).document;
    const OrganisationName ranwala("ranwala");
    const DatabaseName sizing("sizing-core-1");
    CHECK(document.staleness.maximumAge(ranwala, sizing, "browse") == 60s);
    CHECK(document.staleness.maximumAge(ranwala, sizing, "order") == 0s);
    CHECK(document.staleness.maximumAge(ranwala, sizing) == 0s);
    CHECK(document.staleness.maximumAge(ranwala, DatabaseName("other")) == 1s);
    CHECK(document.staleness.maximumAge(OrganisationName("other"), sizing) == 100ms);
}

TEST_CASE("An organisation accepts only its own keys", "[config][document][key]")
{
    const auto document = parseDocument(goodDocument()).document;
    const auto& ranwala = *document.organisation(OrganisationName("ranwala"));
    CHECK(ranwala.acceptsKey("abc"));
    CHECK_FALSE(ranwala.acceptsKey("abd"));
    CHECK_FALSE(ranwala.acceptsKey(""));
    CHECK_FALSE(Organisation {}.acceptsKey("abc"));
    CHECK(KeyDigest::of("abc").toString() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("A problem in the document names the section, line and path", "[config][document]")
{
    SECTION("text that is not valid JSON")
    {
        const auto problems = parseDocument(replaced(goodDocument(), "\"slots\": 3", "\"slots\": ")).problems;
        REQUIRE(problems.size() == 1);
        CHECK(problems.front().line == 13);
    }
    SECTION("a section or member that does not exist")
    {
        CHECK(problemsAfter("\"maintenance\"", "\"maintainance\"")
            == Problems { "error: document, line 34, /sections/maintainance: unknown section" });
        CHECK(problemsAfter("\"slots\"", "\"slot\"")
            == Problems { "error: section placement, line 12, /databases/sizing-core-1/slot: unknown member",
                "error: section placement, line 5, /databases/sizing-core-1: 'slots' is missing" });
    }
    SECTION("a repeated member")
    {
        CHECK(problemsAfter("\"slots\": 3", "\"slots\": 3,\n\"slots\": 4")
            == Problems { "error: section placement, line 13, /databases/sizing-core-1/slots: given twice" });
    }
    SECTION("a value of the wrong type or form")
    {
        CHECK(problemsAfter("\"slots\": 3", "\"slots\": \"3\"")
            == Problems { "error: section placement, line 12, /databases/sizing-core-1/slots: must be a whole number "
                          "from 1 to 2147483647" });
        CHECK(problemsAfter("\"browse\": 60000", "\"browse\": -1")
            == Problems { "error: section staleness, line 29, "
                          "/organisations/ranwala/databases/sizing-core-1/purposes/browse: must be an age in "
                          "milliseconds from 0 to 31536000000" });
        CHECK(problemsAfter("127.0.0.1:5002", "kandy:5002")
            == Problems { "error: section placement, line 8, /databases/sizing-core-1/targets/1/address: "
                          "'kandy:5002' is not IP:PORT" });
        CHECK(problemsAfter("ba7816bf", "zz7816bf")
            == Problems { "error: section organisations, line 19, /ranwala/keys/0: must be a SHA-256 in 64 "
                          "hexadecimal digits" });
    }
    SECTION("a target that is listed twice")
    {
        CHECK(problemsAfter("sizing-core-1-b\", \"address", "sizing-core-1-a\", \"address").front()
            == "error: section placement, line 8, /databases/sizing-core-1/targets/1/name: target 'sizing-core-1-a' "
               "is listed twice");
    }
    SECTION("so many homes that each would get no connection")
    {
        CHECK(problemsAfter("\"connection_cap\": 50", "\"connection_cap\": 4, \"homes\": 4").size() == 1);
        CHECK(problemsAfter("\"connection_cap\": 50", "\"connection_cap\": 4, \"homes\": 3").empty());
    }
}

TEST_CASE("Sections are checked against one another", "[config][document]")
{
    SECTION("an organisation's database that is not in section placement")
    {
        CHECK(problemsAfter("[\"sizing-core-1\"]", "[\"sizing-core-1\", \"sizing-core-9\"]")
            == Problems { "error: section organisations, line 18, /ranwala/databases: section placement has no "
                          "database 'sizing-core-9'" });
    }
    SECTION("a staleness entry of an organisation or database that does not exist")
    {
        CHECK(problemsAfter("\"ranwala\": {\n          \"default_ms\"", "\"fireweed\": {\n          \"default_ms\"")
            == Problems { "error: section staleness, line 26, /organisations/fireweed: section organisations has no "
                          "'fireweed'" });
        CHECK(problemsAfter("\"sizing-core-1\": { \"default_ms\"", "\"smoke-core-1\": { \"default_ms\"").size() == 1);
    }
    SECTION("a leaving target or a switchover that names an unknown or unsuitable target")
    {
        CHECK(problemsAfter("[\"sizing-core-1-c\"]", "[\"sizing-core-1-z\"]")
            == Problems { "error: section maintenance, line 35, /leaving_targets: section placement has no target "
                          "'sizing-core-1-z'" });
        CHECK(problemsAfter("\"to\": \"sizing-core-1-b\"", "\"to\": \"sizing-core-1-z\"").size() == 1);
        CHECK(problemsAfter("\"to\": \"sizing-core-1-b\"", "\"to\": \"sizing-core-1-c\"")
            == Problems { "error: section maintenance, line 36, /switches: 'sizing-core-1-c' is leaving and can't "
                          "become primary" });
    }
    SECTION("a group whose targets are all leaving")
    {
        const auto all = "[\"sizing-core-1-a\", \"sizing-core-1-b\", \"sizing-core-1-c\"]";
        CHECK(problemsAfter("[\"sizing-core-1-c\"]", all).size() == 2);
    }
}

TEST_CASE("A document with a group of even size is accepted with a warning", "[config][document]")
{
    const auto third = ",\n            { \"name\": \"sizing-core-1-c\", \"address\": \"127.0.0.1:5003\", "
                       "\"data_centre\": \"south-galle\" }";
    const auto text = replaced(replaced(goodDocument(), third, ""), "[\"sizing-core-1-c\"]", "[]");
    const auto parsed = parseDocument(text);
    CHECK(parsed.isAccepted());
    REQUIRE(parsed.problems.size() == 1);
    CHECK(parsed.problems.front().severity == ProblemSeverity::Warning);
    CHECK(parsed.problems.front().line == 6);
}
