#include "StorePoller.h"

namespace Controld {

using Http::Task;
using Model::Milliseconds;

namespace {

/// Share of the read budget for the table, which must apply soon; the rest changes slowly.
constexpr double tableShare = 0.8;
constexpr double listShare = 0.1;
constexpr const char *clientBlocksObject = "client-blocks";
/// Poll interval until the instance is ready: it cannot serve before it has the table.
constexpr Milliseconds startPollInterval{100};

} // namespace

StorePoller::StorePoller(Http::asio::io_context &context, const Observe::Settings &settings,
                         ControlState &state)
    : settings_(settings)
    , state_(state)
    , context_(context)
    , pool_(context)
    , random_(Policy::rendezvousScore(settings.instance_.value(), "poll"))
{
    store_.address_ = Observe::dialAddress(settings, settings.platform_);
    store_.timeout_ = settings.platformTimeout_;
    store_.pool_ = &pool_;
}

void StorePoller::start()
{
    Http::asio::co_spawn(context_, pollTable(), Http::asio::detached);
    Http::asio::co_spawn(context_, pollList(), Http::asio::detached);
}

Milliseconds StorePoller::pollInterval(double shareOfBudget)
{
    const double budget = settings_.fleetStoreReadsPerSecond_ * shareOfBudget;
    const Milliseconds period = Policy::pollPeriod(state_.fleetSize(), budget);
    // Jitter of +/-25 %, so that instances that started together do not poll together.
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    const double spread = 0.75 + 0.5 * static_cast<double>(random_ >> 40) / (1 << 24);
    return Milliseconds(static_cast<long long>(static_cast<double>(period.count()) * spread));
}

Task<void> StorePoller::pollTable()
{
    while (true) {
        const auto rows
            = co_await Platform::readRows(store_, Platform::tablePrefix, state_.readRevision());
        reads_ = store_.reads_;
        if (rows) {
            state_.onStoreRows(*rows);
        } else {
            state_.onStoreFailure();
        }
        const Milliseconds interval
            = state_.isReady() ? pollInterval(tableShare) : startPollInterval;
        co_await Http::sleepFor(interval);
    }
}

Task<void> StorePoller::pollList()
{
    while (true) {
        auto instances = co_await Platform::readInstances(store_);
        if (instances)
            state_.onInstances(std::move(*instances));
        const auto blocks = co_await Platform::readObject(store_, clientBlocksObject);
        if (blocks)
            state_.onClientBlocks(*blocks);
        const Milliseconds interval
            = state_.isReady() ? 2 * pollInterval(listShare) : startPollInterval;
        co_await Http::sleepFor(interval);
    }
}

} // namespace Controld
