#include "QuotaExchange.h"

#include <algorithm>

namespace Steering {

using Http::Task;
using Model::Milliseconds;
using Model::SteadyTime;
using Observe::Event;
namespace http = Http::http;

namespace {

constexpr const char *quotaPath = "/v1/quota";
constexpr const char *messageType = "application/msgpack";
/// Several round trips between regions.
constexpr Milliseconds reportTimeout{400};
constexpr Milliseconds minReportPause{50};
/// An instance that did not answer a report is skipped for this long.
constexpr Milliseconds unreachableTime{2000};
/// Fractions below this are sent to all instances, since any may get the workspace's next request.
/// Those that are not sent are at least this high.
constexpr double freeFraction = 1.2;
/// An instance without any fraction for longer than this is cut off.
constexpr Milliseconds startingTime{2000};
/// A newly started instance that has contacted no peer shares the quotas with at least this many.
constexpr std::size_t instancesBeforeContact = 16;

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t keyOf(const Model::Workspace &workspace)
{
    return Policy::seedOf(workspace.id_.value());
}

} // namespace

QuotaExchange::QuotaExchange(Http::asio::io_context &context, const Observe::Settings &settings,
                             const PlatformState &platformState, PeerExchange &peers,
                             Observe::DecisionLog &log)
    : context_(context)
    , settings_(settings)
    , platformState_(platformState)
    , peers_(peers)
    , log_(log)
    , pool_(context)
{
}

void QuotaExchange::start()
{
    peers_.setRequestHandler(quotaPath, [this](const Http::Request &request) {
        return answerReport(request);
    });
    Http::asio::co_spawn(context_, reportLoop(), Http::asio::detached);
}

void QuotaExchange::tableChanged()
{
    limited_.clear();
    table_ = platformState_.table();
    if (!table_)
        return;
    for (const auto &workspace : table_->workspaces().all()) {
        if (workspace.isLimited())
            limited_.emplace(keyOf(workspace), &workspace);
    }
    if (limitedSince_ == Model::distantPast && !limited_.empty())
        limitedSince_ = steadyNow();
    std::erase_if(ledger_.usage_, [this](const auto &entry) {
        return !limited_.contains(entry.first);
    });
    std::erase_if(pools_, [this](const auto &entry) {
        return !limited_.contains(entry.first);
    });
    std::erase_if(gates_, [this](const auto &entry) {
        return !limited_.contains(entry.first);
    });
}

Policy::QuotaGate &QuotaExchange::gateOf(std::uint64_t workspace)
{
    const auto found = gates_.find(workspace);
    if (found != gates_.end())
        return found->second;
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return gates_.emplace(workspace, Policy::newQuotaGate(draw)).first->second;
}

bool QuotaExchange::isUpToDate(SteadyTime now) const
{
    return now - fractionsAt_ <= Policy::maxQuotaFractionAge;
}

std::size_t QuotaExchange::instancesSharing() const
{
    return peers_.hasContactedPeers() ? instances_ : std::max(instances_, instancesBeforeContact);
}

bool QuotaExchange::admit(const Model::Workspace &workspace, int rank, SteadyTime now)
{
    if (!workspace.isLimited())
        return true;
    const std::uint64_t key = keyOf(workspace);
    ++ledger_.usage_[key].total_.offered_;
    Policy::QuotaGate &gate = gateOf(key);
    if (isUpToDate(now))
        return Policy::admitByFraction(gate, workspace, rank, now);
    const bool isStarting = fractionsAt_ == Model::distantPast && now - limitedSince_ < startingTime
                            && !peers_.knowsEarlierInstance();
    return Policy::admitAlone(
        gate, workspace, instancesSharing(),
        isStarting ? Policy::AloneBecause::Starting : Policy::AloneBecause::CutOff, now);
}

void QuotaExchange::noteSent(const Model::Workspace &workspace)
{
    if (workspace.isLimited())
        ++ledger_.usage_[keyOf(workspace)].total_.sent_;
}

Milliseconds QuotaExchange::retryDelay(const Model::Workspace &workspace) const
{
    const auto gate = gates_.find(keyOf(workspace));
    return Policy::quotaRetryDelay(gate == gates_.end() ? Policy::QuotaGate() : gate->second);
}

std::size_t QuotaExchange::limitedWorkspaces() const
{
    return static_cast<std::size_t>(
        std::count_if(gates_.begin(), gates_.end(), [](const auto &entry) {
            return entry.second.fraction_ < 1;
        }));
}

std::optional<Policy::QuotaParent> QuotaExchange::parent(SteadyTime now) const
{
    return Policy::quotaParentOf(
        peers_.members(), peers_.localInstance(),
        [&](const Model::InstanceId &id) {
            const auto found = unreachableUntil_.find(id);
            return found != unreachableUntil_.end() && now < found->second;
        },
        now);
}

void QuotaExchange::becomeRoot(SteadyTime now)
{
    isRoot_ = true;
    std::erase_if(pools_, [now](const auto &entry) {
        return !Policy::mayContinue(entry.second, now);
    });
    // Earlier requests were counted by the previous root.
    for (auto &[workspace, usage] : ledger_.usage_) {
        if (!pools_.contains(workspace))
            usage.pooled_ = usage.total_;
    }
}

Task<void> QuotaExchange::reportLoop()
{
    while (true) {
        const auto startedAt = steadyNow();
        std::size_t siblings = 1;
        const bool knowsPeers = peers_.hasLivePeer() || peers_.hasContactedPeers();
        if (!limited_.empty() && knowsPeers) {
            const auto above = parent(startedAt);
            if (above) {
                isRoot_ = false;
                siblings = above->siblings_;
                co_await reportTo(above->instance_);
            } else {
                if (!isRoot_)
                    becomeRoot(startedAt);
                updateFractions(startedAt);
            }
        }
        const auto spent = std::chrono::duration_cast<Milliseconds>(steadyNow() - startedAt);
        co_await Http::sleepFor(
            std::max(minReportPause, Policy::quotaReportInterval(siblings) - spent));
    }
}

Task<void> QuotaExchange::reportTo(Model::Instance parent)
{
    const auto sentAt = steadyNow();
    Policy::QuotaReport report;
    report.sender_ = settings_.instance_;
    report.incarnation_ = peers_.incarnation();
    report.number_ = ++reportsSent_;
    report.reporters_ = Policy::countReporters(ledger_, sentAt);
    report.isWhole_ = needsWholeReport_ || lastParent_ != parent.id_;
    report.isFirst_ = !hasReported_;
    report.usage_ = Policy::usageToReport(ledger_, report.isWhole_);
    lastParent_ = parent.id_;

    const auto result
        = co_await peers_.call(parent, quotaPath, toBytes(report), reportTimeout, pool_);
    const auto answer = result.answer_ && result.answer_->result() == http::status::ok
                            ? quotaAnswerFromBytes(result.answer_->body())
                            : std::nullopt;
    if (!answer) {
        unreachableUntil_[parent.id_] = steadyNow() + unreachableTime;
        needsWholeReport_ = true;
        co_return;
    }
    needsWholeReport_ = answer->needsWhole_;
    if (!answer->needsWhole_) {
        hasReported_ = true;
        Policy::acknowledge(ledger_, report.usage_);
    }
    applyAnswer(*answer, sentAt);
}

/// The age in an answer counts from its report: the time on the way is not known.
///
/// Fractions that are older than the known ones are ignored: a parent that has just started has
/// none, and would open every quota.
void QuotaExchange::applyAnswer(const Policy::QuotaAnswer &answer, SteadyTime sentAt)
{
    const auto computedAt = sentAt - answer.age_;
    if (computedAt <= fractionsAt_)
        return;
    fractionsAt_ = computedAt;
    for (auto &[workspace, gate] : gates_)
        gate.fraction_ = std::max(gate.fraction_, freeFraction);
    for (const auto &item : answer.fractions_) {
        if (limited_.contains(item.workspace_.value()))
            gateOf(item.workspace_.value()).fraction_ = item.fraction_;
    }
}

void QuotaExchange::updateFractions(SteadyTime now)
{
    const double coverage = Policy::quotaCoverage(Policy::countReporters(ledger_, now), instances_);
    for (auto &[key, usage] : ledger_.usage_) {
        const auto workspace = limited_.find(key);
        if (workspace == limited_.end())
            continue;
        const Policy::QuotaCounts counts = usage.total_ - usage.pooled_;
        usage.pooled_ = usage.total_;
        Policy::QuotaGate &gate = gateOf(key);
        auto pool = pools_.find(key);
        if (pool == pools_.end()) {
            const bool hasPredecessor = fractionsAt_ != Model::distantPast;
            const auto fraction
                = hasPredecessor ? std::optional<double>(gate.fraction_) : std::nullopt;
            pool = pools_.emplace(key, Policy::newQuotaPool(fraction, now)).first;
        }
        gate.fraction_
            = Policy::updateQuotaPool(pool->second, *workspace->second, coverage, counts, now);
        logLimit(*workspace->second, key);
    }
    fractionsAt_ = now;
}

void QuotaExchange::logLimit(const Model::Workspace &workspace, std::uint64_t key)
{
    const double fraction = gateOf(key).fraction_;
    const bool wasOver = overQuota_.contains(key);
    const bool isOver = fraction < (wasOver ? freeFraction : 1);
    if (isOver == wasOver)
        return;
    if (isOver) {
        overQuota_.insert(key);
    } else {
        overQuota_.erase(key);
    }
    log_.line(isOver ? Event::QuotaReached : Event::QuotaFree)
        .add("workspace", workspace.id_.value())
        .add("limit_per_s", static_cast<std::int64_t>(workspace.limit_.value()))
        .add("offered_per_s", static_cast<std::int64_t>(pools_[key].offeredPerSecond_))
        .add("admitted_percent", static_cast<std::int64_t>(fraction * 100))
        .add("reporters", static_cast<std::int64_t>(ledger_.reporters_.size()));
}

std::vector<Policy::QuotaFraction>
QuotaExchange::fractionsFor(const Policy::QuotaReport &report) const
{
    std::vector<Policy::QuotaFraction> result;
    for (const auto &[key, gate] : gates_) {
        if (gate.fraction_ < freeFraction)
            result.push_back({Policy::WorkspaceKey(key), gate.fraction_});
    }
    // The sender needs the headroom of the workspaces that it serves, for when it is cut off.
    for (const auto &item : report.usage_) {
        const auto gate = gates_.find(item.workspace_.value());
        if (gate != gates_.end() && gate->second.fraction_ >= freeFraction)
            result.push_back({item.workspace_, gate->second.fraction_});
    }
    return result;
}

Http::Response QuotaExchange::answerReport(const Http::Request &request)
{
    const auto report = quotaReportFromBytes(request.body());
    if (!report)
        return Http::refusal(Model::lastReason(), request.version());
    const auto now = steadyNow();
    Policy::QuotaAnswer answer;
    answer.needsWhole_ = !Policy::addReport(ledger_, *report, now);
    if (isRoot_)
        updateFractions(now);
    answer.age_ = std::chrono::duration_cast<Milliseconds>(now - fractionsAt_);
    answer.fractions_ = fractionsFor(*report);
    return Http::textAnswer(http::status::ok, messageType, toBytes(answer), request.version());
}

} // namespace Steering
