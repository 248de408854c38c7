#pragma once

#include <Guavashift/Core/Json.h>

#include <json/value.h>

namespace guavashift {

/// Convert between this project's JSON type and that of libjsonrpccpp.
Json fromJsonCpp(const ::Json::Value &value);
::Json::Value toJsonCpp(const Json &value);

} // namespace guavashift
