// Runs an example site under load, with an edit, a drain and a planned stop of all instances.

#include <Harness/Site.h>

#include <csignal>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <regex>

DEFINE_string(site, "koper", "koper or nakhla");
DEFINE_int32(seconds, 20, "duration of the load");

namespace {

using Harness::Site;
using Model::Milliseconds;

constexpr Milliseconds stopTimeout{40000};

struct ServiceLoad
{
    std::string service_;
    std::string callers_;
    double rate_;
    bool isPost_;
};

std::vector<ServiceLoad> loadsOf(const std::string &example)
{
    if (example == "koper") {
        return {{"gauging", "pilot-", 30, false},
                {"gauging", "dispatch-", 60, false},
                {"gauging", "partner-", 100, false},
                {"transfers", "customs-", 15, true}};
    }
    return {{"booking-desk", "family-", 30, false},
            {"booking-desk", "desk-", 60, false},
            {"booking-desk", "hotel-", 100, false},
            {"treatment-desk", "app-", 15, true}};
}

/// Returns a moderate mixed load from every region.
std::string profileFor(const Site &site, const std::string &example)
{
    const auto loads = loadsOf(example);
    std::string text;
    for (const auto &region : site.table().regions()) {
        for (const auto &load : loads) {
            text += "[stream " + load.callers_ + region.id_.value() + "]\n";
            text += "service = " + load.service_ + "\ncaller = " + load.callers_ + "\n";
            text += "callers = 4\nrate = " + std::to_string(load.rate_) + "\n";
            text += "source = " + site.callerSource(region.id_.value()) + "\n";
            if (load.isPost_)
                text += "post = yes\nkey = yes\nrepeats = 2\nbody_bytes = 100\ntimeout_ms = 5000\n";
        }
    }
    return text;
}

std::string valueIn(const std::string &text, const std::string &name)
{
    std::smatch match;
    const std::regex pattern("(^|\\s)" + name + "=([0-9.]+)");
    return std::regex_search(text, match, pattern) ? match[2].str() : "0";
}

std::string lineWith(const std::string &text, const std::string &start)
{
    const auto from = text.find(start);
    return from == std::string::npos ? "" : text.substr(from, text.find('\n', from) - from);
}

void printLine(const std::string &text)
{
    std::cout << text << std::endl;
}

/// Prints the load tool's output until it exits; starts the edit and the drain at their times.
void followLoad(Site &site, Harness::Process &load, const std::string &drained)
{
    const auto startedAt = std::chrono::steady_clock::now();
    std::size_t shown = 0;
    bool hasEdited = false;
    bool hasDrained = false;
    while (!load.wait(Milliseconds(200))) {
        const std::string log = load.log();
        std::cout << log.substr(shown) << std::flush;
        shown = log.size();
        const double passed = Model::inSeconds(std::chrono::steady_clock::now() - startedAt);
        if (!hasEdited && passed > FLAGS_seconds * 0.25) {
            hasEdited = true;
            const std::string row = "service " + site.table().services().front().id_.value();
            std::string output;
            site.tablectl({"--operator=demo", "set", row, "queue_ms=250"}, &output);
            printLine("edit: " + row + " queue_ms=250: " + output.substr(0, output.find('\n')));
        }
        if (!hasDrained && passed > FLAGS_seconds * 0.4) {
            hasDrained = true;
            std::string output;
            site.tablectl({"--operator=demo", "drain", drained}, &output);
            printLine("drain of " + drained + ": " + output.substr(0, output.find('\n')));
        }
    }
    std::cout << load.log().substr(shown) << std::flush;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Harness::SiteOptions options;
    options.example_ = FLAGS_site;
    Site site(options);
    printLine("starting the platform's stand-in, " + std::to_string(site.targets().size())
              + " targets and " + std::to_string(site.instances().size()) + " instances");
    site.start();
    printLine("all instances serve; logs are in "
              + std::filesystem::relative(site.directory()).string());

    const std::string drained = site.table().domains().front().id_.value();
    const auto load
        = site.loadtool("load", profileFor(site, FLAGS_site), FLAGS_seconds, 1, {"--progress"});
    load->start();
    followLoad(site, *load, drained);
    std::string status;
    site.tablectl({"status"}, &status);
    printLine("\n" + status);

    const auto stopAt = std::chrono::steady_clock::now();
    const bool isClean = site.stopAllInstances(stopTimeout);
    const double stopSeconds = Model::inSeconds(std::chrono::steady_clock::now() - stopAt);

    const std::string log = load->log();
    const std::string all = lineWith(log, "stream=all");
    const std::string judged = lineWith(log, "judged");
    const std::string unknown
        = std::to_string(std::stol(valueIn(all, "unknown")) + std::stol(valueIn(all, "no_answer")));
    printLine("measure                     value");
    printLine("p50 of all, ms              " + valueIn(all, "p50_ms"));
    printLine("p99 of all, ms              " + valueIn(all, "p99_ms"));
    printLine("told not run, but ran       " + valueIn(judged, "not_run_but_run"));
    printLine("planned stop of all, s      " + std::to_string(stopSeconds));
    printLine(std::string("every process exited with 0  ") + (isClean ? "yes" : "NO"));
    printLine("demo: requests=" + valueIn(all, "requests") + " answered=" + valueIn(all, "answered")
              + " not_run=" + valueIn(all, "not_run") + " unknown=" + unknown
              + " wrong=" + valueIn(all, "wrong") + " duplicated=" + valueIn(judged, "duplicated"));
    const bool isGood = isClean && valueIn(all, "wrong") == "0"
                        && valueIn(judged, "duplicated") == "0"
                        && valueIn(judged, "not_run_but_run") == "0";
    return isGood ? 0 : 1;
}
