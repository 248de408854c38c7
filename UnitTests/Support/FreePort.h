#pragma once

#include <cstdint>

namespace guavashift::test {

/// A port that is free on the first loopback address, so that runs side by side do not meet.
std::uint16_t freePort();

} // namespace guavashift::test
