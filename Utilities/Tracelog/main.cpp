// Tells the story of one request from the output of several instances: tracelog ID FILE...

#include <LibObserve/LibObserve.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

namespace {

enum ExitCode { Found = 0, NotFound = 1, BadUse = 2, Unreadable = 3 };

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

/// One line of the story: its time from the first line on, with the clocks put right.
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
    gflags::SetUsageMessage("Tells the story of one request: tracelog ID FILE...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 3) {
        std::cerr << "usage: tracelog ID FILE...\n";
        return BadUse;
    }
    std::vector<Observe::LogLine> lines;
    for (int i = 2; i < argc; ++i) {
        if (!readFile(argv[i], lines)) {
            std::cerr << argv[i] << " cannot be read\n";
            return Unreadable;
        }
    }
    const auto story = Observe::storyOf(argv[1], std::move(lines));
    if (story.empty()) {
        std::cerr << "no line names " << argv[1]
                  << ": not read here, left out (see LinesLeftOut), or the process was killed\n";
        return NotFound;
    }
    for (const auto &line : story)
        print(line, story.front().at_);
    return Found;
}
