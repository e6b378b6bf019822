#include "config/DocumentPoll.h"
#include "config/DocumentSamples.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Config;
using namespace std::chrono_literals;

namespace {

const std::string emptyDocument = R"({"sections":{}})";

struct PollFixture {
    PollFixture()
        : poll(store, PollTimings {}, [this] { return PlatformCallId(++lastId); })
    {
        actions = poll.start(now);
    }

    template <typename Action> std::vector<Action> actionsOf() const
    {
        std::vector<Action> found;
        for (const auto& action : actions) {
            if (const auto* const match = std::get_if<Action>(&action))
                found.push_back(*match);
        }
        return found;
    }

    void answer(PlatformReply reply)
    {
        actions = poll.onPlatformAnswer(now, random, { PlatformCallId(lastId), std::move(reply) });
    }

    void failCall()
    {
        actions = poll.onPlatformAnswer(
            now, random, { PlatformCallId(lastId), fail(ErrorCode::PlatformUnavailable, "", "", "") });
    }

    void advanceToTimer()
    {
        now = poll.nextTimer();
        actions = poll.onTimer(now, random);
    }

    Instant now;
    RandomEngine random;
    std::uint64_t lastId { 0 };
    DocumentStore store;
    DocumentPoll poll;
    DocumentPoll::Actions actions;
};

const auto listWithVersionThree = R"({"rows":[{"row":"other","version":9},{"row":"document","version":3}]})";

} // namespace

TEST_CASE("The version of a host's document never decreases", "[config][store]")
{
    DocumentStore store;
    CHECK(store.installIfNewer(ConfigVersion(2), emptyDocument).outcome == InstallOutcome::Installed);
    CHECK(store.installIfNewer(ConfigVersion(1), goodDocument()).outcome == InstallOutcome::NotNewer);
    CHECK(store.installIfNewer(ConfigVersion(2), goodDocument()).outcome == InstallOutcome::NotNewer);
    SECTION("a document with errors is rejected and the current one stays in force")
    {
        const auto result = store.installIfNewer(ConfigVersion(3), R"({"sections":{"placement":{}}})");
        CHECK(result.outcome == InstallOutcome::Rejected);
        CHECK(result.problems.size() == 1);
        CHECK(store.version() == ConfigVersion(2));
        CHECK(store.bytes() == emptyDocument);
    }
    SECTION("a rejected document is not fetched again and does not prevent an older valid one")
    {
        store.installIfNewer(ConfigVersion(5), "{}");
        CHECK_FALSE(store.needsVersion(ConfigVersion(5)));
        CHECK(store.installIfNewer(ConfigVersion(4), emptyDocument).outcome == InstallOutcome::Installed);
        CHECK_FALSE(store.needsVersion(ConfigVersion(5)));
    }
}

TEST_CASE_METHOD(PollFixture, "A host reads the document only when its version has increased", "[config][poll]")
{
    CHECK(actionsOf<PlatformCall>().at(0).path == "/table/config");
    answer({ 200, listWithVersionThree, {} });
    CHECK(actionsOf<PlatformCall>().at(0).path == "/table/config/document");
    answer({ 200, emptyDocument, 3 });
    CHECK(actionsOf<DocumentInstalled>().at(0).version == ConfigVersion(3));
    advanceToTimer();
    answer({ 200, listWithVersionThree, {} });
    CHECK(actionsOf<PlatformCall>().empty());
    CHECK(poll.nextTimer() > now + 1s);
    CHECK(poll.nextTimer() < now + 3s);
}

TEST_CASE_METHOD(PollFixture, "An unavailable platform is logged once and polled less often", "[config][poll]")
{
    failCall();
    CHECK(actionsOf<LogRecord>().at(0).event == LogEvent::PlatformOutage);
    for (int each = 0; each < 10; ++each) {
        advanceToTimer();
        failCall();
        CHECK(actionsOf<LogRecord>().empty());
    }
    CHECK(poll.nextTimer() > now + 11s);
    CHECK(poll.nextTimer() < now + 19s);
    advanceToTimer();
    answer({ 200, R"({"rows":[]})", {} });
    CHECK(actionsOf<LogRecord>().at(0).event == LogEvent::PlatformRecovered);
}

TEST_CASE_METHOD(PollFixture, "Malformed answers from the platform count as failures", "[config][poll]")
{
    for (const auto* body : { "", "[]", "{}", R"({"rows":{}})", R"({"rows":[{"row":"document"}]})" }) {
        INFO(body);
        answer({ 200, body, {} });
        CHECK(poll.isPlatformUnavailable());
        advanceToTimer();
    }
}

TEST_CASE_METHOD(PollFixture, "A new host collects versions and asks a peer with the newest one", "[config][poll]")
{
    failCall();
    actions = poll.onPeerVersion(now, HostName("old"), ConfigVersion(4));
    CHECK(actionsOf<RequestPeerDocument>().empty());
    actions = poll.onPeerVersion(now + 500ms, HostName("new"), ConfigVersion(5));
    CHECK(actionsOf<RequestPeerDocument>().empty());
    advanceToTimer();
    REQUIRE(actionsOf<RequestPeerDocument>().size() == 1);
    CHECK(actionsOf<RequestPeerDocument>().at(0).peer == HostName("new"));
    SECTION("a failed request is repeated before a peer with an older version is asked")
    {
        for (int each = 0; each < 2; ++each) {
            actions = poll.onPeerFailed(now, HostName("new"));
            CHECK(actionsOf<RequestPeerDocument>().at(0).peer == HostName("new"));
        }
        actions = poll.onPeerFailed(now, HostName("new"));
        CHECK(actionsOf<RequestPeerDocument>().at(0).peer == HostName("old"));
    }
    SECTION("the received document is installed")
    {
        actions = poll.onPeerDocument(now, HostName("new"), ConfigVersion(5), emptyDocument);
        CHECK(actionsOf<DocumentInstalled>().size() == 1);
        CHECK(store.version() == ConfigVersion(5));
    }
}
