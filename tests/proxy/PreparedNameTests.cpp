#include "proxy/LendingSimulation.h"

#include <catch2/catch.hpp>
#include <xxhash.h>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using Session::StatementKind;

namespace {

std::uint64_t xxh64Of(const Session::PreparedShape& prepared, std::uint64_t seed)
{
    return XXH64(prepared.shape.data(), prepared.shape.size(), seed);
}

} // namespace

TEST_CASE("Shapes with different text or access never share a prepared name", "[proxy][prepared]")
{
    const auto& shapes = preparedShapes();
    for (std::size_t left = 0; left < shapes.size(); ++left) {
        for (std::size_t right = 0; right < shapes.size(); ++right) {
            INFO(shapes[left].shape << " and " << shapes[right].shape);
            const bool isSame = left == right;
            CHECK((PreparedName::of(shapes[left]) == PreparedName::of(shapes[right])) == isSame);
            CHECK((PreparedName::of(shapes[left]).toString() == PreparedName::of(shapes[right]).toString()) == isSame);
        }
    }
}

TEST_CASE("A prepared name is the access and the SHA-256 of the text", "[proxy][prepared]")
{
    // The digest of "abc" is the first example of FIPS 180-2.
    CHECK(PreparedName::of({ Session::Access::Read, "abc" }).toString()
        == "rba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(PreparedName::of({ Session::Access::Write, "abc" }).toString()
        == "wba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against running the shape of another caller, who chose a text with the same short digest
// (docs/incidents/shared-prepared-name.md).
TEST_CASE(
    "Two callers whose shapes have the same XXH64 digest each run their own on one connection", "[proxy][prepared]")
{
    const auto& shapes = preparedShapes();
    REQUIRE(xxh64Of(shapes[0], 1) == xxh64Of(shapes[1], 1));
    REQUIRE(xxh64Of(shapes[2], 2) == xxh64Of(shapes[3], 2));
    const std::size_t first = GENERATE(0, 2);
    LendingSimulation simulation;
    for (const auto shape : { first, first + 1, first }) {
        simulation.prepare(0, shape);
        simulation.send(0, StatementKind::Execute);
        simulation.answerAll();
        REQUIRE(simulation.caller(0).answer);
        CHECK_FALSE(simulation.failureOf(0));
    }
    CHECK(simulation.target().violations().empty());
}
