#include "EntryThread.h"

#include <iostream>

namespace {

using Model::Milliseconds;
using Observe::Event;
using Observe::ExitCode;

/// The maximum time for the leaving marker of this entry to reach every look-up.
constexpr Milliseconds markPropagationTime{1500};
/// How long idle connections may deliver a last request after the entry stops accepting.
constexpr Milliseconds idleGrace{500};
constexpr Milliseconds stopPollInterval{20};
/// The least time before requests in progress are cut off; longer than the longest usual deadline.
constexpr Milliseconds maxFinishTime{20000};
constexpr const char *quarantinesPath = "/quarantines";

/// The entryd process: its threads, planner and claims.
class EntryDaemon
{
public:
    explicit EntryDaemon(const Observe::Settings &settings)
        : settings_(settings)
        , planner_(settings, cell_, guard_)
        , claims_(settings)
        , hints_(settings, cell_,
                 [this](std::size_t service) {
                     wakeOthers(noThread, service);
                 })
        , admin_({[this] {
                      return metricsText();
                  },
                  [this] {
                      return planner_.statusText();
                  },
                  [this](const std::string &path) -> std::optional<std::string> {
                      if (path != quarantinesPath)
                          return std::nullopt;
                      return guard_.listText();
                  },
                  [this](const std::string &path) {
                      return releaseQuarantine(path);
                  }})
    {
        for (int i = 0; i < settings.entryThreads_; ++i) {
            threads_.push_back(
                std::make_unique<Entryd::EntryThread>(settings, cell_, planner_, claims_, guard_,
                                                      hints_, i, [this, i](std::size_t service) {
                                                          wakeOthers(i, service);
                                                      }));
        }
    }

    bool start()
    {
        for (const auto &thread : threads_) {
            if (!thread->start())
                return false;
        }
        if (!admin_.start(settings_.entryAdmin_))
            return false;
        if (!hints_.start())
            return false;
        claims_.start();
        planner_.start();
        return true;
    }

    /// The order matters: first look-ups stop naming this entry, then it accepts no new requests,
    /// then the requests in progress end.
    void stop()
    {
        planner_.beginStopping();
        for (const auto &thread : threads_)
            thread->beginLeaving();
        std::this_thread::sleep_for(markPropagationTime + settings_.lookupTimeToLive_);
        for (const auto &thread : threads_)
            thread->stopAccepting();
        std::this_thread::sleep_for(idleGrace);
        waitForRequests();
        for (const auto &thread : threads_)
            thread->closeIdle();
        waitForRequests();
        claims_.waitForUnresolved(maxFinishTime);
        hints_.stop();
        planner_.stop();
    }

private:
    static constexpr int noThread = -1;

    void wakeOthers(int from, std::size_t service)
    {
        if (planner_.waiting() == 0)
            return;
        for (int i = 0; i < static_cast<int>(threads_.size()); ++i) {
            if (i != from)
                threads_[static_cast<std::size_t>(i)]->wake(service);
        }
    }

    void waitForRequests()
    {
        const auto end = std::chrono::steady_clock::now() + maxFinishTime;
        for (const auto &thread : threads_) {
            while (thread->requestsInProgress() > 0 && std::chrono::steady_clock::now() < end)
                std::this_thread::sleep_for(stopPollInterval);
        }
    }

    /// DELETE of /quarantines/PRINT releases one quarantine, locally and, through the control
    /// processes, on all instances.
    bool releaseQuarantine(const std::string &path)
    {
        const std::string start = std::string(quarantinesPath) + "/";
        if (!path.starts_with(start)) {
            Model::fail(Model::ResultCode::MalformedRequest, path);
            return false;
        }
        const auto fingerprint
            = Policy::fingerprintFromText(std::string_view(path).substr(start.size()));
        return fingerprint && guard_.releaseQuarantine(*fingerprint);
    }

    std::string metricsText()
    {
        Observe::MetricsText text;
        for (const auto &thread : threads_)
            thread->addMetrics(text);
        text.add("cassiacrank_entry_table_version", "Version of the table in use.", "gauge",
                 static_cast<double>(planner_.tableVersion()));
        text.add("cassiacrank_entry_targets_ended_total",
                 "Targets that ended while requests were there.", "counter",
                 static_cast<double>(guard_.crashedTargets()));
        text.add("cassiacrank_entry_kept_from_targets_total",
                 "Requests refused since targets ended under them.", "counter",
                 static_cast<double>(guard_.refusedRequests()));
        text.add("cassiacrank_entry_quarantined", "Requests in quarantine.", "gauge",
                 static_cast<double>(guard_.quarantined()));
        text.add("cassiacrank_entry_store_writes_total", "Commits of claims.", "counter",
                 static_cast<double>(claims_.storeWrites()));
        return text.text();
    }

    const Observe::Settings &settings_;
    Entryd::SnapshotCell cell_;
    Entryd::CrashGuard guard_;
    Entryd::Planner planner_;
    Entryd::ClaimManager claims_;
    Entryd::SlotHints hints_;
    std::vector<std::unique_ptr<Entryd::EntryThread>> threads_;
    Http::AdminServer admin_;
};

ExitCode run(const Observe::Settings &settings)
{
    EntryDaemon daemon(settings);
    if (!daemon.start()) {
        Observe::logEvent(Event::ListenFailed, {{"reason", toText(Model::lastReason())}});
        return ExitCode::ListenFailed;
    }
    Observe::logEvent(Event::Started, {{"instance", settings.instance_.value()}});
    Observe::waitForStopSignal();
    Observe::logEvent(Event::StopRequested);
    daemon.stop();
    Observe::logEvent(Event::Stopped);
    return ExitCode::Ok;
}

} // namespace

int main(int argc, char **argv)
{
    const auto start = Observe::startDaemon(
        argc, argv,
        "entryd: takes callers' requests, admits them, forwards each to a target and answers.");
    if (!start.settings_)
        return static_cast<int>(start.exitCode_);
    return static_cast<int>(run(*start.settings_));
}
