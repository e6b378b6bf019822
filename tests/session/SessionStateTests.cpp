#include "session/SessionState.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Session;

namespace {

Statement statement(StatementKind kind, std::string name = {}, std::string argument = {})
{
    Statement result;
    result.kind = kind;
    result.name = std::move(name);
    result.argument = std::move(argument);
    return result;
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

TEST_CASE("Values and prepared statements are kept by the session without a target", "[session]")
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

TEST_CASE("A transaction begins without a target and ends on its target", "[session]")
{
    SessionState session;
    CHECK(isDone(session.answerLocally(statement(StatementKind::Begin), false)));
    CHECK(session.transaction() == TransactionState::Open);

    SECTION("a second begin is refused")
    {
        CHECK(codeOf(session.answerLocally(statement(StatementKind::Begin), false)) == FailureCode::Malformed);
    }
    SECTION("a commit always needs a target, even before any statement has run")
    {
        CHECK_FALSE(session.answerLocally(statement(StatementKind::Commit), false));
    }
    SECTION("a rollback needs a target only when the transaction has reached one")
    {
        CHECK_FALSE(session.answerLocally(statement(StatementKind::Rollback), true));
        CHECK(isDone(session.answerLocally(statement(StatementKind::Rollback), false)));
        CHECK(session.transaction() == TransactionState::Idle);
    }
}

TEST_CASE("A failed transaction accepts only its end, and its commit is refused", "[session]")
{
    SessionState session;
    (void)session.answerLocally(statement(StatementKind::Begin), false);
    session.setTransaction(TransactionState::Failed);
    CHECK(codeOf(session.answerLocally(statement(StatementKind::Read), false)) == FailureCode::Malformed);
    CHECK(codeOf(session.answerLocally(statement(StatementKind::SetValue, "a", "b"), false)) == FailureCode::Malformed);
    CHECK(codeOf(session.answerLocally(statement(StatementKind::Commit), false)) == FailureCode::Aborted);
    CHECK(session.transaction() == TransactionState::Idle);
}

TEST_CASE("The end of a transaction that was not begun is refused", "[session]")
{
    SessionState session;
    CHECK(codeOf(session.answerLocally(statement(StatementKind::Commit), false)) == FailureCode::Malformed);
    CHECK(codeOf(session.answerLocally(statement(StatementKind::Rollback), false)) == FailureCode::Malformed);
}

TEST_CASE("The position of a session never decreases", "[session]")
{
    SessionState session;
    CHECK_FALSE(session.ownPosition());
    session.recordWrite({ Term(2), Position(5) });
    session.recordWrite({ Term(1), Position(9) });
    CHECK(session.ownPosition() == LogPoint { Term(2), Position(5) });
}

TEST_CASE("Only some codes guarantee that a statement had no effect", "[session]")
{
    for (const auto code : { FailureCode::Busy, FailureCode::Aborted, FailureCode::Lagging, FailureCode::ReadOnly,
             FailureCode::Misrouted, FailureCode::TooManyConnections })
        CHECK(guaranteesNotRun(code));
    for (const auto code : { FailureCode::InDoubt, FailureCode::Timeout, FailureCode::Failed, FailureCode::Malformed })
        CHECK_FALSE(guaranteesNotRun(code));
}
