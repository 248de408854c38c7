#pragma once

#include <Guavashift/Core/Core.h>
#include <Guavashift/Placement/FamilyTable.h>

#include <unordered_map>

namespace guavashift {

/// Estimates the actual run time and memory of a family's tasks from earlier ones.
class RuntimeEstimator final
{
public:
    void completed(FamilyId family, std::int64_t declaredMs, std::int64_t actualMs);
    void used(FamilyId family, const Resources &used);

    /// Expected run time of a task that declares `declaredMs`; the declared one while no task of
    /// the family has completed.
    [[nodiscard]] std::int64_t runtimeMs(FamilyId family, std::int64_t declaredMs) const;

    /// The size to reserve: the declared one, with memory raised to the family's peak usage.
    [[nodiscard]] Resources size(FamilyId family, const Resources &declared) const;

private:
    struct History
    {
        double logRatio = 0; ///< Mean of log(actual / declared).
        double logActual = 0;
        unsigned count = 0;
        Resources peak;
    };

    std::unordered_map<FamilyId, History> m_families;
};

} // namespace guavashift
