#include <Guavashift/Fleet/FleetDecisions.h>

#include <array>

namespace guavashift {

namespace {

struct NamedDecision
{
    std::string_view name;
    bool FleetDecisions::*isWanted;
};

constexpr std::array decisions{NamedDecision{"overload-order", &FleetDecisions::overloadOrder},
                               NamedDecision{"late-refusals", &FleetDecisions::lateRefusals},
                               NamedDecision{"worker-speed", &FleetDecisions::workerSpeed},
                               NamedDecision{"near-places", &FleetDecisions::nearPlaces}};

} // namespace

tl::expected<FleetDecisions, Findings> FleetDecisions::parse(std::string_view names,
                                                             std::string_view place)
{
    FleetDecisions wanted;
    Findings findings;
    while (!names.empty()) {
        const std::size_t end = std::min(names.find(','), names.size());
        const std::string_view name = names.substr(0, end);
        names.remove_prefix(std::min(end + 1, names.size()));
        const auto *found = std::find_if(decisions.begin(), decisions.end(),
                                         [&](const auto &each) { return each.name == name; });
        if (found != decisions.end())
            wanted.*found->isWanted = true;
        else
            findings.push_back({std::string(place), fmt::format("'{}' is no decision", name)});
    }
    if (!findings.empty())
        return tl::unexpected(std::move(findings));
    return wanted;
}

} // namespace guavashift
