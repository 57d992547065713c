#include "LookupPage.h"

#include <LibConcurrency/LibConcurrency.h>
#include <atomic>
#include <thread>

namespace {

using Lookupd::LookupSnapshot;
using Model::Milliseconds;
using Observe::Event;
using Observe::ExitCode;

/// Time allowed for the leaving flag to reach every other look-up process.
constexpr Milliseconds leavingPropagationTime{1500};
constexpr Milliseconds reportInterval{100};
/// A report without changes is sent after this many intervals, as a heartbeat.
constexpr int routineReportIntervals = 4;

/// Publishes the snapshots of the control process to the threads that answer look-ups.
class LookupState
{
public:
    explicit LookupState(const Observe::Settings &settings)
        : settings_(settings)
    {
    }

    void onSnapshot(const cassiacrank::Snapshot &snapshot)
    {
        Peers::applySnapshot(view_, snapshot);
        version_ = view_.table_ ? view_.table_->version().value() : 0;
        auto next = std::make_unique<LookupSnapshot>();
        next->view_ = view_;
        next->candidates_ = Peers::entryCandidates(view_);
        next->localRegion_ = settings_.region_;
        next->maxEntries_ = static_cast<std::size_t>(settings_.lookupEntries_);
        next->timeToLive_ = settings_.lookupTimeToLive_;
        cell_.publish(std::move(next));
    }

    Http::Response answer(const Http::IncomingRequest &request) const
    {
        const unsigned version = request.message_.version();
        const std::string path(request.message_.target());
        return cell_.read([&](const LookupSnapshot *snapshot) {
            ++lookups_;
            if (!snapshot || !snapshot->view_.table_ || !snapshot->view_.isReady_) {
                Model::fail(Model::ResultCode::NotReady, "");
                return Http::refusal(Model::lastReason(), version);
            }
            const auto query = Lookupd::readQuery(*snapshot, path, request.remoteHost_);
            if (!query)
                return Http::refusal(Model::lastReason(), version);
            const auto text = Lookupd::answerText(*snapshot, *query);
            if (!text)
                return Http::refusal(Model::lastReason(), version);
            return Http::textAnswer(Http::http::status::ok, "application/json", *text, version);
        });
    }

    std::uint64_t version() const { return version_; }
    std::uint64_t lookups() const { return lookups_; }

private:
    const Observe::Settings &settings_;
    Peers::InstanceView view_;
    Concurrency::RcuCell<LookupSnapshot> cell_;
    std::atomic<std::uint64_t> version_{0};
    mutable std::atomic<std::uint64_t> lookups_{0};
};

/// A thread that answers look-ups from memory.
class LookupThread
{
public:
    LookupThread(const Observe::Settings &settings, const LookupState &state)
        : server_(context_, limitsOf(settings),
                  [&state](Http::IncomingRequest request) -> Http::Task<Http::Response> {
                      co_return state.answer(request);
                  })
    {
    }

    bool start(const Model::Address &address)
    {
        if (!server_.listen(address))
            return false;
        thread_ = std::thread([this] {
            const Concurrency::RcuReader reader;
            context_.run();
        });
        return true;
    }

    void beginLeaving()
    {
        Http::asio::post(context_, [this] {
            server_.beginLeaving();
        });
    }

    void stop()
    {
        Http::asio::post(context_, [this] {
            server_.stopAccepting();
            server_.closeIdle();
        });
        Http::asio::post(context_, [this] {
            context_.stop();
        });
        if (thread_.joinable())
            thread_.join();
    }

private:
    static Http::ServerLimits limitsOf(const Observe::Settings &settings)
    {
        Http::ServerLimits limits;
        limits.headBytes_ = settings.headLimitBytes_;
        limits.bodyBytes_ = 0;
        limits.idle_ = settings.idleTimeout_;
        limits.request_ = settings.requestTimeout_;
        return limits;
    }

    Http::asio::io_context context_{1};
    Http::Server server_;
    std::thread thread_;
};

/// Reports the table version in use to the control process until \a isOver is set.
void reportLoop(Peers::ControlClient &client, const LookupState &state,
                const std::atomic<bool> &isStopping, const std::atomic<bool> &isOver)
{
    cassiacrank::ProcessReport report;
    report.set_role("lookup");
    for (int intervals = 0; !isOver; ++intervals) {
        const bool isChanged
            = report.table_version() != state.version() || report.stopping() != isStopping;
        report.set_table_version(state.version());
        report.set_stopping(isStopping);
        if (isChanged || intervals % routineReportIntervals == 0)
            client.report(report);
        std::this_thread::sleep_for(reportInterval);
    }
}

std::string metricsText(const LookupState &state)
{
    Observe::MetricsText text;
    text.add("cassiacrank_lookup_requests_total", "Look-ups answered or refused.", "counter",
             static_cast<double>(state.lookups()));
    text.add("cassiacrank_lookup_table_version", "Version of the table in use.", "gauge",
             static_cast<double>(state.version()));
    return text.text();
}

ExitCode run(const Observe::Settings &settings)
{
    LookupState state(settings);
    std::vector<std::unique_ptr<LookupThread>> threads;
    for (int i = 0; i < settings.lookupThreads_; ++i) {
        threads.push_back(std::make_unique<LookupThread>(settings, state));
        if (threads.back()->start(settings.addresses_.lookup_))
            continue;
        Observe::logEvent(Event::ListenFailed, {{"reason", toText(Model::lastReason())}});
        return ExitCode::ListenFailed;
    }
    Http::AdminServer admin({[&] {
                                 return metricsText(state);
                             },
                             [&] {
                                 return "{\"table_version\":" + std::to_string(state.version())
                                        + "}\n";
                             },
                             {}});
    if (!admin.start(settings.lookupAdmin_)) {
        Observe::logEvent(Event::ListenFailed, {{"reason", toText(Model::lastReason())}});
        return ExitCode::ListenFailed;
    }
    Peers::ControlClient client(settings.controlLocal_, "lookup");
    client.start([&](const cassiacrank::Snapshot &snapshot) {
        state.onSnapshot(snapshot);
    });
    std::atomic<bool> isStopping{false};
    std::atomic<bool> isOver{false};
    std::thread reporter([&] {
        reportLoop(client, state, isStopping, isOver);
    });
    Observe::logEvent(Event::Started, {{"instance", settings.instance_.value()}});

    Observe::waitForStopSignal();
    Observe::logEvent(Event::StopRequested);
    isStopping = true;
    for (const auto &thread : threads)
        thread->beginLeaving();
    // Callers may use this process until the time to live of their last answer ends.
    std::this_thread::sleep_for(leavingPropagationTime + settings.lookupTimeToLive_);
    for (const auto &thread : threads)
        thread->stop();
    isOver = true;
    reporter.join();
    client.stop();
    Observe::logEvent(Event::Stopped);
    return ExitCode::Ok;
}

} // namespace

int main(int argc, char **argv)
{
    const auto start = Observe::startDaemon(
        argc, argv, "lookupd: answers from memory which entry a caller should use.");
    if (!start.settings_)
        return static_cast<int>(start.exitCode_);
    return static_cast<int>(run(*start.settings_));
}
