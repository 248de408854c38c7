#include <Guavashift/Scheduling/WarmUp.h>

#include <algorithm>

namespace guavashift {

namespace {

double shareOf(Duration part, Duration whole)
{
    if (whole <= Duration::zero())
        return 1;
    return std::clamp(static_cast<double>(part.count()) / static_cast<double>(whole.count()), 0.0,
                      1.0);
}

} // namespace

WarmUp::WarmUp(const WarmUpSettings &settings)
    : m_settings(settings)
{
}

bool WarmUp::isEnabled() const
{
    return m_settings.overshoot > 0 || m_settings.slack > 0;
}

double WarmUp::warmth(const WarmUpState &state) const
{
    double warmth = 1;
    if (state.coldLeft > Duration::zero())
        warmth = 1 - shareOf(state.coldLeft, state.coldInAll);
    // A clock that was set back shows a return in the future, as if it were now.
    if (state.sinceReturn)
        warmth = std::min(
            warmth, shareOf(std::max(*state.sinceReturn, Duration::zero()), m_settings.returnTime));
    return warmth;
}

bool WarmUp::mayStart(double warmth, std::size_t runs, std::optional<double> warmAverage) const
{
    if (!isEnabled() || warmth >= 1 || !warmAverage)
        return true;
    // A worker that gets nothing would never be known to be warm.
    const double most =
        std::max(m_settings.slack + m_settings.overshoot * warmth * *warmAverage, 1.0);
    return static_cast<double>(runs) + 1 <= most;
}

} // namespace guavashift
