#pragma once

#include "base/Time.h"

#include <cstddef>
#include <deque>
#include <random>

namespace Auburnpost::Proxy {

/// What the platform makes of the promotion calls that it accepts: when each takes effect, and whether it is answered.
class PromotionOrders {
public:
    struct Order {
        Duration effectDelay {};
        bool isAnswered { true };
    };

    /// @param usualDelay time from a call to its effect unless another is set.
    explicit PromotionOrders(Duration usualDelay)
        : m_usualDelay(usualDelay)
    {
    }

    /// Sets what happens to the next call that has no order yet.
    void set(Order order) { m_set.push_back(order); }
    /// Makes random calls take effect seconds late, or without an answer.
    void vary() { m_varies = true; }

    /// @return what happens to a call that arrives.
    Order next(std::mt19937_64&);
    void recordAccepted() { ++m_outstanding; }
    void recordSettled() { --m_outstanding; }
    /// @return the number of calls that were accepted and have not taken effect.
    [[nodiscard]] std::size_t outstanding() const { return m_outstanding; }

private:
    Duration m_usualDelay;
    std::deque<Order> m_set;
    bool m_varies { false };
    std::size_t m_outstanding { 0 };
};

} // namespace Auburnpost::Proxy
