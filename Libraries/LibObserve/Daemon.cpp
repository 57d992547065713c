#include "Daemon.h"

#include "Event.h"

#include <algorithm>
#include <csignal>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <pthread.h>

DEFINE_string(settings, "", "path of the instance's settings file (INI); see docs/settings.md");
DEFINE_bool(check_settings, false, "check the settings, list every mistake, and exit");

namespace Observe {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

DaemonStart startDaemon(int argc, char **argv, const std::string &purpose, SettingUse use,
                        const std::string &defaultPath)
{
    blockStopSignals();
    const std::string help
        = purpose + "\n\nUsage: " + std::string(argv[0])
          + " --settings FILE [--check-settings]\n\n"
            "SIGTERM or SIGINT is a planned stop. Exit codes: 0 stopped as planned, 1 failed, "
            "2 bad settings, 3 bad usage, 4 cannot listen.";
    if (showHelpIfAsked(argc, argv, help, "LibObserve/Daemon"))
        return {std::nullopt, ExitCode::Ok, ""};
    // Users type dashes; gflags only accepts names with underscores.
    for (int i = 1; i < argc; ++i) {
        if (std::string(argv[i]) == "--check-settings")
            argv[i] = const_cast<char *>("--check_settings");
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Instances have no disks, so the log goes to standard error.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);

    const std::string path = FLAGS_settings.empty() ? defaultPath : FLAGS_settings;
    if (path.empty()) {
        std::cerr << "--settings FILE is required; see --help\n";
        return {std::nullopt, ExitCode::BadUsage, path};
    }
    auto check = settingsFromFile(path, use);
    if (!check.settings_) {
        for (const auto &mistake : check.mistakes_)
            std::cerr << mistake << "\n";
        logEvent(Event::SettingsRefused, {{"mistakes", std::to_string(check.mistakes_.size())}});
        return {std::nullopt, ExitCode::BadSettings, path};
    }
    if (FLAGS_check_settings) {
        std::cout << "settings are good\n";
        return {std::nullopt, ExitCode::Ok, ""};
    }
    return {std::move(check.settings_), ExitCode::Ok, path};
}

bool showHelpIfAsked(int argc, char **argv, const std::string &help, const std::string &flagFile)
{
    gflags::SetUsageMessage(help);
    const bool isHelpRequested = std::any_of(argv + 1, argv + argc, [](const char *argument) {
        const std::string text = argument;
        return text == "--help" || text == "-help" || text == "-h";
    });
    if (!isHelpRequested)
        return false;
    std::cout << help << "\n\nFlags:\n";
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const auto &flag : flags) {
        if (flag.filename.find(flagFile) != std::string::npos) {
            std::cout << "  --" << flag.name << "  " << flag.description << " (default '"
                      << flag.default_value << "')\n";
        }
    }
    return true;
}

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void unblockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace Observe
