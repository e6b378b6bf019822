#include "platform/StoreCalls.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Platform;
using namespace Auburnpost::Proxy;
using nlohmann::json;

namespace {

Expected<PlatformReply> reply(int status, const std::string& body)
{
    return PlatformReply { status, body, {} };
}

Expected<PlatformReply> noAnswer()
{
    return fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");
}

} // namespace

TEST_CASE("A page of rows is decoded with the store's version", "[platform]")
{
    const json body { { "rows",
                          { { { "Table", "servers" }, { "part", "" }, { "Key", "i-1" }, { "RecordVersion", 12 },
                                { "Value", "aGVsbG8=" } },
                              { { "Key", "i-2" }, { "RecordVersion", 13 }, { "Deleted", true } },
                              { { "Key", "i-3" }, { "RecordVersion", 14 }, { "Value", "***" } } } },
        { "HasMore", true }, { "RecordVersion", 14 }, { "NowMs", 784 } };
    const auto page = readPage(reply(200, body.dump()));
    REQUIRE(page);
    REQUIRE(page->rows.size() == 3);
    CHECK(page->rows[0].value == "hello");
    CHECK(page->rows[1].isDeleted);
    CHECK(page->rows[2].value.empty());
    CHECK(page->asOf == RowVersion(14));
    CHECK(page->hasMore);
}

TEST_CASE("A version carries the era that the store states in its reply", "[platform]")
{
    const json body { { "rows", json::array({ { { "Key", "i-1" }, { "RecordVersion", 12 }, { "Value", "" } } }) },
        { "RecordVersion", 14 }, { "NowMs", 784 } };
    const auto eraOf = [&body](int status, std::vector<CallHeader> headers) {
        const auto page = readPage(PlatformReply { status, body.dump(), {}, std::move(headers) });
        REQUIRE(page);
        for (const auto& row : page->rows)
            CHECK(row.version.era() == page->asOf.era());
        return page->asOf.era().value();
    };
    CHECK(eraOf(200, { { "Store-Era", "3" } }) == 3);
    CHECK(eraOf(200, { { "store-era", "4" } }) == 4);
    CHECK(eraOf(410, { { "Store-Era", "5" } }) == 5);
    CHECK(eraOf(200, {}) == 0);
    CHECK(eraOf(200, { { "Store-Era", "third" } }) == 0);

    const auto written = readLeaseWrite(PlatformReply { 200, body.dump(), {}, { { "Store-Era", "6" } } });
    REQUIRE(written);
    CHECK((*written)->era() == StoreEra(6));
}

TEST_CASE("A history that is no longer available is no error, but a refusal is", "[platform]")
{
    const auto gone = readPage(reply(410, ""));
    REQUIRE(gone);
    CHECK(gone->isHistoryUnavailable);
    CHECK_FALSE(readPage(reply(503, "")));
    CHECK_FALSE(readPage(reply(200, "not json")));
    CHECK_FALSE(readPage(reply(200, "{}")));
    CHECK_FALSE(readPage(noAnswer()));
}

TEST_CASE("A promotion lease is written under a version condition and read back with its version", "[platform]")
{
    const GroupName group("finy74a");
    const auto call = makeLeaseWriteCall(group, { HostName("front-1"), 5000, {} }, RowVersion(18));
    CHECK(call.method == PlatformMethod::Post);
    const auto body = json::parse(call.body);
    CHECK(body.at("Precondition").at(0).at("RecordVersion") == 18);
    CHECK(body.at("Upserts").at(0).at("Key") == "finy74a");

    auto row = body.at("Upserts").at(0);
    row["RecordVersion"] = 19;
    const json answer { { "rows", { row } }, { "RecordVersion", 19 }, { "NowMs", 3100 } };
    const auto read = readLeaseRow(group, reply(200, answer.dump()));
    REQUIRE(read);
    CHECK(read->version == RowVersion(19));
    REQUIRE(read->lease);
    CHECK(read->lease->holder == HostName("front-1"));
    CHECK(read->lease->expiresAtMs == 5000);
    CHECK(read->storeNowMs == 3100);

    SECTION("the row of another group is ignored")
    {
        const auto other = readLeaseRow(GroupName("other"), reply(200, answer.dump()));
        REQUIRE(other);
        CHECK(other->version == RowVersion {});
        CHECK_FALSE(other->lease);
    }
    SECTION("another version is a conflict, and no answer is an error")
    {
        const auto conflict = readLeaseWrite(reply(412, "{}"));
        REQUIRE(conflict);
        CHECK_FALSE(*conflict);
        CHECK_FALSE(readLeaseWrite(noAnswer()));
        const auto written = readLeaseWrite(reply(200, R"({"RecordVersion": 20})"));
        REQUIRE(written);
        CHECK(*written == RowVersion(20));
    }
}

TEST_CASE("A promotion call carries the lease holder and the fencing token", "[platform]")
{
    const auto call = makePromotionCall(
        GroupName("finy74a"), TargetName("i-1"), HostName("front-1"), RowVersion(19), std::chrono::milliseconds(600));
    REQUIRE(call.headers.size() == 2);
    CHECK(call.headers[0].value == "front-1");
    CHECK(call.headers[1].value == "19");
    CHECK(readPromotionOutcome(reply(200, "")) == PromotionOutcome::Accepted);
    CHECK(readPromotionOutcome(reply(409, "")) == PromotionOutcome::NotRunning);
    CHECK(readPromotionOutcome(reply(429, "")) == PromotionOutcome::NotDone);
    CHECK(
        readPromotionOutcome(fail(ErrorCode::NotSent, "POST /promotion", "platform", "")) == PromotionOutcome::NotDone);
    CHECK(readPromotionOutcome(reply(503, "")) == PromotionOutcome::Unanswered);
    CHECK(readPromotionOutcome(noAnswer()) == PromotionOutcome::Unanswered);
}

// Guards against a token that the platform has seen exceeded, after the store gave versions out again.
TEST_CASE("A token of a later era of the store is higher than those of earlier eras", "[platform]")
{
    const auto tokenOf = [](std::uint64_t number, std::uint64_t era) {
        const auto call = makePromotionCall(GroupName("finy74a"), TargetName("i-1"), HostName("front-1"),
            RowVersion(number, StoreEra(era)), std::chrono::milliseconds(600));
        return std::stoull(call.headers.at(1).value);
    };
    CHECK(tokenOf(120, 1) < tokenOf(121, 1));
    CHECK(tokenOf(120, 1) < tokenOf(90, 2));
    CHECK(tokenOf(4'000'000'000, 1) < tokenOf(1, 2));
}
