#include "proxy/TableFeed.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Proxy {

bool TableFeed::add(const FeedRequest& request)
{
    if (m_waiting.size() >= capacity)
        return false;
    m_waiting.push_back(request);
    return true;
}

std::vector<FeedRequest> TableFeed::takeDue(Instant now, StoreTable table, RowVersion asOf)
{
    const auto firstDue
        = std::stable_partition(m_waiting.begin(), m_waiting.end(), [now, table, asOf](const FeedRequest& request) {
              return request.table != table || (request.after >= asOf && now < request.answerBy);
          });
    std::vector<FeedRequest> due(firstDue, m_waiting.end());
    m_waiting.erase(firstDue, m_waiting.end());
    return due;
}

std::vector<FeedRequest> TableFeed::takeAll(StoreTable table)
{
    const auto first = std::stable_partition(
        m_waiting.begin(), m_waiting.end(), [table](const FeedRequest& request) { return request.table != table; });
    std::vector<FeedRequest> taken(first, m_waiting.end());
    m_waiting.erase(first, m_waiting.end());
    return taken;
}

std::vector<FeedRequest> TableFeed::takeAll()
{
    return std::exchange(m_waiting, {});
}

} // namespace Auburnpost::Proxy
