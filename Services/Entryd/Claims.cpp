#include "Claims.h"

namespace Entryd {

using Model::Milliseconds;

namespace {

/// What all entries together may take of the store's few hundred writes a second.
constexpr double fleetWritesPerSecond = 200;
constexpr Milliseconds finishPause{10};

} // namespace

ClaimKeeper::ClaimKeeper(const Observe::Settings &settings)
    : guard_(Http::asio::make_work_guard(context_))
    , pool_(context_)
    , batcher_(store_)
{
    store_.address_ = Observe::dialAddress(settings, settings.platform_);
    store_.timeout_ = settings.platformTimeout_;
    store_.pool_ = &pool_;
}

ClaimKeeper::~ClaimKeeper()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

void ClaimKeeper::start()
{
    thread_ = std::thread([this] {
        context_.run();
    });
}

void ClaimKeeper::finish(Milliseconds patience)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (unsettled_ > 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(finishPause);
}

void ClaimKeeper::setFleetSize(std::size_t fleetSize)
{
    const Milliseconds interval = Policy::pollPeriod(fleetSize, fleetWritesPerSecond);
    Http::asio::post(context_, [this, interval] {
        batcher_.setInterval(interval);
    });
}

Http::Task<Platform::ClaimResult> ClaimKeeper::claim(const CallerRequest &request)
{
    Policy::Claim claim;
    claim.state_ = Policy::ClaimState::Claimed;
    claim.requestHash_ = request.requestHash_;
    claim.holder_ = request.id_.value();
    const auto run = [](ClaimKeeper *keeper, std::string key, Policy::Claim own,
                        Model::SteadyTime deadline) -> Http::Task<Platform::ClaimResult> {
        Platform::ClaimResult result = co_await keeper->batcher_.claim(key, own, deadline);
        keeper->writes_ = keeper->store_.writes_;
        co_return result;
    };
    auto task = run(this, request.claimKey_, claim, request.deadline_);
    co_return co_await Http::asio::co_spawn(context_, std::move(task), Http::asio::use_awaitable);
}

Http::Task<void> ClaimKeeper::settleThenCount(std::string key, Policy::Claim claim,
                                              Platform::Revision held)
{
    co_await batcher_.settle(std::move(key), std::move(claim), held);
    writes_ = store_.writes_;
    --unsettled_;
}

void ClaimKeeper::settle(const CallerRequest &request, const Platform::ClaimResult &held,
                         Policy::Claim outcome)
{
    outcome.requestHash_ = request.requestHash_;
    outcome.holder_ = request.id_.value();
    ++unsettled_;
    auto task = settleThenCount(request.claimKey_, std::move(outcome), held.revision_);
    Http::asio::co_spawn(context_, std::move(task), Http::asio::detached);
}

} // namespace Entryd
