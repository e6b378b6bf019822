#include "config/DocumentSamples.h"

#include "config/SectionEdit.h"
#include "config/StoredDocument.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Config;
using namespace std::chrono_literals;

namespace {

const Json stalenessSections = Json::parse(R"({"staleness":{"default_ms":5}})");
const Json maintenanceSections = Json::parse(R"({"maintenance":{"leaving_targets":[]}})");

/// Runs one edit and answers its calls one at a time.
struct EditFixture {
    explicit EditFixture(std::optional<ConfigVersion> base = {}, std::string text = R"({"default_ms":7})")
        : edit(
            { "mine", "staleness", std::move(text), base }, EditLimits {}, [this] { return PlatformCallId(++lastId); })
        , row(StoredDocument::parse("", ConfigVersion(0))->withEdit("a", "staleness", stalenessSections))
    {
        calls = edit.start(now);
    }

    void answer(int status, const StoredDocument& stored)
    {
        REQUIRE(calls.size() == 1);
        const PlatformReply reply { status, stored.toText(), stored.version().value() };
        calls = edit.onAnswer(now, random, { calls.front().id, reply });
    }

    /// Fails the pending call and advances the time to the retry.
    void failCall()
    {
        calls = edit.onAnswer(
            now, random, { calls.front().id, fail(ErrorCode::PlatformUnavailable, "call", "platform", "") });
        now = *edit.nextTimer();
        calls = edit.onTimer(now);
    }

    template <typename Outcome> const Outcome& outcome()
    {
        REQUIRE(edit.outcome());
        REQUIRE(std::holds_alternative<Outcome>(*edit.outcome()));
        return std::get<Outcome>(*edit.outcome());
    }

    Instant now;
    RandomEngine random;
    std::uint64_t lastId { 0 };
    SectionEdit edit;
    StoredDocument row;
    std::vector<PlatformCall> calls;
};

struct OldBaseFixture : EditFixture {
    OldBaseFixture()
        : EditFixture(ConfigVersion(1))
    {
    }
};

struct InvalidTextFixture : EditFixture {
    InvalidTextFixture()
        : EditFixture({}, "{\n\"default_ms\": -7}")
    {
    }
};

} // namespace

TEST_CASE_METHOD(EditFixture, "An edit is written with the version read as its base", "[config][edit]")
{
    answer(200, row);
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().method == PlatformMethod::Put);
    CHECK(calls.front().expectedVersion == 1);
    answer(200, row.withEdit("mine", "staleness", stalenessSections));
    CHECK(outcome<EditAccepted>().version == ConfigVersion(2));
}

TEST_CASE_METHOD(EditFixture, "After a lost answer to a write, the edit is looked up by its id", "[config][edit]")
{
    answer(200, row);
    failCall();
    SECTION("the write took effect, and another edit followed")
    {
        answer(200,
            row.withEdit("mine", "staleness", stalenessSections).withEdit("b", "maintenance", maintenanceSections));
        CHECK(outcome<EditAccepted>().version == ConfigVersion(2));
        CHECK(outcome<EditAccepted>().rowVersion == ConfigVersion(3));
    }
    SECTION("the write did not take effect and is sent again")
    {
        answer(200, row);
        CHECK(calls.front().expectedVersion == 1);
    }
    SECTION("the outcome is unknown if the edit history does not reach back far enough")
    {
        auto laterRow = row.withEdit("mine", "staleness", stalenessSections);
        for (std::size_t count = 0; count < StoredDocument::editHistoryLimit; ++count)
            laterRow = laterRow.withEdit("b" + std::to_string(count), "maintenance", maintenanceSections);
        answer(200, laterRow);
        CHECK(outcome<EditFailed>().outcome == FailedOutcome::Unknown);
    }
    SECTION("the outcome is unknown if the platform is unavailable until the deadline")
    {
        while (!edit.outcome()) {
            now = *edit.nextTimer();
            edit.onTimer(now);
        }
        CHECK(outcome<EditFailed>().outcome == FailedOutcome::Unknown);
        CHECK(outcome<EditFailed>().error.code == ErrorCode::DeadlineExceeded);
    }
}

TEST_CASE_METHOD(EditFixture, "An edit that sent no write is reported as not run", "[config][edit]")
{
    for (int count = 0; count < 100 && !edit.outcome(); ++count)
        failCall();
    CHECK(outcome<EditFailed>().outcome == FailedOutcome::NotRun);
    CHECK(outcome<EditFailed>().error.peer == "platform");
}

TEST_CASE_METHOD(EditFixture, "An edit is merged with a concurrent edit of another section", "[config][edit]")
{
    answer(200, row);
    const auto concurrent = row.withEdit("b", "maintenance", maintenanceSections);
    answer(412, concurrent);
    answer(200, concurrent);
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().expectedVersion == 2);
    const auto merged = Json::parse(calls.front().body);
    CHECK(merged.at("sections").at("maintenance") == maintenanceSections.at("maintenance"));
    CHECK(merged.at("sections").at("staleness").at("default_ms") == 7);
}

TEST_CASE_METHOD(EditFixture, "A concurrent edit of the same section causes a conflict", "[config][edit]")
{
    answer(200, row);
    const auto concurrent = row.withEdit("b", "staleness", stalenessSections);
    answer(412, concurrent);
    answer(200, concurrent);
    CHECK(outcome<EditConflict>().sectionVersion == ConfigVersion(2));
    CHECK(outcome<EditConflict>().base == ConfigVersion(1));
}

TEST_CASE_METHOD(
    OldBaseFixture, "An edit with an older base version succeeds only if its section is unchanged", "[config][edit]")
{
    SECTION("another section changed")
    {
        answer(200, row.withEdit("b", "maintenance", maintenanceSections));
        CHECK(calls.size() == 1);
    }
    SECTION("the section changed")
    {
        answer(200, row.withEdit("b", "staleness", stalenessSections));
        CHECK(outcome<EditConflict>().sectionVersion == ConfigVersion(2));
    }
    SECTION("the row was written without an edit history")
    {
        answer(200, *StoredDocument::parse(R"({"sections":{}})", ConfigVersion(2)));
        CHECK(outcome<EditConflict>().sectionVersion == ConfigVersion(2));
    }
}

TEST_CASE_METHOD(InvalidTextFixture, "Errors of an edit name the line in the operator's text", "[config][edit]")
{
    answer(200, row);
    const auto& problems = outcome<EditInvalid>().problems;
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().section == "staleness");
    CHECK(problems.front().line == 2);
}
