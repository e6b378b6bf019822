#include "limit/ClientBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace Auburnpost;
using namespace Auburnpost::Limit;

namespace {

constexpr Instant start { 100s };
constexpr std::size_t mebibyte = 1024UL * 1024;

ClientId client(std::uint64_t number)
{
    return ClientId(number);
}

ClientLimits limits(std::size_t budgetBytes = 16 * mebibyte, std::size_t connections = 200)
{
    ClientLimits result;
    result.budgetBytes = budgetBytes;
    result.connections = connections;
    return result;
}

/// Reads a message as far as the budget permits it.
/// @return the size up to which it may be read.
std::size_t readFully(ClientBudget& budget, Instant now, ClientId id)
{
    for (std::size_t bytes = 0;;) {
        const auto readable = budget.received(now, id, bytes);
        if (readable <= bytes)
            return bytes;
        bytes = readable;
        if (bytes == mebibyte)
            return bytes;
    }
}

void openIdle(ClientBudget& budget, Instant now, ClientId id)
{
    budget.opened(now, id);
    budget.requestStarted(now, id, 10, 0);
    budget.requestAnswered(now, id, ClientStage::Idle);
}

} // namespace

TEST_CASE("A message of the greatest size is read by a host of any size", "[limit][clients]")
{
    const auto budgetBytes = GENERATE(std::size_t { 0 }, mebibyte, 8 * mebibyte, 128 * mebibyte);
    ClientBudget budget(limits(budgetBytes, 3000));
    budget.opened(start, client(1));
    CHECK(readFully(budget, start, client(1)) == mebibyte);
}

TEST_CASE("Large messages are read in turn, and each is read in the end", "[limit][clients]")
{
    // Guards against a set of messages that hold memory for a part each and wait for one another.
    constexpr std::uint64_t count = 150;
    ClientBudget budget(limits());
    std::map<ClientId, std::size_t> bytes;
    for (std::uint64_t number = 1; number <= count; ++number)
        budget.opened(start, client(number));
    for (std::uint64_t number = 1; number <= count; ++number)
        bytes[client(number)] = readFully(budget, start, client(number));
    std::size_t served = 0;
    for (int turn = 0; turn < 1000 && served < count; ++turn) {
        for (auto& [id, received] : bytes) {
            if (received > 0 && received < mebibyte)
                received = readFully(budget, start, id);
            if (received != mebibyte)
                continue;
            budget.requestStarted(start, id, mebibyte - 2, 0);
            CHECK(budget.chargedBytes() <= budget.sharedBytes());
            budget.requestAnswered(start, id, ClientStage::Idle);
            received = 0;
            ++served;
        }
    }
    CHECK(served == count);
    CHECK(budget.chargedBytes() == 0);
}

TEST_CASE("Messages alone never exceed the memory", "[limit][clients][property]")
{
    CHECK(rc::check([] {
        ClientBudget budget(limits(*rc::gen::inRange<std::size_t>(mebibyte, 64 * mebibyte)));
        constexpr std::uint64_t count = 40;
        std::map<std::uint64_t, std::size_t> bytes;
        std::map<std::uint64_t, bool> isServing;
        for (std::uint64_t number = 0; number < count; ++number)
            budget.opened(start, client(number));
        auto now = start;
        const auto steps = *rc::gen::container<std::vector<std::pair<std::uint64_t, int>>>(
            400, rc::gen::pair(rc::gen::inRange<std::uint64_t>(0, count), rc::gen::inRange(0, 6)));
        for (const auto& [number, step] : steps) {
            now += 10ms;
            const auto id = client(number);
            if (isServing[number]) {
                budget.requestAnswered(now, id, ClientStage::Idle);
                isServing[number] = false;
            } else if (step < 4) {
                // One piece more, as far as it may be read.
                const auto readable = budget.readableBytes(id);
                bytes[number] = std::min(readable, bytes[number] + 9000);
                RC_ASSERT(budget.received(now, id, bytes[number]) >= readable);
            } else if (step == 4) {
                budget.requestStarted(now, id, bytes[number], 0);
                bytes[number] = 0;
                isServing[number] = true;
            } else {
                budget.closed(now, id);
                budget.opened(now, id);
                bytes[number] = 0;
            }
            RC_ASSERT(budget.chargedBytes() <= budget.sharedBytes());
        }
        for (std::uint64_t number = 0; number < count; ++number)
            budget.closed(now, client(number));
        RC_ASSERT(budget.chargedBytes() == 0U);
        RC_ASSERT(budget.waiting() == 0U);
    }));
}

TEST_CASE(
    "When answers exceed the memory, the one that has gone longest without being read is closed", "[limit][clients]")
{
    ClientBudget budget(limits());
    const auto answerBytes = budget.sharedBytes() / 2;
    for (std::uint64_t number = 1; number <= 3; ++number)
        openIdle(budget, start, client(number));
    budget.answerAdded(start, client(1), answerBytes);
    budget.answerAdded(start + 1ms, client(2), answerBytes);
    CHECK_FALSE(budget.worstHolder(start + 1ms));
    // The first one reads, so that the second one has gone longer without it.
    budget.answerRead(start + 2ms, client(1), answerBytes - 1000, answerBytes - 1000);
    budget.answerAdded(start + 3ms, client(3), answerBytes);
    const auto worst = budget.worstHolder(start + 3ms);
    REQUIRE(worst);
    CHECK(worst->client == client(2));
    CHECK(worst->reason == ClientCloseReason::Memory);
    budget.closed(start + 3ms, client(2));
    CHECK_FALSE(budget.worstHolder(start + 3ms));
}

