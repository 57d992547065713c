// Prints the trace of one request from the output of several instances: tracelog ID FILE...

#include <LibObserve/LibObserve.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

namespace {

enum ExitCode { Found = 0, NotFound = 1, BadUsage = 2, Unreadable = 3 };

bool readFile(const std::string &path, std::vector<Observe::LogLine> &lines)
{
    std::ifstream file(path);
    if (!file)
        return false;
    const std::string source = std::filesystem::path(path).stem().string();
    for (std::string text; std::getline(file, text);) {
        if (auto line = Observe::logLineFromText(source, text))
            lines.push_back(std::move(*line));
    }
    return true;
}

/// Prints a line of the trace with its time since the first line, corrected for clock offsets.
void print(const Observe::LogLine &line, Model::Milliseconds begin)
{
    const auto since = static_cast<long long>((line.at_ - begin).count());
    std::printf("%+7lld ms  %-20s %s", since, line.source_.c_str(), line.name_.c_str());
    for (const auto &[name, value] : line.fields_) {
        if (name != "t" && name != "event" && name != "name")
            std::printf(" %s=%s", name.c_str(), value.c_str());
    }
    std::printf("\n");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Prints the trace of one request: tracelog ID FILE...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 3) {
        std::cerr << "usage: tracelog ID FILE...\n";
        return BadUsage;
    }
    std::vector<Observe::LogLine> lines;
    for (int i = 2; i < argc; ++i) {
        if (!readFile(argv[i], lines)) {
            std::cerr << argv[i] << " cannot be read\n";
            return Unreadable;
        }
    }
    const auto trace = Observe::requestTraceOf(argv[1], std::move(lines));
    if (trace.empty()) {
        std::cerr << "no line names " << argv[1]
                  << ": its log was not given, the line was suppressed (see LinesLeftOut), or the "
                     "process was killed\n";
        return NotFound;
    }
    for (const auto &line : trace)
        print(line, trace.front().at_);
    return Found;
}
