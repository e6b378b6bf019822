#include "group/FailureDetector.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Group;
using namespace std::chrono_literals;

namespace {

const Instant start(100s);
const TargetName primary("target-0");
const TargetName replica("target-1");

struct DetectorFixture {
    GroupSettings settings;
    MemberTable members { { { primary, {} }, { replica, {} }, { TargetName("target-2"), {} } } };
    FailureDetector detector { start, settings };

    DetectorFixture() { recordPrimaryAnswer(start); }

    void recordPrimaryAnswer(Instant now)
    {
        members.recordStatus(now, primary, now, { Term(2), { Term(2), Position(9) }, TargetRole::Primary });
    }

    Suspicion suspicionAfter(Duration unanswered)
    {
        for (auto passed = Duration {}; passed <= unanswered; passed += 20ms)
            detector.recordRun(start + passed);
        return detector.suspicion(start + unanswered, members);
    }
};

} // namespace

TEST_CASE("A primary is suspected for missing answers, refused connects, a lost role or too many fenced members",
    "[group][detect]")
{
    DetectorFixture detection;
    CHECK(detection.suspicionAfter(600ms) == Suspicion::None);
    SECTION("silence")
    {
        CHECK(detection.suspicionAfter(620ms) == Suspicion::Unresponsive);
    }
    SECTION("an answer restarts the count")
    {
        detection.recordPrimaryAnswer(start + 590ms);
        CHECK(detection.suspicionAfter(1100ms) == Suspicion::None);
    }
    SECTION("three refused connections in a row")
    {
        detection.members.recordRefusal(primary);
        detection.members.recordRefusal(primary);
        CHECK(detection.suspicionAfter(600ms) == Suspicion::None);
        detection.members.recordRefusal(primary);
        CHECK(detection.suspicionAfter(600ms) == Suspicion::Refused);
        detection.members.recordResponse(start + 600ms, primary);
        CHECK(detection.suspicionAfter(600ms) == Suspicion::None);
    }
    SECTION("a pause of the watcher's own process is discounted")
    {
        const auto resumedAt = start + 5s;
        CHECK(detection.detector.suspicion(resumedAt, detection.members) == Suspicion::None);
        detection.detector.recordRun(resumedAt);
        CHECK(detection.detector.suspicion(resumedAt, detection.members) == Suspicion::None);
    }
    SECTION("a primary that restarted")
    {
        const TargetStatus restarted { Term(2), { Term(2), Position(9) }, TargetRole::Fenced };
        detection.members.recordStatus(start + 10ms, primary, start + 10ms, restarted);
        CHECK(detection.suspicionAfter(20ms) == Suspicion::Demoted);
    }
    SECTION("so many members fenced that no write can become durable")
    {
        const TargetStatus fenced { Term(3), { Term(2), Position(9) }, TargetRole::Replica };
        detection.members.recordStatus(start, replica, start, fenced);
        CHECK(detection.suspicionAfter(20ms) == Suspicion::None);
        detection.members.recordStatus(start, TargetName("target-2"), start, fenced);
        CHECK(detection.suspicionAfter(20ms) == Suspicion::Blocked);
    }
}
