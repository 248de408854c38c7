#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavashift {

/// Number of a family of tasks that resemble each other. Services are families too.
using FamilyId = std::uint32_t;

/// Gives families small numbers.
class FamilyTable final
{
public:
    FamilyId idOf(const std::string &family)
    {
        const auto [position, added] =
            m_ids.try_emplace(family, static_cast<FamilyId>(m_ids.size()));
        return position->second;
    }

    [[nodiscard]] std::size_t size() const { return m_ids.size(); }

private:
    std::unordered_map<std::string, FamilyId> m_ids;
};

} // namespace guavashift
