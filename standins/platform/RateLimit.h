#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>

namespace Auburnpost::Standin {

/// A token bucket whose capacity is the number of calls allowed per second.
class RateLimit {
public:
    explicit RateLimit(std::int64_t perSecond)
        : m_perSecond(static_cast<double>(perSecond))
        , m_tokens(m_perSecond)
    {
    }

    /// Takes a token for a call at @p now.
    /// @return whether the call is within the limit.
    bool admit(Instant now)
    {
        const std::chrono::duration<double> elapsed = now - m_last;
        m_tokens = std::min(m_perSecond, m_tokens + elapsed.count() * m_perSecond);
        m_last = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_tokens;
    Instant m_last {};
};

} // namespace Auburnpost::Standin
