#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavashift {

/// Number of a family of similar tasks. Services are families too.
using FamilyId = std::uint32_t;

/// Assigns consecutive numbers to families.
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
