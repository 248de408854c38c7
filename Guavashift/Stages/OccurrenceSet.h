#pragma once

#include <Guavashift/Core/Core.h>

#include <cstdint>
#include <set>

namespace guavashift {

/// A set of occurrence numbers that are added roughly in ascending order. Takes space only for the
/// numbers above the first one that is missing.
class OccurrenceSet final
{
public:
    /// Adds a number; does nothing if it is there.
    void insert(std::uint32_t number);
    [[nodiscard]] bool contains(std::uint32_t number) const
    {
        return number < m_firstMissing || m_above.contains(number);
    }
    [[nodiscard]] std::size_t size() const { return m_firstMissing + m_above.size(); }
    /// The least number that is not in the set.
    [[nodiscard]] std::uint32_t firstMissing() const { return m_firstMissing; }
    void clear();

    friend void to_json(Json &json, const OccurrenceSet &set); // NOLINT
    /// Also reads the plain list of all numbers that earlier versions saved.
    friend void from_json(const Json &json, OccurrenceSet &set); // NOLINT

private:
    std::uint32_t m_firstMissing = 0;
    std::set<std::uint32_t> m_above; ///< Numbers above m_firstMissing.
};

} // namespace guavashift
