#pragma once

#include <Guavashift/Core/Core.h>
#include <Guavashift/Placement/FamilyTable.h>

#include <unordered_map>

namespace guavashift {

/// Estimates what tasks of a family really need, from those that came before.
class RuntimeEstimator final
{
public:
    void completed(FamilyId family, std::int64_t declaredMs, std::int64_t actualMs);
    void used(FamilyId family, const Resources &used);

    /// Expected run time of a task that declares `declaredMs`; the declared one while nothing is
    /// known.
    [[nodiscard]] std::int64_t runtimeMs(FamilyId family, std::int64_t declaredMs) const;

    /// The size to reserve: the declared one, raised to what the family was seen to use.
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
