#include "platform/CallerCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Auburnpost;
using namespace Auburnpost::Platform;
using Session::StatementKind;

namespace {

const Session::Statement* statementOf(const CallerLine& line)
{
    const auto* const sent = std::get_if<SendStatement>(&line);
    return sent ? &sent->statement : nullptr;
}

} // namespace

TEST_CASE("A caller's lines are decoded into typed statements", "[platform]")
{
    SECTION("the start of a session with its database")
    {
        const auto line = readCallerLine("START lepu270 u3f1");
        REQUIRE(std::holds_alternative<OpenSession>(line));
        CHECK(std::get<OpenSession>(line).database == DatabaseName("lepu270"));
    }
    SECTION("a read-only transaction")
    {
        const auto line = readCallerLine("QUERY 1f BEGIN READ");
        REQUIRE(statementOf(line));
        CHECK(statementOf(line)->kind == StatementKind::BeginReadOnly);
    }
    SECTION("a write keeps its text unchanged")
    {
        const auto line = readCallerLine("QUERY 5c0e7a21d94b36f8 WRITE 1a4 two words");
        REQUIRE(statementOf(line));
        CHECK(statementOf(line)->kind == StatementKind::Write);
        CHECK(statementOf(line)->text == "WRITE 1a4 two words");
        CHECK(std::get<SendStatement>(line).id == Session::StatementId("5c0e7a21d94b36f8"));
    }
    SECTION("a prepared statement and its use")
    {
        const auto prepare = readCallerLine("QUERY 5c PREPARE s1 WRITE q2c");
        REQUIRE(statementOf(prepare));
        CHECK(statementOf(prepare)->prepared == Session::PreparedShape { Session::Access::Write, "q2c" });
        const auto execute = readCallerLine("QUERY 5c EXECUTE s1 1a4 xkqpwnzd");
        REQUIRE(statementOf(execute));
        CHECK(statementOf(execute)->name == "s1");
        CHECK(statementOf(execute)->argument == "1a4 xkqpwnzd");
    }
    SECTION("the end of a session")
    {
        CHECK(std::holds_alternative<EndSession>(readCallerLine("BYE")));
    }
}

TEST_CASE("Lines that callers may not send are refused", "[platform]")
{
    for (const auto* const line : { "", "HELLO", "QUERY", "QUERY 1f", "QUERY 1f NONSENSE", "QUERY - READ 1a4",
             "QUERY 1f AFTER 3.1207 READ 1a4", "QUERY 1f STATUS", "QUERY 1f PAUSE 3", "QUERY 1f DEMOTE 3",
             "QUERY 1f RESET", "QUERY 1f READ", "QUERY 1f READ a b", "QUERY 1f WRITE a", "QUERY 1f PREPARE s READ",
             "QUERY 1f PREPARE s MAYBE q", "QUERY 1f COMMIT now", "START", "QUERY 1f READ a\x01",
             "QUERY 1f WRITE a b\nQUERY 20 WRITE c d", "QUERY 1f WRITE a b\rQUERY 20 WRITE c d", "START d\nBYE" }) {
        INFO(line);
        CHECK(std::holds_alternative<MalformedLine>(readCallerLine(line)));
    }
}

TEST_CASE("The decoder accepts or refuses any line without a crash", "[platform]")
{
    rc::prop("any bytes are decoded or refused", [](const std::string& bytes) {
        const auto line = readCallerLine("QUERY " + bytes);
        const auto* const sent = std::get_if<SendStatement>(&line);
        const bool hasProxyId = sent && sent->id.value() == "-";
        RC_ASSERT_FALSE(hasProxyId);
    });
}

TEST_CASE("An answer is written completely, with its end", "[platform]")
{
    SECTION("from a target")
    {
        const Session::Answer answer { Session::Success { "7.1f3.c", { "one", "two" } },
            Session::TransactionState::Open, LogPoint { Term(3), Position(1209) } };
        CHECK(writeAnswer(answer) == "ROW one\r\nROW two\r\nDONE 7.1f3.c\r\nREADY T 3.1209\r\n");
    }
    SECTION("from the proxy itself")
    {
        CHECK(writeAnswer({ Session::Success {}, Session::TransactionState::Idle, {} }) == "DONE -\r\nREADY I -\r\n");
    }
    SECTION("a failure")
    {
        const Session::Answer answer { Session::Failure { Session::FailureCode::InDoubt, "lost" },
            Session::TransactionState::Failed, {} };
        CHECK(writeAnswer(answer) == "ERROR INDOUBT lost\r\nREADY E -\r\n");
    }
}

TEST_CASE("The lines that request a forwarded session and end its answers", "[platform]")
{
    CHECK(writeSessionRequest({ DatabaseName("orders") }) == "START orders\r\n");
    Proxy::SessionRequest forwarded { DatabaseName("orders") };
    forwarded.forwardedBy = HostName("host-3");
    CHECK(writeSessionRequest(forwarded) == "START orders - 0 host-3\r\n");
    forwarded.route = { ConfigVersion(12), Proxy::RouteDigest(77) };
    CHECK(writeSessionRequest(forwarded) == "START orders - 12 host-3 77\r\n");
    const auto read = readCallerLine("START orders - 12 host-3 77");
    const auto received = sessionRequestOf(std::get<OpenSession>(read), true);
    CHECK(received.forwardedBy == HostName("host-3"));
    CHECK(received.route == forwarded.route);

    const auto line = writeStatedRoute(forwarded.route);
    CHECK(line == "ROUTE 12 77\r\n");
    CHECK(readStatedRoute("ROUTE 12 77") == forwarded.route);
    CHECK(readStatedRoute("ROUTE 12") == Proxy::StatedRoute { ConfigVersion(12), {} });
    CHECK_FALSE(readStatedRoute("ROUTE x 77"));
    CHECK_FALSE(readStatedRoute("QUERY 1 READ k"));
    CHECK(writeStatedVersion(ConfigVersion(12)) == "VERSION 12\r\n");
    CHECK(readStatedVersion("VERSION 12") == ConfigVersion(12));
    CHECK_FALSE(readStatedVersion("VERSION x"));
    CHECK_FALSE(readStatedVersion("READY I 1.4"));
    // Only hosts state routes and versions.
    CHECK(std::holds_alternative<MalformedLine>(readCallerLine("ROUTE 12 77")));
    CHECK(readAnswerEnd("READY I -") == Session::TransactionState::Idle);
    CHECK(readAnswerEnd("READY T 3.7") == Session::TransactionState::Open);
    CHECK(readAnswerEnd("READY E 3.7") == Session::TransactionState::Failed);
    CHECK_FALSE(readAnswerEnd("ROW READY I"));
    CHECK_FALSE(readAnswerEnd("DONE 7.1"));
}
