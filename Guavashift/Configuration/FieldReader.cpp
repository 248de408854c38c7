#include <Guavashift/Configuration/FieldReader.h>

#include <algorithm>
#include <cctype>

namespace guavashift {

namespace {

constexpr std::int64_t maxMilliCores = 1'000'000'000;
constexpr std::int64_t maxMemoryMb = 100'000'000'000;
constexpr std::int64_t maxAccelerators = 1'000'000;
constexpr std::size_t maxNameLength = 64;

/// Escapes one reference token of a JSON Pointer (RFC 6901).
std::string escapeToken(const std::string &name)
{
    std::string escaped;
    for (const char c : name) {
        if (c == '~')
            escaped += "~0";
        else if (c == '/')
            escaped += "~1";
        else
            escaped += c;
    }
    return escaped;
}

} // namespace

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameLength
        && std::all_of(name.begin(), name.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

FieldReader::FieldReader(const Json &json, std::string place, Findings &findings)
    : m_json(json)
    , m_place(std::move(place))
    , m_findings(findings)
{
    if (!json.is_object())
        m_findings.push_back({m_place, "must be an object"});
}

std::string FieldReader::placeOf(const std::string &name) const
{
    return m_place + "/" + escapeToken(name);
}

void FieldReader::report(const std::string &name, std::string message)
{
    m_findings.push_back({placeOf(name), std::move(message)});
}

const Json *FieldReader::member(const char *name)
{
    m_requestedNames.insert(name);
    if (!m_json.is_object())
        return nullptr;
    const auto found = m_json.find(name);
    return found == m_json.end() ? nullptr : &*found;
}

void FieldReader::required(const char *name)
{
    if (m_json.is_object() && !m_json.contains(name))
        report(name, "is missing");
}

void FieldReader::readNumber(const char *name, std::int64_t &value, std::int64_t minimum,
                             std::int64_t maximum)
{
    const Json *json = member(name);
    if (json == nullptr)
        return;
    const bool overflows = json->is_number_unsigned()
        && json->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (!json->is_number_integer() || overflows) {
        report(name, "must be a whole number");
        return;
    }
    const auto read = json->get<std::int64_t>();
    if (read < minimum || read > maximum) {
        report(name, fmt::format("{} is not within {} to {}", read, minimum, maximum));
        return;
    }
    value = read;
}

void FieldReader::boolean(const char *name, bool &value)
{
    const Json *json = member(name);
    if (json == nullptr)
        return;
    if (!json->is_boolean())
        report(name, "must be true or false");
    else
        value = json->get<bool>();
}

void FieldReader::text(const char *name, std::string &value, std::size_t maxLength)
{
    const Json *json = member(name);
    if (json == nullptr)
        return;
    if (!json->is_string())
        report(name, "must be a string");
    else if (json->get_ref<const std::string &>().size() > maxLength)
        report(name, fmt::format("is longer than {} bytes", maxLength));
    else
        value = json->get<std::string>();
}

void FieldReader::resources(const char *name, Resources &value)
{
    const Json *json = object(name);
    if (json == nullptr)
        return;
    FieldReader reader(*json, placeOf(name), m_findings);
    reader.number("milliCores", value.milliCores, 0, maxMilliCores);
    reader.number("memoryMb", value.memoryMb, 0, maxMemoryMb);
    reader.number("accelerators", value.accelerators, 0, maxAccelerators);
    reader.reportUnknownMembers();
}

const Json *FieldReader::object(const char *name)
{
    const Json *json = member(name);
    if (json != nullptr && !json->is_object()) {
        report(name, "must be an object");
        return nullptr;
    }
    return json;
}

const Json *FieldReader::array(const char *name)
{
    const Json *json = member(name);
    if (json != nullptr && !json->is_array()) {
        report(name, "must be an array");
        return nullptr;
    }
    return json;
}

void FieldReader::reportUnknownMembers()
{
    if (!m_json.is_object())
        return;
    for (const auto &[name, value] : m_json.items()) {
        if (!m_requestedNames.contains(name))
            report(name, "is not known");
    }
}

} // namespace guavashift