TEST_CASE("A message without progress gives way to those that wait for its memory", "[limit][clients]")
{
    ClientBudget budget(limits(mebibyte));
    budget.opened(start, client(1));
    budget.opened(start, client(2));
    budget.opened(start, client(3));
    CHECK(readFully(budget, start, client(1)) == mebibyte);
    CHECK(readFully(budget, start, client(2)) == mebibyte);
    CHECK(readFully(budget, start + 1s, client(3)) < mebibyte);
    CHECK_FALSE(budget.worstHolder(start + 1s));
    REQUIRE(budget.worstHolder(start + 2s));
    CHECK(budget.worstHolder(start + 2s)->client == client(1));
    (void)budget.takePermitted();
    budget.closed(start + 2s, client(1));
    CHECK(budget.takePermitted() == std::vector { client(3) });
    CHECK(readFully(budget, start + 2s, client(3)) == mebibyte);
}

TEST_CASE("A message has time by its size to be complete, and waiting for memory does not count", "[limit][clients]")
{
    const ClientLimits used = limits(mebibyte);
    ClientBudget budget(used);
    budget.opened(start, client(1));
    SECTION("a sender that stops or trickles is closed")
    {
        budget.received(start, client(1), 1);
        budget.received(start + 9s, client(1), 10);
        CHECK_FALSE(budget.overdue(start + used.messageTime));
        const auto overdue = budget.overdue(start + used.messageTime + 1ms);
        REQUIRE(overdue);
        CHECK(overdue->client == client(1));
        CHECK(overdue->reason == ClientCloseReason::SlowSender);
    }
    SECTION("a sender at the minimum rate is not")
    {
        const std::size_t second = used.sendRate;
        for (std::size_t elapsed = 0; elapsed < 32; ++elapsed) {
            budget.received(start + std::chrono::seconds(elapsed), client(1), second * elapsed + 1);
            REQUIRE_FALSE(budget.overdue(start + std::chrono::seconds(elapsed)));
        }
    }
    SECTION("one that waits for memory is not")
    {
        budget.opened(start, client(2));
        budget.opened(start, client(3));
        CHECK(readFully(budget, start, client(2)) == mebibyte);
        CHECK(readFully(budget, start, client(3)) == mebibyte);
        CHECK(readFully(budget, start, client(1)) < mebibyte);
        budget.requestStarted(start, client(2), mebibyte, 0);
        budget.requestStarted(start, client(3), mebibyte, 0);
        CHECK_FALSE(budget.overdue(start + 60s));
        budget.requestAnswered(start + 60s, client(2), ClientStage::Idle);
        CHECK(budget.takePermitted().back() == client(1));
        CHECK_FALSE(budget.overdue(start + 69s));
        CHECK(budget.overdue(start + 100s));
    }
}

TEST_CASE("An answer has time by its size to be read, whatever was read earlier", "[limit][clients]")
{
    const ClientLimits used = limits();
    ClientBudget budget(used);
    openIdle(budget, start, client(1));
    budget.answerAdded(start, client(1), mebibyte);
    std::size_t unread = mebibyte;
    auto now = start;
    SECTION("a reader at the minimum rate is not closed")
    {
        while (unread > used.readRate) {
            now += 1s;
            unread -= used.readRate;
            budget.answerRead(now, client(1), unread, unread);
            REQUIRE_FALSE(budget.overdue(now));
        }
    }
    SECTION("a reader below it is closed")
    {
        while (!budget.overdue(now) && now < start + 60s) {
            now += 1s;
            unread -= used.readRate / 2;
            budget.answerRead(now, client(1), unread, unread);
        }
        REQUIRE(budget.overdue(now));
        CHECK(budget.overdue(now)->reason == ClientCloseReason::SlowReader);
        CHECK(now <= start + 25s);
    }
    SECTION("one that stops after a fast start is closed")
    {
        unread /= 2;
        budget.answerRead(start + 1s, client(1), unread, unread);
        CHECK_FALSE(budget.overdue(start + 10s));
        CHECK(budget.overdue(start + 12s));
    }
}

TEST_CASE("A new caller replaces a connection without a session first and never one that is served", "[limit][clients]")
{
    ClientBudget budget(limits());
    openIdle(budget, start, client(1));
    budget.opened(start, client(2));
    budget.requestStarted(start, client(2), 10, 0);
    CHECK_FALSE(budget.replaceable(start + 4s));
    CHECK(budget.replaceable(start + 5s)->client == client(1));
    budget.opened(start + 5s, client(3));
    CHECK(budget.replaceable(start + 5s)->client == client(1));
    CHECK(budget.replaceable(start + 6s)->client == client(3));
    budget.closed(start + 6s, client(3));
    // A message or a transaction in progress is kept for longer than an idle session.
    budget.requestStarted(start + 6s, client(1), 10, 0);
    CHECK_FALSE(budget.replaceable(start + 60s));
    budget.requestAnswered(start + 6s, client(1), ClientStage::InTransaction);
    CHECK_FALSE(budget.replaceable(start + 20s));
    CHECK(budget.replaceable(start + 21s)->client == client(1));
    budget.received(start + 21s, client(1), 1);
    CHECK_FALSE(budget.replaceable(start + 22s));
    CHECK(budget.replaceable(start + 23s)->client == client(1));
}

TEST_CASE("A server may keep its sessions and replace only connections without one", "[limit][clients]")
{
    auto used = limits();
    used.replacesSessions = false;
    ClientBudget budget(used);
    openIdle(budget, start, client(1));
    CHECK_FALSE(budget.replaceable(start + 60s));
    budget.opened(start + 60s, client(2));
    CHECK(budget.replaceable(start + 61s)->client == client(2));
}
