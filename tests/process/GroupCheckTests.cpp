#include "process/GroupCheck.h"

#include <catch2/catch.hpp>

using namespace Auburnpost::Test;

namespace {

using Kind = GroupViolation::Kind;

Moment at(int ms)
{
    return Moment() + std::chrono::hours(1) + std::chrono::milliseconds(ms);
}

CallerStatement read(RouteKind route, int firstByteMs)
{
    CallerStatement statement;
    statement.id = "read";
    statement.session = 2;
    statement.route = route;
    statement.firstByteAt = at(firstByteMs);
    statement.endedAt = at(firstByteMs + 10);
    return statement;
}

/// A group with one acknowledged write, whose entry has index 1.
GroupHistory writtenHistory(int acknowledgedMs)
{
    GroupHistory history;
    history.lastLog = history.log.append(0, 1, "write", { "write" });
    CallerStatement statement;
    statement.id = "write";
    statement.session = 1;
    statement.needsPrimary = true;
    statement.commits = true;
    statement.succeeded = true;
    statement.firstByteAt = at(acknowledgedMs - 10);
    statement.endedAt = at(acknowledgedMs);
    history.statements.push_back(statement);
    return history;
}

std::size_t staleRuns(GroupHistory history, const CallerStatement& statement, LogEntryIndex log)
{
    history.statements.push_back(statement);
    history.runs.push_back({ statement.id, "t-1", statement.endedAt, true, log });
    return GroupCheck(history).count(Kind::Stale);
}

} // namespace

TEST_CASE("A read on a primary route is stale without a commit acknowledged before its first byte", "[check]")
{
    const auto history = writtenHistory(100);
    CHECK(staleRuns(history, read(RouteKind::Primary, 101), 0) == 1);
    CHECK(staleRuns(history, read(RouteKind::Primary, 101), 1) == 0);
    CHECK(staleRuns(history, read(RouteKind::Primary, 99), 0) == 0);
}

TEST_CASE("A read on a route with bounded staleness is stale without a commit acknowledged before its bound", "[check]")
{
    const auto history = writtenHistory(100);
    CHECK(staleRuns(history, read(RouteKind::BoundedStaleness, 1601), 0) == 1);
    CHECK(staleRuns(history, read(RouteKind::BoundedStaleness, 1600), 0) == 0);
    CHECK(staleRuns(history, read(RouteKind::ReadYourWrites, 2601), 0) == 1);
    CHECK(staleRuns(history, read(RouteKind::ReadYourWrites, 2600), 0) == 0);
}

TEST_CASE("A read on a route with read-your-writes is stale without a commit of its session", "[check]")
{
    const auto history = writtenHistory(100);
    auto own = read(RouteKind::ReadYourWrites, 101);
    own.session = 1;
    CHECK(staleRuns(history, own, 0) == 1);
    own.route = RouteKind::BoundedStaleness;
    CHECK(staleRuns(history, own, 0) == 0);
}

TEST_CASE("A statement that only a primary runs is stale without any acknowledged commit on each route", "[check]")
{
    auto statement = read(RouteKind::BoundedStaleness, 101);
    statement.needsPrimary = true;
    CHECK(staleRuns(writtenHistory(100), statement, 0) == 1);
}

TEST_CASE("A commit that a promotion rolled back makes no read stale", "[check]")
{
    auto history = writtenHistory(100);
    history.lastLog = history.log.append(0, 2, "other", { "other" });
    CHECK(staleRuns(history, read(RouteKind::Primary, 101), 0) == 0);
}

TEST_CASE("An acknowledged commit that a promoted log lacks is lost, and counted once", "[check]")
{
    auto history = writtenHistory(100);
    history.promotions.push_back({ "t-2", 2, 0, at(200) });
    CHECK(GroupCheck(history).count(Kind::Lost) == 1);
    history.lastLog = 0;
    CHECK(GroupCheck(history).count(Kind::Lost) == 1);
    history.promotions.clear();
    CHECK(GroupCheck(history).count(Kind::Lost) == 1);
    history.lastLog = 1;
    history.promotions.push_back({ "t-2", 2, 1, at(200) });
    CHECK(GroupCheck(history).violations().empty());
}

TEST_CASE("An unacknowledged commit is not lost", "[check]")
{
    auto history = writtenHistory(100);
    history.statements.front().succeeded = false;
    history.promotions.push_back({ "t-2", 2, 0, at(200) });
    CHECK(GroupCheck(history).violations().empty());
}

TEST_CASE("A write that takes effect twice in the log that is kept is a violation", "[check]")
{
    auto history = writtenHistory(100);
    const auto again = history.log.append(1, 1, "write", { "write" });
    CHECK(GroupCheck(history).count(Kind::Twice) == 0);
    history.lastLog = again;
    CHECK(GroupCheck(history).count(Kind::Twice) == 1);
}

TEST_CASE("A token that promotes for two holders or two members is a violation, a repeated call is none", "[check]")
{
    auto history = writtenHistory(100);
    history.orders = { { "t-2", "host-1", "7", at(1) }, { "t-2", "host-1", "7", at(2) } };
    CHECK(GroupCheck(history).violations().empty());
    history.orders.push_back({ "t-2", "host-2", "7", at(3) });
    history.orders.push_back({ "t-3", "host-1", "7", at(4) });
    CHECK(GroupCheck(history).count(Kind::Token) == 2);
}
