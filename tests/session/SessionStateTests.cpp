#include "session/SessionState.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Session;

namespace {

Statement statement(StatementKind kind, std::string name = {}, std::string argument = {})
{
    Statement made;
    made.kind = kind;
    made.name = std::move(name);
    made.argument = std::move(argument);
    return made;
}

std::optional<FailureCode> codeOf(const std::optional<Answer>& answer)
{
    const auto* const failure = answer ? std::get_if<Failure>(&answer->body) : nullptr;
    if (!failure)
        return {};
    return failure->code;
}

bool isDone(const std::optional<Answer>& answer)
{
    return answer && std::holds_alternative<Success>(answer->body);
}

} // namespace

TEST_CASE("Values and prepared statements never fail and last as long as the session", "[session]")
{
    SessionState session;
    CHECK(isDone(session.answerLocally(statement(StatementKind::SetValue, "colour", "red"), false)));
    CHECK(session.values() == SessionValues { { "colour", "red" } });
    CHECK(isDone(session.answerLocally(statement(StatementKind::Forget, "unknown"), false)));

    auto prepare = statement(StatementKind::Prepare, "p");
    prepare.prepared = { Access::Write, "shape" };
    CHECK(isDone(session.answerLocally(prepare, false)));
    REQUIRE(session.findPrepared("p"));
    CHECK(session.findPrepared("p")->shape == "shape");

    SECTION("a known name is run by a target")
    {
        CHECK_FALSE(session.answerLocally(statement(StatementKind::Execute, "p"), false));
    }
    SECTION("an unknown name is refused at once")
    {
        CHECK(codeOf(session.answerLocally(statement(StatementKind::Execute, "q"), false))
            == FailureCode::UnknownPreparedName);
    }
}

TEST_CASE("A transaction is begun by the session and ended by its target", "[session]")
{
    SessionState session;
    CHECK(isDone(session.answerLocally(statement(StatementKind::Begin), false)));
    CHECK(session.transaction() == TransactionState::Open);

    SECTION("a second begin is refused")
    {
        CHECK(codeOf(session.answerLocally(statement(StatementKind::Begin), false)) == FailureCode::Malformed);
    }
    SECTION("a commit always needs a target, also when nothing ran yet")
    {
        CHECK_FALSE(session.answerLocally(statement(StatementKind::Commit), false));
    }
    SECTION("a rollback needs one only when the transaction reached it")
    {
        CHECK_FALSE(session.answerLocally(statement(StatementKind::Rollback), true));
        CHECK(isDone(session.answerLocally(statement(StatementKind::Rollback), false)));
        CHECK(session.transaction() == TransactionState::Idle);
    }
}

TEST_CASE("A failed transaction accepts only its end, and a commit of it is no success", "[session]")
{
    SessionState session;
    (void)session.answerLocally(statement(StatementKind::Begin), false);
    session.setTransaction(TransactionState::Failed);
    CHECK(codeOf(session.answerLocally(statement(StatementKind::Read), false)) == FailureCode::Malformed);
    CHECK(codeOf(session.answerLocally(statement(StatementKind::SetValue, "a", "b"), false)) == FailureCode::Malformed);
    CHECK(codeOf(session.answerLocally(statement(StatementKind::Commit), false)) == FailureCode::Aborted);
    CHECK(session.transaction() == TransactionState::Idle);
}

TEST_CASE("An end without a transaction is refused", "[session]")
{
    SessionState session;
    CHECK(codeOf(session.answerLocally(statement(StatementKind::Commit), false)) == FailureCode::Malformed);
    CHECK(codeOf(session.answerLocally(statement(StatementKind::Rollback), false)) == FailureCode::Malformed);
}

TEST_CASE("A session's own position only rises", "[session]")
{
    SessionState session;
    CHECK_FALSE(session.ownPosition());
    session.wrote({ Term(2), Position(5) });
    session.wrote({ Term(1), Position(9) });
    CHECK(session.ownPosition() == LogPoint { Term(2), Position(5) });
}

TEST_CASE("Only codes that are proof of it promise that nothing is kept", "[session]")
{
    for (const auto code : { FailureCode::Busy, FailureCode::Aborted, FailureCode::Lagging, FailureCode::ReadOnly,
             FailureCode::Misrouted, FailureCode::TooManyConnections })
        CHECK(promisesNotRun(code));
    for (const auto code : { FailureCode::InDoubt, FailureCode::Timeout, FailureCode::Failed, FailureCode::Malformed })
        CHECK_FALSE(promisesNotRun(code));
}
