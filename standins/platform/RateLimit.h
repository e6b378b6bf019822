#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>

namespace Auburnpost::Standin {

/// A token bucket that holds one second's worth of calls.
class RateLimit {
public:
    explicit RateLimit(std::int64_t perSecond)
        : m_perSecond(static_cast<double>(perSecond))
        , m_tokens(m_perSecond)
    {
    }

    /// @return whether a call at @p now is within the limit, which it then uses up.
    bool admit(Instant now)
    {
        const std::chrono::duration<double> passed = now - m_last;
        m_tokens = std::min(m_perSecond, m_tokens + passed.count() * m_perSecond);
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
