#include "route/StatementGuard.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using Auburnpost::Route::checkStatement;

TEST_CASE("Ordinary statements pass the guard", "[route][guard]")
{
    for (const auto* sql : { "SELECT 1", "  insert into t values ($1)", "-- note\nUPDATE t SET a = 'commit'",
             "/* a /* b */ c */ DELETE FROM t", "WITH x AS (SELECT 1) SELECT * FROM x", "-- note\rSELECT 1",
             "-- note\r\nSELECT 1" }) {
        INFO(sql);
        CHECK(checkStatement(sql));
    }
}

TEST_CASE("Statements that control transactions or sessions or use reserved names are refused", "[route][guard]")
{
    for (const auto* sql : { "", "  ;", "COMMIT", "/* x */ rollback", "-- x\nBegin", ";end", "SET search_path TO x",
             "DISCARD ALL", "DELETE FROM auburnpost_outcomes", "SELECT * FROM GROUP_FENCE(9, 'x')", "/* open comment",
             "savepoint a", "-- x\rCOMMIT /*\nSELECT 1 */", "--\r\rset role x --\nSELECT 1" }) {
        INFO(sql);
        const auto result = checkStatement(sql);
        REQUIRE_FALSE(result);
        CHECK(result.error().code == ErrorCode::BadRequest);
    }
}
