#pragma once

#include "base/Time.h"

namespace Auburnpost::Limit {

struct RetryBudgetSettings {
    /// Retries earned by each fresh request.
    double ratio { 0.1 };
    /// Retries earned by time alone, so that a target with few requests can be retried.
    double floorPerSecond { 0.5 };
    /// Most retries that can be saved up.
    double capacity { 10 };
};

/// Bounds the retries to one target by a share of its fresh requests, as a token bucket.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetSettings = {});

    /// Counts the first attempt of a request.
    void freshRequest(Instant now);
    /// Pays for one retry. @return whether the budget has room for it.
    bool tryRetry(Instant now);
    [[nodiscard]] double tokens() const { return m_tokens; }

private:
    void refill(Instant now);

    RetryBudgetSettings m_settings;
    double m_tokens;
    Instant m_filledAt;
};

} // namespace Auburnpost::Limit
