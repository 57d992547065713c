#include "EntryThread.h"

#include <future>

namespace Entryd {

namespace {

Http::ServerLimits limitsOf(const Observe::Settings &settings)
{
    Http::ServerLimits limits;
    limits.headBytes_ = settings.headLimitBytes_;
    limits.bodyBytes_ = settings.bodyLimitBytes_;
    limits.idle_ = settings.idleTimeout_;
    limits.request_ = settings.requestTimeout_;
    return limits;
}

} // namespace

EntryThread::EntryThread(const Observe::Settings &settings, const SnapshotCell &cell,
                         Planner &planner, ClaimManager &claims, CrashGuard &guard,
                         SlotHints &hints, int number, std::function<void(std::size_t)> wakeOthers)
    : settings_(settings)
    , number_(number)
    , dispatcher_(context_, settings, cell, planner, claims, guard, hints, number,
                  std::move(wakeOthers))
    , callerServer_(context_, limitsOf(settings),
                    [this](Http::IncomingRequest request) {
                        return dispatcher_.answerCaller(std::move(request));
                    })
    , entryServer_(context_, limitsOf(settings), [this](Http::IncomingRequest request) {
        return dispatcher_.answerEntry(std::move(request));
    })
{
}

EntryThread::~EntryThread()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

bool EntryThread::start()
{
    if (!callerServer_.listen(settings_.addresses_.entry_)
        || !entryServer_.listen(settings_.addresses_.entryPeer_))
        return false;
    dispatcher_.start(number_ == 0);
    thread_ = std::thread([this] {
        const Concurrency::RcuReader reader;
        context_.run();
    });
    return true;
}

void EntryThread::wake(std::size_t serviceIndex)
{
    Http::asio::post(context_, [this, serviceIndex] {
        dispatcher_.pump(serviceIndex);
    });
}

void EntryThread::runThere(std::function<void()> action)
{
    std::promise<void> done;
    Http::asio::post(context_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void EntryThread::beginLeaving()
{
    runThere([this] {
        callerServer_.beginLeaving();
        entryServer_.beginLeaving();
    });
}

void EntryThread::stopAccepting()
{
    runThere([this] {
        callerServer_.stopAccepting();
        entryServer_.stopAccepting();
    });
}

void EntryThread::closeIdle()
{
    runThere([this] {
        callerServer_.closeIdle();
        entryServer_.closeIdle();
    });
}

std::size_t EntryThread::openSessions()
{
    std::size_t open = 0;
    runThere([&] {
        open = callerServer_.openSessions() + entryServer_.openSessions();
    });
    return open;
}

std::size_t EntryThread::requestsInProgress()
{
    std::size_t count = 0;
    runThere([&] {
        count = callerServer_.requestsInProgress() + entryServer_.requestsInProgress();
    });
    return count;
}

void EntryThread::addMetrics(Observe::MetricsText &text)
{
    const std::string labels = "thread=\"" + std::to_string(number_) + "\"";
    const auto addCount = [&](const char *name, const char *help, std::uint64_t value) {
        text.add(name, help, "counter", static_cast<double>(value), labels);
    };
    runThere([&] {
        const EntryCounters &counters = dispatcher_.counters();
        addCount("cassiacrank_entry_requests_total", "Requests taken.", counters.requests_);
        addCount("cassiacrank_entry_run_total", "Requests answered by a target.", counters.run_);
        addCount("cassiacrank_entry_not_run_total", "Requests refused, not run.", counters.notRun_);
        addCount("cassiacrank_entry_unknown_total", "Requests with an unknown outcome.",
                 counters.unknown_);
        addCount("cassiacrank_entry_retries_total", "Attempts beyond the first.",
                 counters.retries_);
        addCount("cassiacrank_entry_refused_by_targets_total",
                 "Attempts that a full or draining target refused before starting.",
                 counters.refusedByTargets_);
        addCount("cassiacrank_entry_handed_over_total", "Attempts given to other regions.",
                 counters.forwardedRequests_);
        addCount("cassiacrank_entry_taken_over_total", "Requests taken from other regions.",
                 counters.receivedForwarded_);
        addCount("cassiacrank_entry_foreign_answers_total",
                 "Answers dropped because they belonged to another request.",
                 counters.foreignAnswers_);
        addCount("cassiacrank_entry_withdrawn_total",
                 "Attempts whose target left before they were sent.", counters.withdrawn_);
        text.addSummary("cassiacrank_entry_latency_seconds", "From request to answer.",
                        counters.latency_, labels);
        text.addSummary("cassiacrank_entry_waiting_seconds", "Waiting for a slot.",
                        counters.waiting_, labels);
        text.addSummary("cassiacrank_entry_refusing_seconds",
                        "From a request's arrival to its refusal.", counters.refusing_, labels);
        text.addSummary("cassiacrank_entry_loop_lag_seconds",
                        "How late the thread looks at what has arrived.", counters.loopLag_,
                        labels);
    });
}

} // namespace Entryd
