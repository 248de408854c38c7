#pragma once

#include <Guavashift/Settings/DaemonSettings.h>

#include <variant>

namespace guavashift {

/// Start the daemon with these settings.
struct RunDaemon
{
    DaemonSettings settings;
};

/// Print `text` and exit with 0: help, version, or that the settings are valid.
struct PrintAndExit
{
    std::string text;
};

/// The settings are invalid; nothing may be started.
struct InvalidSettings
{
    Findings findings;
};

using SettingsResult = std::variant<RunDaemon, PrintAndExit, InvalidSettings>;

/// Reads the settings from flags; the environment variable GUAVASHIFT_<FLAG> replaces a flag that
/// is not given. Reports all errors together, each with its flag. `knownRoles` are the valid roles.
SettingsResult readDaemonSettings(int argc, const char *const *argv,
                                  const std::vector<std::string> &knownRoles);

} // namespace guavashift
