#pragma once

// Public header of the Core library: identifiers, units, clocks, errors, findings, logging, roles.

#include <Guavashift/Core/Check.h>
#include <Guavashift/Core/Error.h>
#include <Guavashift/Core/Finding.h>
#include <Guavashift/Core/Hash.h>
#include <Guavashift/Core/Identifier.h>
#include <Guavashift/Core/Json.h>
#include <Guavashift/Core/Kernel.h>
#include <Guavashift/Core/Log.h>
#include <Guavashift/Core/Overloaded.h>
#include <Guavashift/Core/Resources.h>
#include <Guavashift/Core/RoleHealth.h>
#include <Guavashift/Core/Time.h>
