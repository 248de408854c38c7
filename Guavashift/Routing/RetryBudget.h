#pragma once

#include <algorithm>

namespace guavashift {

/// Limits retries and hedges to a share of the requests, so that they cannot multiply an overload.
class RetryBudget final
{
public:
    /// Each request earns `percent` hundredths of a retry; `reserve` retries can be saved up.
    RetryBudget(unsigned percent, double reserve)
        : m_reserve(reserve)
        , m_tokens(reserve)
    {
        setPercent(percent);
    }

    void setPercent(unsigned percent) { m_share = percent / 100.0; }

    void requestArrived() { m_tokens = std::min(m_reserve, m_tokens + m_share); }

    /// Takes one retry if there is one left.
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_share = 0;
    double m_reserve;
    double m_tokens;
};

} // namespace guavashift
