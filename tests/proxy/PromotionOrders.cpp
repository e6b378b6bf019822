#include "proxy/PromotionOrders.h"

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

PromotionOrders::Order PromotionOrders::next(std::mt19937_64& random)
{
    constexpr double lateShare = 0.3;
    constexpr double unansweredShare = 0.15;
    constexpr Duration minLateness = 1s;
    constexpr Duration maxLateness = 6s;
    Order order { m_usualDelay, true };
    if (!m_set.empty()) {
        order = m_set.front();
        m_set.pop_front();
    } else if (m_varies) {
        std::uniform_int_distribution<Duration::rep> lateness(minLateness.count(), maxLateness.count());
        if (std::bernoulli_distribution(lateShare)(random))
            order.effectDelay = Duration(lateness(random));
        order.isAnswered = !std::bernoulli_distribution(unansweredShare)(random);
    }
    return order;
}

} // namespace Auburnpost::Proxy
