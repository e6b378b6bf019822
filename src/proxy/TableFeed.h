#pragma once

#include "base/Time.h"
#include "proxy/StoreTable.h"

#include <vector>

namespace Auburnpost::Proxy {

/// A follower's request for the changes of a table.
struct FeedRequest {
    RequestId id;
    StoreTable table { StoreTable::Configuration };
    /// The version that the follower has.
    RowVersion after;
    /// When it is answered if the table has not changed by then.
    Instant answerBy;
};

/// The requests of followers that wait for a change of a table on this host.
class TableFeed {
public:
    /// Maximum number of waiting requests: more than a data centre has hosts, with one request for each table.
    static constexpr std::size_t capacity = 1000;
    /// Maximum time for which a request waits.
    static constexpr Duration maxWait = std::chrono::seconds(5);

    /// @return whether the request waits; false if too many do.
    bool add(const FeedRequest&);
    /// @return the requests that are to be answered now, removed from those that wait.
    /// @param asOf the version of the table on this host.
    std::vector<FeedRequest> takeDue(Instant now, StoreTable, RowVersion asOf);
    /// @return the waiting requests for a table, removed.
    std::vector<FeedRequest> takeAll(StoreTable);
    /// @return all waiting requests, removed.
    std::vector<FeedRequest> takeAll();
    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    std::vector<FeedRequest> m_waiting;
};

} // namespace Auburnpost::Proxy
