#include "Dispatcher.h"

#include "TargetAnswer.h"

namespace Entryd {

namespace {

constexpr const char *healthPath = "/cassiacrank/health";
/// Only the head of a health answer is used.
constexpr std::size_t maxHealthAnswerBytes = std::size_t(64) * 1024;

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

bool isPausing(const TargetState &target)
{
    return Policy::isPausing(pauseOf(target), std::chrono::steady_clock::now());
}

} // namespace

Http::Task<void> Dispatcher::probeLoop()
{
    while (true) {
        const auto targets = cell_.read([](const EntrySnapshot *snapshot) {
            std::vector<std::shared_ptr<TargetState>> all;
            if (!snapshot)
                return all;
            for (const auto &service : snapshot->services_) {
                for (const auto &domain : service.targets_)
                    all.insert(all.end(), domain.begin(), domain.end());
            }
            return all;
        });
        for (const auto &target : targets) {
            // A target that pauses wants no probe either; its silence says nothing about it.
            if (!isPausing(*target))
                Http::asio::co_spawn(context_, probe(target), Http::asio::detached);
        }
        co_await Http::sleepFor(Policy::targetProbeInterval);
    }
}

Http::Task<void> Dispatcher::probe(std::shared_ptr<TargetState> target)
{
    Http::Request request(Http::http::verb::get, healthPath, 11);
    request.set(Http::http::field::host, Model::toText(target->target_.address_));
    request.set(viewOf(Http::requestIdHeader), newRequestId().value());
    Http::ExchangeOptions options;
    options.address_ = Observe::dialAddress(settings_, target->target_.address_);
    options.deadline_ = std::chrono::steady_clock::now() + Policy::probeTimeout;
    options.connectTimeout_ = Policy::probeTimeout;
    options.answerLimitBytes_ = maxHealthAnswerBytes;
    const Http::ExchangeResult result
        = co_await Http::exchange(pool_, options, request, isAnswerTo);
    if (!result.answer_) {
        noteTargetLost(*target, result.stage_ == Http::ExchangeStage::NotConnected);
        co_return;
    }
    noteTargetAnswer(*target, *result.answer_);
    guard_.noteAlive(*target, std::chrono::steady_clock::now());
    probeAfterPause(target);
}

void Dispatcher::probeAfterPause(const std::shared_ptr<TargetState> &target)
{
    if (!isPausing(*target) || target->isReturnProbePending_.exchange(true))
        return;
    Http::asio::co_spawn(context_, waitAndProbe(target), Http::asio::detached);
}

Http::Task<void> Dispatcher::waitAndProbe(std::shared_ptr<TargetState> target)
{
    // Another answer may prolong the pause meanwhile.
    while (isPausing(*target)) {
        co_await Http::sleepUntil(pauseOf(*target).until_);
    }
    target->isReturnProbePending_ = false;
    if (!target->isLeaving_) {
        co_await probe(target);
    }
}

} // namespace Entryd
