#include "proxy/ConfigurationStore.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Proxy {

namespace {

    /// Small, so that most reads of a table have several pages.
    constexpr std::size_t rowsPerPage = 2;

} // namespace

RowVersion ConfigurationStore::write(StoreTable table, const std::string& key, const std::string& value)
{
    ++m_content.number;
    m_content.tables[table][key] = { key, version(), value, false };
    std::vector<Poll> answered;
    for (auto& poll : std::exchange(m_polls, {}))
        (poll.table == table ? answered : m_polls).push_back(std::move(poll));
    for (const auto& poll : answered)
        poll.answer(changes(table, poll.after));
    return version();
}

StorePage ConfigurationStore::read(StoreTable table, const std::string& fromKey) const
{
    StorePage page;
    page.asOf = version();
    const auto found = m_content.tables.find(table);
    if (found == m_content.tables.end())
        return page;
    for (auto row = found->second.lower_bound(fromKey); row != found->second.end(); ++row) {
        if (page.rows.size() == rowsPerPage) {
            page.hasMore = true;
            break;
        }
        page.rows.push_back(row->second);
        page.rows.back().version = RowVersion(row->second.version.value(), m_era);
    }
    return page;
}

StorePage ConfigurationStore::changes(StoreTable table, RowVersion after) const
{
    StorePage page;
    if (after.value() > m_content.number || after.value() < m_historyFrom) {
        page.isHistoryUnavailable = true;
        page.asOf = RowVersion(0, m_era);
        return page;
    }
    page.asOf = version();
    const auto found = m_content.tables.find(table);
    if (found == m_content.tables.end())
        return page;
    for (const auto& [key, row] : found->second) {
        if (row.version.value() <= after.value())
            continue;
        page.rows.push_back(row);
        page.rows.back().version = RowVersion(row.version.value(), m_era);
    }
    return page;
}

void ConfigurationStore::poll(StoreTable table, RowVersion after, Instant until, Answer answer)
{
    const auto page = changes(table, after);
    if (page.isHistoryUnavailable || !page.rows.empty())
        answer(page);
    else
        m_polls.push_back({ table, after, until, std::move(answer) });
}

void ConfigurationStore::endPolls(Instant now)
{
    std::vector<Poll> ended;
    for (auto& poll : std::exchange(m_polls, {}))
        (poll.until <= now ? ended : m_polls).push_back(std::move(poll));
    for (const auto& poll : ended)
        poll.answer(changes(poll.table, poll.after));
}

void ConfigurationStore::saveCopy()
{
    m_copies.push_back(m_content);
}

void ConfigurationStore::returnFromCopy(std::size_t copiesAgo)
{
    dropPolls();
    m_copies.resize(m_copies.size() - std::min(copiesAgo, m_copies.size() - 1));
    m_content = m_copies.back();
    m_historyFrom = std::min(m_historyFrom, m_content.number);
    m_era = StoreEra(m_era.value() + 1);
}

} // namespace Auburnpost::Proxy
