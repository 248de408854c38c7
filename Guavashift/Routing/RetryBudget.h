#pragma once

#include <algorithm>

namespace guavashift {

/// Limits retries and hedges to a share of the requests, so that they cannot amplify an overload.
class RetryBudget final
{
public:
    /// Token bucket that starts full with `maxTokens`. Each request adds `percent` hundredths of a
    /// token, and each retry takes one token.
    RetryBudget(unsigned percent, double maxTokens)
        : m_maxTokens(maxTokens)
        , m_tokens(maxTokens)
    {
        setPercent(percent);
    }

    void setPercent(unsigned percent) { m_tokensPerRequest = percent / 100.0; }

    void requestArrived() { m_tokens = std::min(m_maxTokens, m_tokens + m_tokensPerRequest); }

    /// Takes the token for one retry. False if there is none left.
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokensPerRequest = 0;
    double m_maxTokens;
    double m_tokens;
};

} // namespace guavashift
