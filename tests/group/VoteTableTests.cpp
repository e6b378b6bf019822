#include "group/VoteTable.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Group;
using namespace std::chrono_literals;

namespace {

const HostName self("host-0");
const HostName second("host-1");
const HostName third("host-2");
const Instant start(100s);

WatcherVote suspicion(std::uint64_t sequence, Term term)
{
    return { Incarnation(1), sequence, term, TargetName("target-1"), true };
}

VoteTable watchedByThree(const GroupSettings& settings)
{
    VoteTable votes(self, settings);
    votes.setWatchers({ self, second, third });
    return votes;
}

} // namespace

TEST_CASE("A failover needs a majority of watchers that currently suspect the primary", "[group][vote]")
{
    const GroupSettings settings;
    auto votes = watchedByThree(settings);
    votes.setPrimaryTerm(start - 10s, Term(2));
    votes.record(start, self, suspicion(1, Term(2)));
    CHECK_FALSE(votes.majoritySuspects(start));
    votes.record(start, third, suspicion(1, Term(2)));
    CHECK(votes.majoritySuspects(start));
    CHECK(votes.suspectingAhead(start) == 0);
    SECTION("votes expire")
    {
        CHECK_FALSE(votes.majoritySuspects(start + settings.voteLifetime + 1us));
    }
    SECTION("an older vote that arrives late is ignored")
    {
        votes.record(start, third, { Incarnation(1), 0, Term(2), TargetName("target-1"), false });
        CHECK(votes.majoritySuspects(start));
    }
    SECTION("a vote of a later incarnation of the host replaces the stored one")
    {
        votes.record(start, third, { Incarnation(2), 0, Term(2), TargetName("target-1"), false });
        CHECK_FALSE(votes.majoritySuspects(start));
    }
    SECTION("a host that is not a watcher has no vote")
    {
        votes.setWatchers({ self, second });
        CHECK_FALSE(votes.majoritySuspects(start));
    }
}

TEST_CASE("The vote of a watcher that restarted after the primary failed counts", "[group][vote]")
{
    // Seeds 13 and 88 of the schedules: the restarted watcher knows no primary, so its vote names no term.
    const GroupSettings settings;
    auto votes = watchedByThree(settings);
    votes.setPrimaryTerm(start, Term(2));
    const auto failed = start + 5s;
    votes.record(failed, self, suspicion(1, Term(2)));
    votes.record(failed, second, suspicion(1, Term()));
    CHECK(votes.majoritySuspects(failed));
    SECTION("but not before it has had the time to find a primary that was just promoted")
    {
        votes.setPrimaryTerm(failed, Term(3));
        votes.record(failed + 10ms, self, suspicion(2, Term(3)));
        votes.record(failed + 10ms, second, suspicion(2, Term(2)));
        CHECK_FALSE(votes.majoritySuspects(failed + 10ms));
    }
}
