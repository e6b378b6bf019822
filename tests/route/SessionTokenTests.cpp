#include "route/SessionCodec.h"
#include "route/SessionToken.h"
#include "route/Signer.h"
#include "route/TransactionHandle.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Auburnpost;
using namespace Auburnpost::Route;

namespace {

const OrganisationName tailor("kandy-tailors");
const DatabaseName database("sizing-core-1");

LogPoint point(std::uint64_t term, std::uint64_t position)
{
    return { Term(term), Position(position) };
}

} // namespace

TEST_CASE("The point that a session has seen never decreases", "[route][session]")
{
    SessionToken token;
    token.advance(database, point(2, 10));
    token.advance(database, point(1, 50));
    CHECK(token.entry(database).seen == point(2, 10));
    token.advance(database, point(3, 1));
    CHECK(token.entry(database).seen == point(3, 1));
}

TEST_CASE("A session keeps its newest unresolved writes until they are resolved", "[route][session]")
{
    SessionToken token;
    for (std::size_t number = 0; number < SessionToken::maxUnresolved + 2; ++number)
        token.addUnresolved(database, OutcomeKey(std::to_string(number)));
    CHECK(token.entry(database).unresolved.size() == SessionToken::maxUnresolved);
    CHECK(token.entry(database).unresolved.front() == OutcomeKey("2"));
    token.resolve(database, OutcomeKey("2"));
    CHECK(token.entry(database).unresolved.front() == OutcomeKey("3"));
}

TEST_CASE("Any host with the key can read a sealed session", "[route][session]")
{
    const Signer signer("0123456789abcdef");
    REQUIRE(rc::check(
        "for any content", [&signer](const std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>& content) {
            SessionToken token;
            for (const auto& [name, seen] : content)
                token.advance(DatabaseName(name), point(seen.first, seen.second));
            token.addUnresolved(database, OutcomeKey("k"));
            RC_ASSERT(*readSession(signer, tailor, writeSession(signer, tailor, token)) == token);
        }));
}

TEST_CASE("A session that was not sealed for this organisation is refused", "[route][session]")
{
    const Signer signer("0123456789abcdef");
    SessionToken token;
    token.advance(database, point(1, 1));
    const auto text = writeSession(signer, tailor, token);
    CHECK_FALSE(readSession(signer, OrganisationName("others"), text));
    CHECK_FALSE(readSession(Signer("another key here"), tailor, text));
    CHECK_FALSE(readSession(signer, tailor, ""));
    CHECK_FALSE(readSession(signer, tailor, "not sealed"));
    SECTION("as is one with any character changed")
    {
        for (std::size_t index = 0; index + 1 < text.size(); ++index) {
            auto changed = text;
            changed[index] = changed[index] == 'A' ? 'B' : 'A';
            CHECK_FALSE(readSession(signer, tailor, changed));
        }
    }
    SECTION("the previous key is still accepted while keys are rotated")
    {
        CHECK(readSession(Signer("a new key for all", "0123456789abcdef"), tailor, text));
    }
}

TEST_CASE("Every host can read a transaction handle", "[route][transaction]")
{
    const Signer signer("0123456789abcdef");
    const TransactionHandle handle { HostName("host-3"), Incarnation(7), 42, database };
    const auto text = writeHandle(signer, tailor, handle);
    CHECK(*readHandle(signer, tailor, text) == handle);
    CHECK(readHandle(signer, OrganisationName("others"), text).error().code == ErrorCode::UnknownTransaction);
    CHECK(readHandle(signer, tailor, writeSession(signer, tailor, {})).error().code == ErrorCode::UnknownTransaction);
}
