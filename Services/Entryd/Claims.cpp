#include "Claims.h"

namespace Entryd {

using Model::Milliseconds;

namespace {

/// The limit for all entries together, out of the store's few hundred writes per second.
constexpr double fleetWritesPerSecond = 200;
constexpr Milliseconds finishPollInterval{10};

} // namespace

ClaimManager::ClaimManager(const Observe::Settings &settings)
    : guard_(Http::asio::make_work_guard(context_))
    , pool_(context_)
    , batcher_(store_)
{
    store_.address_ = Observe::dialAddress(settings, settings.platform_);
    store_.timeout_ = settings.platformTimeout_;
    store_.pool_ = &pool_;
}

ClaimManager::~ClaimManager()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

void ClaimManager::start()
{
    thread_ = std::thread([this] {
        context_.run();
    });
}

void ClaimManager::waitForUnresolved(Milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (unresolvedClaims_ > 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(finishPollInterval);
}

void ClaimManager::setFleetSize(std::size_t fleetSize)
{
    const Milliseconds interval = Policy::pollPeriod(fleetSize, fleetWritesPerSecond);
    Http::asio::post(context_, [this, interval] {
        batcher_.setInterval(interval);
    });
}

Http::Task<Platform::ClaimResult> ClaimManager::claim(const CallerRequest &request)
{
    Policy::Claim claim;
    claim.state_ = Policy::ClaimState::Claimed;
    claim.requestHash_ = request.requestHash_;
    claim.holder_ = request.id_.value();
    const auto run = [](ClaimManager *manager, std::string key, Policy::Claim newClaim,
                        Model::SteadyTime deadline) -> Http::Task<Platform::ClaimResult> {
        Platform::ClaimResult result = co_await manager->batcher_.claim(key, newClaim, deadline);
        manager->writes_ = manager->store_.writes_;
        co_return result;
    };
    auto task = run(this, request.claimKey_, claim, request.deadline_);
    co_return co_await Http::asio::co_spawn(context_, std::move(task), Http::asio::use_awaitable);
}

Http::Task<void> ClaimManager::resolveClaim(std::string key, Policy::Claim claim,
                                            Platform::Revision held)
{
    co_await batcher_.settle(std::move(key), std::move(claim), held);
    writes_ = store_.writes_;
    --unresolvedClaims_;
}

void ClaimManager::resolveInBackground(const CallerRequest &request,
                                       const Platform::ClaimResult &held, Policy::Claim outcome)
{
    outcome.requestHash_ = request.requestHash_;
    outcome.holder_ = request.id_.value();
    ++unresolvedClaims_;
    auto task = resolveClaim(request.claimKey_, std::move(outcome), held.revision_);
    Http::asio::co_spawn(context_, std::move(task), Http::asio::detached);
}

} // namespace Entryd
