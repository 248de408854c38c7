#include <Guavashift/Stages/OccurrenceSet.h>

namespace guavashift {

void OccurrenceSet::insert(std::uint32_t number)
{
    if (contains(number))
        return;
    m_above.insert(number);
    while (!m_above.empty() && *m_above.begin() == m_firstMissing) {
        m_above.erase(m_above.begin());
        ++m_firstMissing;
    }
}

void OccurrenceSet::clear()
{
    *this = OccurrenceSet();
}

void to_json(Json &json, const OccurrenceSet &set) // NOLINT
{
    json = Json{{"below", set.m_firstMissing}, {"and", set.m_above}};
}

void from_json(const Json &json, OccurrenceSet &set) // NOLINT
{
    set.clear();
    if (json.is_object()) {
        json.at("below").get_to(set.m_firstMissing);
        json.at("and").get_to(set.m_above);
        return;
    }
    for (const Json &number : json)
        set.insert(number.get<std::uint32_t>());
}

} // namespace guavashift
