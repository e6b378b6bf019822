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

struct PendingRead {
    CommandOutbox outbox;
    MemberTable members { { { primary, {} }, { replica, {} }, { other, {} } } };
    ReadConfirmations confirmations;

    PendingRead()
    {
        members.recordStatus(start, primary, start, { Term(2), { Term(2), Position(9) }, TargetRole::Primary });
        confirmations.add(start, outbox, members, ConfirmationId(1), start + 1s);
    }

    /// Answers the latest command to @p target.
    void answer(const TargetName& target, Term fenced, TargetRole role)
    {
        for (const auto& action : outbox.takeActions()) {
            if (const auto* const command = std::get_if<SendCommand>(&action))
                m_sent[command->target] = command->correlation;
        }
        const auto pending = outbox.complete(target, m_sent[target]);
        REQUIRE(pending);
        confirmations.handleAnswer(
            start, outbox, members, *pending, { true, role, fenced, { Term(2), Position(9) }, TargetName(), "" }, true);
    }

    bool isConfirmed()
    {
        const auto actions = outbox.takeActions();
        return std::any_of(actions.begin(), actions.end(),
            [](const GroupAction& action) { return std::holds_alternative<Confirmed>(action); });
    }

private:
    std::map<TargetName, CorrelationId> m_sent;
};

} // namespace

TEST_CASE("A read is confirmed by a majority that includes the primary", "[group][confirm]")
{
    PendingRead read;
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
        // The other members may have a new primary that this watcher has not found yet.
        read.answer(replica, Term(3), TargetRole::Replica);
        CHECK_FALSE(read.isConfirmed());
    }
}

TEST_CASE("A read that is not confirmed ends at its deadline", "[group][confirm]")
{
    PendingRead read;
    read.confirmations.tick(start + 1s, read.outbox, read.members, true);
    const auto actions = read.outbox.takeActions();
    CHECK(std::any_of(actions.begin(), actions.end(),
        [](const GroupAction& action) { return std::holds_alternative<NotConfirmed>(action); }));
    CHECK(read.confirmations.waiting() == 0);
}
