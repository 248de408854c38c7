#pragma once

#include <Guavashift/Core/Core.h>

#include <string_view>

namespace guavashift {

/// Decisions of the leader that a deployment asks for by name. All others are always made.
struct FleetDecisions
{
    bool overloadOrder = false; ///< "overload-order", see docs/design/room.md.
    bool lateRefusals = false;  ///< "late-refusals", see there.
    bool workerSpeed = false;   ///< "worker-speed", see docs/design/worker-speed.md.
    bool nearPlaces = false;    ///< "near-places", see docs/design/near-places.md.

    bool operator==(const FleetDecisions &) const = default;

    /// Parses names that are separated by commas. Reports each that is not known; `place` names the
    /// setting in the findings.
    static tl::expected<FleetDecisions, Findings> parse(std::string_view names,
                                                        std::string_view place);
};

} // namespace guavashift
