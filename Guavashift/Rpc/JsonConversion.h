#pragma once

#include <Guavashift/Core/Json.h>

#include <json/value.h>

namespace guavashift {

/// Between the JSON library of this project and the one of libjsonrpccpp.
Json fromJsonCpp(const ::Json::Value &value);
::Json::Value toJsonCpp(const Json &value);

} // namespace guavashift
