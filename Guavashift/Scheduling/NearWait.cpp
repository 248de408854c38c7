#include <Guavashift/Scheduling/NearWait.h>

#include <algorithm>

namespace guavashift {

NearWait::NearWait(const NearWaitSettings &settings)
    : m_settings(settings)
{
}

NearChoice NearWait::choose(const NearQuestion &question) const
{
    if (!question.near)
        return NearChoice::TakeFar;
    const Duration until = question.near->expected + question.near->deviation;
    if (question.waited + until > longestWait(question.work))
        return NearChoice::TakeFar;
    // A job that would be in time on a far place does not risk that.
    const Duration farSlack = question.slack - lossOf(question.work);
    if (farSlack >= Duration::zero() && until > farSlack)
        return NearChoice::TakeFar;
    return NearChoice::Wait;
}

Duration NearWait::longestWait(Duration work) const
{
    const auto share = Duration(static_cast<Duration::rep>(static_cast<double>(lossOf(work).count())
                                                           * m_settings.waitShare));
    return std::min(share, m_settings.longestWait);
}

Duration NearWait::lossOf(Duration work) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(work.count())
                                               * std::max(m_settings.remoteFactor - 1, 0.0)));
}

} // namespace guavashift
