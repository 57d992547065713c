#include "Process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Harness {

Process::Process(std::string name, std::vector<std::string> command, std::string logPath)
    : name_(std::move(name))
    , command_(std::move(command))
    , logPath_(std::move(logPath))
{
}

Process::~Process()
{
    kill();
}

void Process::start()
{
    std::vector<char *> arguments;
    for (auto &argument : command_)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child != 0) {
        pid_ = child;
        return;
    }
    // The child makes only async-signal-safe calls: the parent can have several threads.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    const int file = open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    // Without this, a stand-in's sockets stay open in the child after the stand-in closes them.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments.data());
    _exit(127);
}

void Process::signal(int number)
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

std::optional<int> Process::wait(Model::Milliseconds maxWait)
{
    if (pid_ <= 0)
        return 0;
    int status = 0;
    const bool hasEnded = waitUntil(maxWait, [&] {
        return waitpid(pid_, &status, WNOHANG) == pid_;
    });
    if (!hasEnded)
        return std::nullopt;
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void Process::kill()
{
    if (pid_ <= 0)
        return;
    signal(SIGKILL);
    signal(SIGCONT);
    wait(Model::Milliseconds(5000));
}

bool Process::handlesSignal(int number) const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string name, value; file >> name;) {
        if (name != "SigBlk:" && name != "SigCgt:")
            continue;
        constexpr int hexadecimal = 16;
        file >> value;
        if ((std::stoull(value, nullptr, hexadecimal) >> (number - 1)) % 2 == 1)
            return true;
    }
    return false;
}

double Process::cpuSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream rest(text.substr(text.rfind(')') + 1));
    std::vector<std::string> words;
    for (std::string word; rest >> word;)
        words.push_back(word);
    constexpr std::size_t userTime = 11;
    constexpr std::size_t systemTime = 12;
    if (words.size() <= systemTime)
        return 0;
    const double ticks = std::stod(words[userTime]) + std::stod(words[systemTime]);
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t Process::peakMemoryBytes() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size())) * 1024;
    }
    return 0;
}

std::string Process::log() const
{
    std::ifstream file(logPath_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void pause(Model::Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace Harness
