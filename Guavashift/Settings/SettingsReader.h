#pragma once

#include <Guavashift/Settings/DaemonSettings.h>

#include <variant>

namespace guavashift {

/// Run with these settings.
struct RunDaemon
{
    DaemonSettings settings;
};

/// Only print `text` and exit with 0: help, version, or that the settings are sound.
struct PrintAndExit
{
    std::string text;
};

/// The settings are wrong; nothing may be started.
struct InvalidSettings
{
    Findings findings;
};

using SettingsResult = std::variant<RunDaemon, PrintAndExit, InvalidSettings>;

/// Reads flags, and for those not given the environment variable GUAVASHIFT_<FLAG>. Reports all
/// faults together, each with the flag's name. `knownRoles` are the roles that may be named.
SettingsResult readDaemonSettings(int argc, const char *const *argv,
                                  const std::vector<std::string> &knownRoles);

} // namespace guavashift
