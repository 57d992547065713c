#pragma once

#include <LibObserve/LibObserve.h>
#include <LibPlatform/LibPlatform.h>

#include <string>
#include <vector>

namespace Tablectl {

/// Options of the command line.
struct Options
{
    Model::Address platform_;
    std::string operator_;
    std::string editId_;
    std::vector<std::string> arguments_;
    Model::Milliseconds timeout_{2000};
    /// For edits from a file: the table version that the edit is based on.
    std::optional<Model::TableVersion> base_;
    std::string start_;
    std::string end_;
    std::string origin_;
    std::string at_;
    /// For status, quarantines and lift: comma-separated addresses, requested instead of the
    /// platform's list.
    std::string adminAddresses_;
};

/// Runs the command named by the first argument and returns the exit code. Output goes to standard
/// output, error messages to standard error. Thread safety: none.
Observe::ExitCode runCommand(const Options &options);

/// Returns the list of commands for the help. Thread safety: any thread.
std::string commandsText();

} // namespace Tablectl
