#pragma once

#include <LibModel/LibModel.h>

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Harness {

/// A child process; it ends with this object at the latest, and with the test if that dies.
class Process
{
public:
    Process(std::string name, std::vector<std::string> command, std::string logPath);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start();
    void signal(int number);
    /// Returns the exit code, 128 + the signal's number, or nothing if it runs on after \a
    /// patience.
    std::optional<int> wait(Model::Milliseconds patience);
    void kill();
    bool isRunning() const { return pid_ > 0; }
    /// Tells whether it blocks or handles a signal by now: one that comes while the system still
    /// loads the program ends it, whatever the program does.
    bool minds(int number) const;
    /// Returns the processor time used so far, in seconds.
    double cpuSeconds() const;
    const std::string &name() const { return name_; }
    std::string log() const;

private:
    std::string name_;
    std::vector<std::string> command_;
    std::string logPath_;
    pid_t pid_ = -1;
};

/// Asks \a isTrue again and again until it says yes. Returns whether it did within \a patience.
template <typename Question>
bool waitUntil(Model::Milliseconds patience, Question isTrue);

/// Pauses the calling thread.
void pause(Model::Milliseconds duration);

} // namespace Harness

template <typename Question>
bool Harness::waitUntil(Model::Milliseconds patience, Question isTrue)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!isTrue()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        pause(Model::Milliseconds(20));
    }
    return true;
}
