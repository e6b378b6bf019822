#include "platform/TargetCodec.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Platform;
using namespace Auburnpost::Proxy;

namespace {

/// @return a codec whose connection is accepted.
TargetCodec openCodec()
{
    TargetCodec codec;
    REQUIRE(std::holds_alternative<ConnectionAccepted>(codec.read("READY I 3.1207")));
    return codec;
}

Session::Statement textStatement(std::string text)
{
    Session::Statement statement;
    statement.text = std::move(text);
    return statement;
}

} // namespace

TEST_CASE("The first line of a connection names its target", "[platform]")
{
    TargetRecord target;
    target.name = TargetName("i-7f3a91c2");
    target.group = GroupName("huvo11a");
    CHECK(TargetCodec::writeConnectionRequest(target, {}) == "START huvo11a auburnpost i-7f3a91c2\r\n");
    CHECK(TargetCodec::writeConnectionRequest(target, OrganisationName("miny420"))
        == "START huvo11a miny420 i-7f3a91c2\r\n");

    TargetCodec codec;
    const auto line = codec.read("ERROR TOOMANY i-7f3a91c2");
    REQUIRE(std::holds_alternative<ConnectionRefused>(line));
    CHECK(std::get<ConnectionRefused>(line).code == Session::FailureCode::TooManyConnections);
}

// Guards against lending a new connection on which a transaction is open already.
TEST_CASE("A connection that a target accepts inside a transaction violates the protocol", "[platform]")
{
    for (const auto* const line : { "READY T 3.1207", "READY E 3.1207", "READY" }) {
        TargetCodec codec;
        CHECK(std::holds_alternative<ProtocolViolation>(codec.read(line)));
    }
}

TEST_CASE("Requests carry the id of the caller's statement, or a placeholder if they are the proxy's own", "[platform]")
{
    auto codec = openCodec();
    CHECK(codec.write({ ResetConnection {}, SetValue { "v1", "89f" } }) == "QUERY - RESET\r\nQUERY - SET v1 89f\r\n");
    CHECK(codec.write({ PrepareStatement { "p7", { Session::Access::Read, "q33" } } })
        == "QUERY - PREPARE p7 READ q33\r\n");
    CHECK(codec.write({ BeginTransaction { true, LogPoint { Term(3), Position(7) } } })
        == "QUERY - AFTER 3.7 BEGIN READ\r\n");
    CHECK(codec.write({ RunStatement {
              Session::StatementId("5c"), LogPoint { Term(3), Position(7) }, textStatement("READ 1a4"), "" } })
        == "QUERY 5c AFTER 3.7 READ 1a4\r\n");
    auto execute = textStatement("EXECUTE s1 1a4 x y");
    execute.argument = "1a4 x y";
    CHECK(codec.write({ RunStatement { Session::StatementId("5c"), {}, execute, "p7" } })
        == "QUERY 5c EXECUTE p7 1a4 x y\r\n");
    CHECK(codec.write({ FenceReplica { Term(4) }, ResumeReplica {}, DemotePrimary { Term(4) } })
        == "QUERY - PAUSE 4\r\nQUERY - RESUME\r\nQUERY - DEMOTE 4\r\n");
}

TEST_CASE("A reply is returned only once it is complete", "[platform]")
{
    auto codec = openCodec();
    (void)codec.write({ RunStatement { Session::StatementId("5c"), {}, textStatement("READ 1a4"), "" } });
    CHECK(std::holds_alternative<IncompleteReply>(codec.read("ROW qhzk")));
    CHECK(std::holds_alternative<IncompleteReply>(codec.read("DONE 7.1f3")));
    const auto line = codec.read("READY I 3.1209");
    REQUIRE(std::holds_alternative<TargetReply>(line));
    const auto& reply = std::get<TargetReply>(line);
    CHECK(std::get<Session::Success>(reply.body).signature == "7.1f3");
    CHECK(std::get<Session::Success>(reply.body).rows == std::vector<std::string> { "qhzk" });
    CHECK(reply.position == LogPoint { Term(3), Position(1209) });
}

TEST_CASE("Each reply belongs to the oldest unanswered request", "[platform]")
{
    auto codec = openCodec();
    (void)codec.write({ SetValue { "a", "b" }, QueryStatus {} });
    (void)codec.read("DONE -");
    const auto first = codec.read("READY I -");
    REQUIRE(std::holds_alternative<TargetReply>(first));
    CHECK_FALSE(std::get<TargetReply>(first).status);
    (void)codec.read("ROW replica 3 3.1209 4 12 2 17");
    (void)codec.read("DONE -");
    const auto second = codec.read("READY I 3.1204");
    REQUIRE(std::holds_alternative<TargetReply>(second));
    const auto& status = std::get<TargetReply>(second).status;
    REQUIRE(status);
    CHECK_FALSE(status->isPrimary);
    CHECK(status->term == Term(3));
    CHECK(status->received == LogPoint { Term(3), Position(1209) });
    CHECK(status->fencedTerm == Term(4));
    CHECK(status->lag == std::chrono::milliseconds(12));
    CHECK(status->busy == 2);
    CHECK(status->connections == 17);
}

TEST_CASE("Lines out of order violate the protocol", "[platform]")
{
    auto codec = openCodec();
    CHECK(std::holds_alternative<ProtocolViolation>(codec.read("READY I -")));
    (void)codec.write({ QueryStatus {} });
    CHECK(std::holds_alternative<ProtocolViolation>(codec.read("READY I -")));
    CHECK(std::holds_alternative<ProtocolViolation>(codec.read("WHAT")));
    (void)codec.read("DONE -");
    CHECK(std::holds_alternative<ProtocolViolation>(codec.read("ROW late")));
}

TEST_CASE("An unknown failure keyword does not promise that the statement did not run", "[platform]")
{
    auto codec = openCodec();
    (void)codec.write({ RunStatement { Session::StatementId("5c"), {}, textStatement("WRITE a b"), "" } });
    (void)codec.read("ERROR STRANGE i-1");
    const auto line = codec.read("READY I 1.0");
    REQUIRE(std::holds_alternative<TargetReply>(line));
    CHECK_FALSE(Session::guaranteesNotRun(std::get<TargetReply>(line).failure()->code));
}
