#pragma once

// Public header of the Settings library: the daemon's settings from flags and environment.

#include <Guavashift/Settings/DaemonSettings.h>
#include <Guavashift/Settings/SettingsReader.h>
