#pragma once

#include <Guavashift/Core/Json.h>

#include <string>
#include <string_view>
#include <vector>

namespace guavashift {

/// One fault found in an input, with its location (a JSON Pointer or a flag's name).
struct Finding
{
    std::string place;
    std::string message;

    bool operator==(const Finding &) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Finding, place, message)

/// List of findings, so that all are reported together.
using Findings = std::vector<Finding>;

/// Formats all findings as one text, each as "place: message", separated by "; ".
inline std::string describe(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        if (!text.empty())
            text += "; ";
        text += finding.place + ": " + finding.message;
    }
    return text;
}

} // namespace guavashift
