#pragma once

#include <cstdint>

namespace guavashift::test {

/// A TCP port that is free on 127.0.0.1, so that test programs run in parallel without conflicts.
std::uint16_t freePort();

} // namespace guavashift::test
