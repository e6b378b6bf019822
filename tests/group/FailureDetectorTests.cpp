#include "group/FailureDetector.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Group;
using namespace std::chrono_literals;

namespace {

const Instant start(100s);
const TargetName primary("target-0");
const TargetName replica("target-1");

struct Detection {
    GroupSettings settings;
    MemberTable members { { { primary, {} }, { replica, {} }, { TargetName("target-2"), {} } } };
    FailureDetector detector { start, settings };

    Detection() { hear(start); }

    void hear(Instant now)
    {
        members.record(now, primary, now, { Term(2), { Term(2), Position(9) }, TargetRole::Primary });
    }

    Suspicion after(Duration silence)
    {
        for (auto passed = Duration {}; passed <= silence; passed += 20ms)
            detector.running(start + passed);
        return detector.suspicion(start + silence, members);
    }
};

} // namespace

TEST_CASE("A primary is suspected after silence or refused connections only", "[group][detect]")
{
    Detection detection;
    CHECK(detection.after(600ms) == Suspicion::None);
    SECTION("silence")
    {
        CHECK(detection.after(620ms) == Suspicion::Silent);
    }
    SECTION("a late answer ends the silence")
    {
        detection.hear(start + 590ms);
        CHECK(detection.after(1100ms) == Suspicion::None);
    }
    SECTION("three refused connections in a row")
    {
        detection.members.recordRefusal(primary);
        detection.members.recordRefusal(primary);
        CHECK(detection.after(600ms) == Suspicion::None);
        detection.members.recordRefusal(primary);
        CHECK(detection.after(600ms) == Suspicion::Refused);
        detection.members.recordAlive(start + 600ms, primary);
        CHECK(detection.after(600ms) == Suspicion::None);
    }
    SECTION("the watcher's own pause")
    {
        const auto woken = start + 5s;
        CHECK(detection.detector.suspicion(woken, detection.members) == Suspicion::None);
        detection.detector.running(woken);
        CHECK(detection.detector.suspicion(woken, detection.members) == Suspicion::None);
    }
    SECTION("a primary that restarted")
    {
        const TargetStanding restarted { Term(2), { Term(2), Position(9) }, TargetRole::Fenced };
        detection.members.record(start + 10ms, primary, start + 10ms, restarted);
        CHECK(detection.after(20ms) == Suspicion::Demoted);
    }
    SECTION("so many members fenced that nothing becomes durable")
    {
        const TargetStanding fenced { Term(3), { Term(2), Position(9) }, TargetRole::Replica };
        detection.members.record(start, replica, start, fenced);
        CHECK(detection.after(20ms) == Suspicion::None);
        detection.members.record(start, TargetName("target-2"), start, fenced);
        CHECK(detection.after(20ms) == Suspicion::Blocked);
    }
}
