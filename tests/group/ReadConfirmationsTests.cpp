#include "group/ReadConfirmations.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Group;
using namespace std::chrono_literals;

namespace {

const Instant start(100s);
const TargetName primary("target-0");
const TargetName replica("target-1");
const TargetName other("target-2");

struct Read {
    CommandOutbox outbox;
    MemberTable members { { { primary, {} }, { replica, {} }, { other, {} } } };
    ReadConfirmations confirmations;

    Read()
    {
        members.record(start, primary, start, { Term(2), { Term(2), Position(9) }, TargetRole::Primary });
        confirmations.await(start, outbox, members, ConfirmId(1), start + 1s);
    }

    /// Answers the command that was sent to @p target last.
    void answer(const TargetName& target, Term fenced, TargetRole role)
    {
        for (const auto& action : outbox.release()) {
            if (const auto* const command = std::get_if<SendCommand>(&action))
                m_sent[command->target] = command->correlation;
        }
        const auto pending = outbox.take(target, m_sent[target]);
        REQUIRE(pending);
        confirmations.answered(
            start, outbox, members, *pending, { true, role, fenced, { Term(2), Position(9) }, TargetName(), "" }, true);
    }

    bool isConfirmed()
    {
        const auto actions = outbox.release();
        return std::any_of(actions.begin(), actions.end(),
            [](const GroupAction& action) { return std::holds_alternative<Confirmed>(action); });
    }

private:
    std::map<TargetName, CorrelationId> m_sent;
};

} // namespace

TEST_CASE("A read is confirmed by a majority with the primary", "[group][confirm]")
{
    Read read;
    read.answer(primary, Term(2), TargetRole::Primary);
    SECTION("not by the primary alone")
    {
        CHECK_FALSE(read.isConfirmed());
    }
    SECTION("by the primary and a replica of its term")
    {
        read.answer(replica, Term(2), TargetRole::Replica);
        CHECK(read.isConfirmed());
    }
    SECTION("not with a replica that was fenced to a higher term")
    {
        // The others may have a new primary that this watcher can't see yet.
        read.answer(replica, Term(3), TargetRole::Replica);
        CHECK_FALSE(read.isConfirmed());
    }
}

TEST_CASE("A read without proof ends at its deadline", "[group][confirm]")
{
    Read read;
    read.confirmations.tick(start + 1s, read.outbox, read.members, true);
    const auto actions = read.outbox.release();
    CHECK(std::any_of(actions.begin(), actions.end(),
        [](const GroupAction& action) { return std::holds_alternative<NotConfirmed>(action); }));
    CHECK(read.confirmations.waiting() == 0);
}
