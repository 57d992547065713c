#pragma once

#include <LibModel/LibModel.h>

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Harness {

/// A child process. It is killed when this object is destroyed or the test process ends.
class Process
{
public:
    Process(std::string name, std::vector<std::string> command, std::string logPath);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start();
    void signal(int number);
    /// Returns the exit code, 128 + the signal number, or std::nullopt if the process still runs
    /// after \a maxWait.
    std::optional<int> wait(Model::Milliseconds maxWait);
    void kill();
    bool isRunning() const { return pid_ > 0; }
    /// Returns whether the process blocks or handles the signal. A signal that arrives while the
    /// kernel still loads the program terminates it, whatever handlers the program installs.
    bool handlesSignal(int number) const;
    /// Returns the consumed processor time in seconds.
    double cpuSeconds() const;
    /// Returns the largest resident memory so far, in bytes.
    std::size_t peakMemoryBytes() const;
    const std::string &name() const { return name_; }
    std::string log() const;

private:
    std::string name_;
    std::vector<std::string> command_;
    std::string logPath_;
    pid_t pid_ = -1;
};

/// Polls \a predicate until it returns true. Returns whether it did within \a maxWait.
template <typename Predicate>
bool waitUntil(Model::Milliseconds maxWait, Predicate predicate);

/// Pauses the calling thread.
void pause(Model::Milliseconds duration);

} // namespace Harness

template <typename Predicate>
bool Harness::waitUntil(Model::Milliseconds maxWait, Predicate predicate)
{
    const auto end = std::chrono::steady_clock::now() + maxWait;
    while (!predicate()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        pause(Model::Milliseconds(20));
    }
    return true;
}
