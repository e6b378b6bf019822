#pragma once

#include "base/Time.h"
#include "proxy/StoreTable.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Auburnpost::Proxy {

/// The platform's store: tables with one version counter, long polls, a limited history of changes, and returns from an
/// older copy of itself, each in a new era.
class ConfigurationStore {
public:
    using Answer = std::function<void(const StorePage&)>;

    /// Writes a row, and answers the polls that wait for a change of the table.
    /// @return the row's version.
    RowVersion write(StoreTable, const std::string& key, const std::string& value);
    /// @return a page of the table from a key on.
    [[nodiscard]] StorePage read(StoreTable, const std::string& fromKey) const;
    /// Answers with the changes after a version: at once if there are any, or if they are no longer known.
    void poll(StoreTable, RowVersion after, Instant until, Answer);
    /// Answers the polls whose wait has ended.
    void endPolls(Instant now);
    /// Ends all polls without an answer.
    void dropPolls() { m_polls.clear(); }
    /// Forgets the changes so far, so that polls after an earlier version are told that they are no longer known.
    void forgetHistory() { m_historyFrom = m_content.number; }
    /// Keeps a copy of the present content.
    void saveCopy();
    /// Replaces the content by the copy that was saved the given number of copies ago.
    void returnFromCopy(std::size_t copiesAgo);

private:
    struct Content {
        std::uint64_t number { 1 };
        std::map<StoreTable, std::map<std::string, StoreRow>> tables;
    };
    struct Poll {
        StoreTable table;
        RowVersion after;
        Instant until;
        Answer answer;
    };

    [[nodiscard]] RowVersion version() const { return RowVersion(m_content.number, m_era); }
    [[nodiscard]] StorePage changes(StoreTable, RowVersion after) const;

    StoreEra m_era { 1 };
    Content m_content;
    std::uint64_t m_historyFrom { 0 };
    std::vector<Content> m_copies;
    std::vector<Poll> m_polls;
};

} // namespace Auburnpost::Proxy
