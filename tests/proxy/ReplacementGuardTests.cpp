#include "proxy/ReplacementGuard.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t storeNowMs = 50'000;
const TargetName p("p");
const TargetName c("c");
const HostName holder("holder");

ReportedPrimary reported(const std::string& name, std::uint64_t term)
{
    return { TargetName(name), TargetIncarnation(1), Term(term) };
}

PendingPromotion pending(std::uint64_t replacedTerm, std::uint64_t recordedAtMs = storeNowMs)
{
    return { c, Term(replacedTerm), recordedAtMs, false };
}

/// A lease that another host holds to replace the primary of a term.
PromotionLeaseRow heldRow(std::optional<Term> replacedTerm)
{
    PromotionLease lease { holder, storeNowMs + 2000, {} };
    lease.replacedTerm = replacedTerm;
    return { RowVersion(9), lease, storeNowMs };
}

/// An expired lease with a promotion that was recorded under it.
PromotionLeaseRow expiredRow(const std::optional<PendingPromotion>& recorded)
{
    return { RowVersion(9), PromotionLease { holder, storeNowMs - 1, recorded }, storeNowMs };
}

/// A host that uses the primary p of term 1.
struct Host {
    Instant now { 100s };
    ReplacementGuard guard;

    Host()
    {
        guard.recordPrimary(now, reported("p", 1));
        read({});
        REQUIRE(guard.allows(p));
    }
    void read(const PromotionLeaseRow& row) { guard.recordRow(now, now, row, false, {}); }
    /// The primary crashes, and is back under another name with the same term.
    void crashAndReturn()
    {
        guard.raise(now, PrimaryDoubt::ContactLost);
        now += 700ms;
        guard.recordPrimary(now, reported("back", 1));
    }
};

const TargetName back("back");

} // namespace

TEST_CASE("A primary is used by a host that starts once the row shows no replacement of it", "[proxy][guard]")
{
    Instant now { 100s };
    ReplacementGuard guard;
    CHECK_FALSE(guard.isReadDue(now));
    guard.recordPrimary(now, reported("p", 3));
    CHECK_FALSE(guard.allows(p));
    CHECK(guard.doubt() == PrimaryDoubt::Started);
    CHECK(guard.isReadDue(now));

    SECTION("without a row")
    {
        guard.recordRow(now, now, {}, false, {});
        CHECK(guard.allows(p));
    }
    SECTION("with a lease or a promotion that replaced an earlier term")
    {
        auto row = heldRow(Term(2));
        row.lease->pending = pending(2);
        guard.recordRow(now, now, row, false, {});
        CHECK(guard.allows(p));
    }
    SECTION("with a lease that only removes fences")
    {
        guard.recordRow(now, now, heldRow(Term(0)), false, {});
        CHECK(guard.allows(p));
    }
    SECTION("but not while a lease is held by a host that does not say what for")
    {
        guard.recordRow(now, now, heldRow({}), false, {});
        CHECK_FALSE(guard.allows(p));
    }
    SECTION("but not by a read that was sent before the primary reported itself")
    {
        guard.recordRow(now + 10ms, now - 1ms, {}, false, {});
        CHECK_FALSE(guard.allows(p));
    }
    SECTION("nor by the word of a primary of a later term")
    {
        guard.recordPrimary(now + 500ms, reported("c", 4));
        CHECK_FALSE(guard.allows(c));
    }
}

TEST_CASE("On the first start of a deployment the members' answers save the read of the row", "[proxy][guard]")
{
    const Instant now { 100s };
    ReplacementGuard guard;
    guard.setFirstStart();
    guard.recordNoReplacement(now);
    CHECK_FALSE(guard.allows(p));
    guard.recordPrimary(now, reported("p", 3));
    CHECK_FALSE(guard.isReadDue(now));
    SECTION("if they show no replacement")
    {
        guard.recordNoReplacement(now);
        CHECK(guard.allows(p));
        CHECK(guard.takeResolved()->resolution == DoubtResolution::Members);
    }
    SECTION("but not for ever")
    {
        CHECK(guard.isReadDue(now + ReplacementGuard::firstStartDelay));
    }
    SECTION("nor after the primary was lost")
    {
        guard.recordNoReplacement(now);
        guard.raise(now, PrimaryDoubt::ContactLost);
        guard.recordPrimary(now, reported("p", 3));
        guard.recordNoReplacement(now);
        CHECK_FALSE(guard.allows(p));
    }
}

