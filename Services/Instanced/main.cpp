#include <LibSteering/LibSteering.h>

#include <csignal>
#include <cstdlib>
#include <platform/Adapter.h>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // SIGHUP is ignored until the started instance handles it by reloading the settings.
    std::signal(SIGHUP, SIG_IGN);
    const char *usualPath = std::getenv(Adapter::settingsVariable);
    const auto start = Observe::startDaemon(
        argc, argv,
        "instanced: a whole instance in one process: takes callers' requests and look-ups.",
        Observe::SettingUse::OneProcess, usualPath ? usualPath : "");
    if (!start.settings_)
        return static_cast<int>(start.exitCode_);
    Steering::Instance instance(*start.settings_, start.path_);
    instance.usePlatform(Adapter::makePort(instance.store()));
    if (!instance.start())
        return static_cast<int>(Observe::ExitCode::ListenFailed);
    instance.run();
    return static_cast<int>(Observe::ExitCode::Ok);
}
