#include "proxy/StoreCallCounts.h"

namespace Auburnpost::Proxy {

namespace {

    std::string_view toString(StoreCallKind kind)
    {
        constexpr std::string_view texts[] { "read", "poll", "write" };
        return texts[static_cast<std::size_t>(kind)];
    }

    std::string_view toString(StoreCallOutcome outcome)
    {
        constexpr std::string_view texts[] { "done", "changed", "unchanged", "history_lost", "conflict", "refused",
            "unanswered" };
        return texts[static_cast<std::size_t>(outcome)];
    }

    StoreCallOutcome outcomeOf(const Error& error)
    {
        const bool isAnswered = error.code == ErrorCode::PlatformRefused || error.code == ErrorCode::BadMessage;
        return isAnswered ? StoreCallOutcome::Refused : StoreCallOutcome::Unanswered;
    }

} // namespace

void StoreCallCounts::recordRead(StoreTable table, const Expected<StorePage>& page)
{
    record(Proxy::toString(table), StoreCallKind::Read, page ? StoreCallOutcome::Done : outcomeOf(page.error()));
}

void StoreCallCounts::recordPoll(StoreTable table, const Expected<StorePage>& page)
{
    auto outcome = StoreCallOutcome::Unchanged;
    if (!page)
        outcome = outcomeOf(page.error());
    else if (page->isHistoryUnavailable)
        outcome = StoreCallOutcome::HistoryLost;
    else if (!page->rows.empty())
        outcome = StoreCallOutcome::Changed;
    record(Proxy::toString(table), StoreCallKind::Poll, outcome);
}

void StoreCallCounts::recordHostWrite(const Expected<bool>& isDone)
{
    auto outcome = StoreCallOutcome::Done;
    if (!isDone)
        outcome = outcomeOf(isDone.error());
    else if (!*isDone)
        outcome = StoreCallOutcome::Refused;
    record(Proxy::toString(StoreTable::Hosts), StoreCallKind::Write, outcome);
}

void StoreCallCounts::recordLeaseRead(const Expected<PromotionLeaseRow>& row)
{
    record(leaseTable, StoreCallKind::Read, row ? StoreCallOutcome::Done : outcomeOf(row.error()));
}

void StoreCallCounts::recordLeaseWrite(const Expected<std::optional<RowVersion>>& version)
{
    auto outcome = StoreCallOutcome::Done;
    if (!version)
        outcome = outcomeOf(version.error());
    else if (!*version)
        outcome = StoreCallOutcome::Conflict;
    record(leaseTable, StoreCallKind::Write, outcome);
}

void StoreCallCounts::record(std::string_view table, StoreCallKind kind, StoreCallOutcome outcome)
{
    ++m_counts[{ table, kind, outcome }];
}

std::string StoreCallCounts::dump() const
{
    std::string text;
    for (const auto& [key, count] : m_counts) {
        const auto& [table, kind, outcome] = key;
        text += "store_calls_" + std::string(table) + "_" + std::string(toString(kind)) + "_"
            + std::string(toString(outcome)) + " count=" + std::to_string(count) + "\n";
    }
    return text;
}

} // namespace Auburnpost::Proxy