TEST_CASE("A host that starts again reads the row whatever the members answer", "[proxy][guard]")
{
    const Instant now { 100s };
    ReplacementGuard guard;
    guard.recordPrimary(now, reported("p", 3));
    guard.recordNoReplacement(now);
    CHECK_FALSE(guard.allows(p));
    CHECK(guard.isReadDue(now));
}

// Guards against docs/incidents/returned-primary.md.
TEST_CASE(
    "A crashed primary that is back under another name is not used while its term is being replaced", "[proxy][guard]")
{
    Host host;
    host.crashAndReturn();
    CHECK_FALSE(host.guard.allows(back));

    SECTION("while another host holds a lease for it")
    {
        host.read(heldRow(Term(1)));
        CHECK_FALSE(host.guard.allows(back));
        CHECK_FALSE(host.guard.isReadDue(host.now));
        CHECK(host.guard.isReadDue(host.now + ReplacementGuard::recheckInterval));
    }
    SECTION("while a promotion of an expired lease may still take effect")
    {
        host.read(expiredRow(pending(1)));
        CHECK_FALSE(host.guard.allows(back));
    }
    SECTION("but once a promotion can no longer take effect")
    {
        host.read(expiredRow(pending(1, storeNowMs - 10'000)));
        CHECK(host.guard.allows(back));
    }
    SECTION("but the promoted target is, at once")
    {
        host.read(heldRow(Term(1)));
        host.guard.recordPrimary(host.now + 400ms, reported("c", 2));
        CHECK(host.guard.allows(c));
        CHECK(host.guard.takeResolved()->resolution == DoubtResolution::Successor);
    }
    SECTION("but at once if nobody replaces it")
    {
        host.read(expiredRow({}));
        CHECK(host.guard.allows(back));
        CHECK(host.guard.takeResolved()->resolution == DoubtResolution::Row);
    }
}

TEST_CASE("A promoted target is used without a read of the row, unless contact was lost long before", "[proxy][guard]")
{
    Host host;
    SECTION("after a planned switch")
    {
        host.guard.recordPrimary(host.now + 500ms, reported("c", 2));
        CHECK(host.guard.allows(c));
    }
    SECTION("after a failover")
    {
        host.guard.raise(host.now, PrimaryDoubt::ContactLost);
        host.guard.recordPrimary(host.now + 1500ms, reported("c", 2));
        CHECK(host.guard.allows(c));
    }
    SECTION("but not when a further replacement could have begun meanwhile")
    {
        host.guard.raise(host.now, PrimaryDoubt::ContactLost);
        host.now += ReplacementGuard::successorTimeout;
        host.guard.recordPrimary(host.now, reported("c", 2));
        CHECK_FALSE(host.guard.allows(c));
        host.read(expiredRow(pending(1)));
        CHECK(host.guard.allows(c));
    }
    SECTION("nor by a host that was paused")
    {
        host.guard.raise(host.now, PrimaryDoubt::Paused);
        host.guard.recordPrimary(host.now + 10ms, reported("c", 2));
        CHECK_FALSE(host.guard.allows(c));
    }
}

TEST_CASE("A fence of a later term stops the use of a primary that answers", "[proxy][guard]")
{
    Host host;
    host.guard.recordFence(host.now, Term(1));
    CHECK(host.guard.allows(p));
    host.guard.recordFence(host.now, Term(2));
    CHECK_FALSE(host.guard.allows(p));
    CHECK(host.guard.isReadDue(host.now));

    SECTION("until the row shows that its attempt has ended")
    {
        host.read(expiredRow({}));
        CHECK(host.guard.allows(p));
        host.guard.recordFence(host.now + 1s, Term(2));
        CHECK(host.guard.allows(p));
        host.guard.recordFence(host.now + 2s, Term(3));
        CHECK_FALSE(host.guard.allows(p));
    }
    SECTION("also if a fence came while the row was being read")
    {
        const auto sentAt = host.now;
        host.guard.recordFence(host.now + 5ms, Term(3));
        host.guard.recordRow(host.now + 10ms, sentAt, {}, false, {});
        CHECK_FALSE(host.guard.allows(p));
        CHECK(host.guard.isReadDue(host.now + 10ms));
    }
    SECTION("and again if the same term is fenced later")
    {
        host.read({});
        host.guard.recordNoFence();
        host.guard.recordFence(host.now + 1s, Term(2));
        CHECK_FALSE(host.guard.allows(p));
    }
}

TEST_CASE("A primary that no other member shows to be in place is used as of a read of the row", "[proxy][guard]")
{
    Host host;
    host.now += 1s;
    host.guard.recordIsolation(host.now);
    CHECK_FALSE(host.guard.allows(p));
    CHECK(host.guard.isReadDue(host.now));
    host.guard.recordRow(host.now + 40ms, host.now + 10ms, expiredRow({}), false, {});
    CHECK(host.guard.allows(p));
    CHECK(host.guard.clearAsOf() == host.now + 10ms);
}

// A promotion is pending for a limited time. A host that does not see its effect must not return to the old primary.
TEST_CASE("A primary of an earlier term than the recorded one is not used", "[proxy][guard]")
{
    Host host;
    host.crashAndReturn();
    auto row = expiredRow({});
    row.lease->members = MemberRecord { {}, 1, Term(2) };
    host.read(row);
    CHECK_FALSE(host.guard.allows(back));
    row.lease->members->term = Term(1);
    host.now += ReplacementGuard::recheckInterval;
    host.read(row);
    CHECK(host.guard.allows(back));
}

TEST_CASE("A primary that was demoted or did not respond is used only after a read of the row", "[proxy][guard]")
{
    Host host;
    host.guard.raise(host.now, PrimaryDoubt::ContactLost);
    CHECK_FALSE(host.guard.allows(p));
    CHECK_FALSE(host.guard.isReadDue(host.now));
    host.now += 900ms;
    host.guard.recordPrimary(host.now, reported("p", 1));
    CHECK(host.guard.isReadDue(host.now));
    host.read({});
    CHECK(host.guard.allows(p));
}

TEST_CASE("Of a row that this process wrote it knows whether the call was made", "[proxy][guard]")
{
    Host host;
    host.crashAndReturn();
    auto row = heldRow(Term(1));
    row.lease->pending = pending(1);
    SECTION("it was not")
    {
        host.guard.recordRow(host.now, host.now, row, true, {});
        CHECK(host.guard.allows(back));
    }
    SECTION("it was")
    {
        host.guard.recordRow(host.now, host.now, row, true, pending(1));
        CHECK_FALSE(host.guard.allows(back));
    }
}

TEST_CASE("No host keeps from a primary for ever when the row can't be read", "[proxy][guard]")
{
    Host host;
    host.crashAndReturn();
    const auto returnedAt = host.now;
    const auto passUntil = [&](Duration length) {
        for (; host.now < returnedAt + length; host.now += 100ms) {
            if (host.guard.isReadDue(host.now))
                host.guard.recordUnreadableRow(host.now);
            host.guard.tick(host.now);
        }
        host.guard.tick(host.now);
    };
    SECTION("for the lifetime of a lease without a sign of a replacement")
    {
        passUntil(ReplacementGuard::unreadableTimeout - 100ms);
        CHECK_FALSE(host.guard.allows(back));
        passUntil(ReplacementGuard::unreadableTimeout);
        CHECK(host.guard.allows(back));
        CHECK(host.guard.takeResolved()->resolution == DoubtResolution::Time);
    }
    SECTION("for the time in which a promotion may take effect with a fence")
    {
        host.guard.recordFence(host.now, Term(2));
        passUntil(ReplacementGuard::replacementTimeout - 100ms);
        CHECK_FALSE(host.guard.allows(back));
        passUntil(ReplacementGuard::replacementTimeout);
        CHECK(host.guard.allows(back));
    }
    SECTION("and after the row showed a replacement")
    {
        host.read(heldRow(Term(1)));
        passUntil(ReplacementGuard::replacementTimeout - 100ms);
        CHECK_FALSE(host.guard.allows(back));
        passUntil(ReplacementGuard::replacementTimeout);
        CHECK(host.guard.allows(back));
    }
}

TEST_CASE("A row of a store that came back from an older copy resolves nothing", "[proxy][guard]")
{
    Host host;
    host.guard.storeReturned(host.now);
    host.crashAndReturn();
    host.read({});
    CHECK_FALSE(host.guard.allows(back));
    host.now += ReplacementGuard::successorTimeout;
    host.read({});
    CHECK(host.guard.allows(back));
}

TEST_CASE("A doubt that is not resolved is overdue after the time bound", "[proxy][guard]")
{
    Host host;
    host.crashAndReturn();
    host.read(heldRow(Term(1)));
    CHECK_FALSE(host.guard.isOverdue(host.now + ReplacementGuard::overdueTimeout - 1ms));
    CHECK(host.guard.isOverdue(host.now + ReplacementGuard::overdueTimeout));
}
