#pragma once

#include <Guavashift/Core/Core.h>

#include <set>
#include <string>

namespace guavashift {

/// Reads the members of one JSON object and collects a finding for each that is missing, unknown,
/// of the wrong type or out of range.
class FieldReader final
{
public:
    /// `place` is the JSON Pointer of `json`.
    FieldReader(const Json &json, std::string place, Findings &findings);

    /// Reads an optional whole number within [minimum, maximum].
    template <typename Integer>
    void number(const char *name, Integer &value, std::int64_t minimum, std::int64_t maximum)
    {
        std::int64_t wide = static_cast<std::int64_t>(value);
        readNumber(name, wide, minimum, maximum);
        value = static_cast<Integer>(wide);
    }

    void boolean(const char *name, bool &value);
    void text(const char *name, std::string &value, std::size_t maxLength);
    /// Reports a finding if the member `name` is missing.
    void required(const char *name);
    void resources(const char *name, Resources &value);

    /// Returns the member `name` if it is an object, else null; reports a finding if the member is
    /// there but of another type.
    const Json *object(const char *name);
    const Json *array(const char *name);

    /// Reports each member that none of the readers above was called for.
    void reportUnknownMembers();

    void report(const std::string &name, std::string message);
    [[nodiscard]] std::string placeOf(const std::string &name) const;

private:
    const Json *member(const char *name);
    void readNumber(const char *name, std::int64_t &value, std::int64_t minimum,
                    std::int64_t maximum);

    const Json &m_json;
    std::string m_place;
    Findings &m_findings;
    std::set<std::string> m_requestedNames;
};

/// Whether `name` consists of 1 to 64 letters, digits, '-', '_' and '.'.
bool isValidName(std::string_view name);

} // namespace guavashift
