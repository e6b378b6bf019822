#pragma once

#include "base/Time.h"

namespace Auburnpost::Limit {

struct RetryBudgetSettings {
    /// Number of retries that each new request adds to the budget.
    double ratio { 0.1 };
    /// Number of retries added per second regardless of requests, so that a target with few requests can be retried.
    double floorPerSecond { 0.5 };
    /// Maximum number of retries in the budget.
    double capacity { 10 };
};

/// Limits the retries to one target to a share of its new requests, as a token bucket.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetSettings = {});

    /// Counts the first attempt of a request.
    void recordRequest(Instant now);
    /// Takes one retry from the budget. @return whether the budget allowed it.
    bool tryRetry(Instant now);
    [[nodiscard]] double tokens() const { return m_tokens; }

private:
    void refill(Instant now);

    RetryBudgetSettings m_settings;
    double m_tokens;
    Instant m_filledAt;
};

} // namespace Auburnpost::Limit
