#pragma once

#include "Settings.h"

#include <optional>
#include <string>

namespace Observe {

/// Exit codes of all binaries; docs/settings.md lists them.
enum class ExitCode { Ok = 0, Failed = 1, BadSettings = 2, BadUsage = 3, ListenFailed = 4 };

/// What the start of a daemon led to: settings to go on with, or the code to exit with.
struct DaemonStart
{
    std::optional<Settings> settings_;
    ExitCode exitCode_ = ExitCode::Ok;
    /// Where the settings were read from.
    std::string path_;
};

/// Reads the command line (--settings, --check-settings, --help), sets up the log, and reads and
/// checks the settings that \a use names. Stop signals are blocked from then on, as by
/// blockStopSignals(): one that comes while a process starts would else end it with a failure. \a
/// purpose is the first line of the help; \a usualPath is where the settings are if the command
/// line does not say.
///
/// Precondition: called once, first in main(). Thread safety: none.
DaemonStart startDaemon(int argc, char **argv, const std::string &purpose,
                        SettingUse use = SettingUse::Daemons, const std::string &usualPath = "");

/// Prints \a help and the flags defined in the source file whose path holds \a flagFile, if the
/// command line asks for help. Returns whether it did. Thread safety: none.
bool showHelpIfAsked(int argc, char **argv, const std::string &help, const std::string &flagFile);

/// Blocks until the process is asked to stop (SIGTERM or SIGINT).
///
/// Precondition: startDaemon() or blockStopSignals() was called before any thread was started.
void waitForStopSignal();

/// Keeps stop signals from ending the process, in this thread and those that it starts later.
void blockStopSignals();

/// Lets this thread take stop signals, for a process that handles them itself; one that came
/// meanwhile is taken at once. Precondition: a handler is set. Thread safety: any thread.
void takeStopSignals();

} // namespace Observe
