#pragma once

#include <string>

namespace guavashift {

/// Compares a transcript with the file `name` under UnitTests/Golden. With
/// GUAVASHIFT_UPDATE_GOLDEN=1 in the environment the file is written instead. Returns an empty
/// string if they are equal, else the first line that differs.
std::string compareWithGolden(const std::string &name, const std::string &transcript);

} // namespace guavashift
