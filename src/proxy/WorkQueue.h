#pragma once

#include "proxy/Work.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Auburnpost::Proxy {

/// The statements of one group that wait for a connection, in the order in which they are to be served: by the route's
/// priority, then by deadline. Under overload this serves most of what can still be answered in time.
class WorkQueue {
public:
    /// Beyond this nothing more is queued: at a millisecond each it is above what any deadline allows.
    static constexpr std::size_t capacity = 2000;

    [[nodiscard]] bool isFull() const { return m_waiting.size() >= capacity; }
    void add(const Work&);
    void remove(const Work&);
    /// @return the waiting work in order.
    [[nodiscard]] std::vector<WorkId> inOrder() const;
    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    struct Key {
        std::uint32_t priority;
        Instant deadline;
        WorkId id;

        auto operator<=>(const Key&) const = default;
    };

    static Key keyOf(const Work& work) { return { work.route.priority, work.deadline, work.id }; }

    std::map<Key, WorkId> m_waiting;
};

} // namespace Auburnpost::Proxy
