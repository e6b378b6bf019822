#pragma once

#include "proxy/PendingStatement.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Auburnpost::Proxy {

/// The statements of one group that wait for dispatch, ordered by the route's priority, then by deadline. Under
/// overload this order serves most of the statements that can still meet their deadline.
class StatementQueue {
public:
    /// Maximum number of queued statements. At a millisecond each, a full queue takes longer than any deadline allows.
    static constexpr std::size_t capacity = 2000;

    [[nodiscard]] bool isFull() const { return m_waiting.size() >= capacity; }
    void add(const PendingStatement&);
    void remove(const PendingStatement&);
    /// @return the waiting statements in dispatch order.
    [[nodiscard]] std::vector<PendingStatementId> inOrder() const;
    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    struct Key {
        std::uint32_t priority;
        Instant deadline;
        PendingStatementId id;

        auto operator<=>(const Key&) const = default;
    };

    static Key keyOf(const PendingStatement& pending)
    {
        return { pending.route.priority, pending.deadline, pending.id };
    }

    std::map<Key, PendingStatementId> m_waiting;
};

} // namespace Auburnpost::Proxy
