#pragma once

#include <Guavashift/Core/Json.h>

#include <algorithm>
#include <cstdint>

namespace guavashift {

/// Amounts of the resources that a VM offers or a task requires.
struct Resources
{
    std::int64_t milliCores = 0;   ///< Thousandths of a processor core.
    std::int64_t memoryMb = 0;     ///< Mebibytes.
    std::int64_t accelerators = 0; ///< Whole accelerators.

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        milliCores += other.milliCores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        milliCores -= other.milliCores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend Resources operator+(Resources left, const Resources &right) { return left += right; }
    friend Resources operator-(Resources left, const Resources &right) { return left -= right; }

    [[nodiscard]] bool fitsWithin(const Resources &limit) const
    {
        return milliCores <= limit.milliCores && memoryMb <= limit.memoryMb
            && accelerators <= limit.accelerators;
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources, milliCores, memoryMb, accelerators)

} // namespace guavashift
