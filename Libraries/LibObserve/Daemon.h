#pragma once

#include "Settings.h"

#include <optional>
#include <string>

namespace Observe {

/// Exit codes of all binaries; docs/settings.md lists them.
enum class ExitCode { Ok = 0, Failed = 1, BadSettings = 2, BadUsage = 3, ListenFailed = 4 };

/// The result of startDaemon(): the settings to run with, or the code to exit with.
struct DaemonStart
{
    std::optional<Settings> settings_;
    ExitCode exitCode_ = ExitCode::Ok;
    /// The path of the settings file.
    std::string path_;
};

/// Reads the command line (--settings, --check-settings, --help), sets up the log, and reads and
/// checks the settings for \a use. Stop signals stay blocked, as by blockStopSignals(): without
/// that, a signal during the start would end the process with a failure. \a purpose is the first
/// line of the help; \a defaultPath is the settings file if the command line names none.
///
/// Precondition: called once, first in main(). Thread safety: none.
DaemonStart startDaemon(int argc, char **argv, const std::string &purpose,
                        SettingUse use = SettingUse::Daemons, const std::string &defaultPath = "");

/// Prints \a help and the flags defined in the source file whose path contains \a flagFile, if the
/// command line asks for help. Returns whether it did. Thread safety: none.
bool showHelpIfAsked(int argc, char **argv, const std::string &help, const std::string &flagFile);

/// Blocks until the process is asked to stop (SIGTERM or SIGINT).
///
/// Precondition: startDaemon() or blockStopSignals() was called before any thread was started.
void waitForStopSignal();

/// Blocks stop signals in this thread and in the threads that it starts later.
void blockStopSignals();

/// Unblocks stop signals in this thread, for a process that handles them itself; a pending signal
/// is delivered immediately. Precondition: a handler is installed. Thread safety: any thread.
void unblockStopSignals();

} // namespace Observe
