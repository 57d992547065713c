#include "QuotaFleet.h"

#include <algorithm>

namespace Fleets {

using Model::Milliseconds;
using Model::SteadyTime;

namespace {

constexpr std::size_t domains = 6;
constexpr Milliseconds stepTime{10};
constexpr Milliseconds delayInRegion{1};
constexpr Milliseconds delayBetweenRegions{55};
constexpr Milliseconds reportTimeout{400};
constexpr Milliseconds heartbeatInterval{400};
constexpr Milliseconds unreachableTime{2000};
constexpr Milliseconds startingTime{2000};
/// Time from the end of a process to its next start.
constexpr Milliseconds downTime{500};
/// Time after a start in which an instance knows no peer.
constexpr Milliseconds settleTime{500};
/// The same where others run.
constexpr Milliseconds timeToFirstPeer{150};

} // namespace

QuotaFleet::QuotaFleet(std::size_t perDomain, const Model::Workspace &workspace, std::uint64_t seed)
    : workspace_(workspace)
    , key_(Policy::seedOf(workspace.id_.value()))
    , random_(seed)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < perDomain * domains; ++i) {
        Instance instance;
        const std::size_t domain = i % domains;
        instance.identity_.id_ = Model::InstanceId("i" + std::to_string(i));
        instance.identity_.domain_ = Model::FailureDomainId(std::to_string(domain));
        instance.identity_.region_ = Model::RegionId(std::to_string(domain / 2));
        instance.gate_ = Policy::newQuotaGate(std::uniform_real_distribution<double>()(random_));
        instance.reportAt_ = now_ + Milliseconds(random_() % 200);
        weights.push_back(std::exponential_distribution<double>(1)(random_));
        instances_.push_back(std::move(instance));
    }
    instanceOfRequest_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    for (const auto &instance : instances_) {
        Policy::Member &member = members_[instance.identity_.id_];
        member.instance_ = instance.identity_;
        member.heartbeatRecord_.id_ = instance.identity_.id_;
    }
}

bool QuotaFleet::areConnected(std::size_t a, std::size_t b) const
{
    return (a < cutOff_) == (b < cutOff_) && (a >= cutOff_ || a == b) && !instances_[a].isDead_
           && !instances_[b].isDead_;
}

Milliseconds QuotaFleet::delayBetween(std::size_t a, std::size_t b) const
{
    const bool isSameRegion = instances_[a].identity_.region_ == instances_[b].identity_.region_;
    return isSameRegion ? delayInRegion : delayBetweenRegions;
}

void QuotaFleet::killRoot()
{
    for (auto &instance : instances_) {
        if (instance.isRoot_)
            instance.isDead_ = true;
    }
}

void QuotaFleet::run(double seconds, const Demand &demand)
{
    const auto end = now_ + Milliseconds(static_cast<long long>(seconds * 1000));
    while (now_ < end)
        step(demand);
}

void QuotaFleet::step(const Demand &demand)
{
    now_ += stepTime;
    for (const auto &instance : instances_) {
        Policy::Member &member = members_[instance.identity_.id_];
        member.heartbeatAt_ = now_;
        const auto running = now_ - instance.startedAt_;
        member.heartbeatRecord_.heartbeat_
            = running.count() < 0 ? 0 : static_cast<std::uint64_t>(running / heartbeatInterval);
    }
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message &message) {
        if (message.arrivesAt_ > now_)
            return false;
        due.push_back(message);
        return true;
    });
    for (auto &message : due)
        deliver(std::move(message));
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (!instances_[i].isDead_ && now_ >= instances_[i].reportAt_)
            reportDue(i);
    }
    std::poisson_distribution<int> count(demand(seconds()) * Model::inSeconds(stepTime));
    for (int n = count(random_); n > 0; --n) {
        Instance &instance = instances_[instanceOfRequest_(random_)];
        if (!instance.isDead_ && now_ >= instance.startedAt_)
            arrive(instance);
    }
}

Policy::AloneBecause QuotaFleet::whyAlone(const Instance &instance) const
{
    const bool knowsEarlierInstance
        = hasEarlierInstances_ && now_ - instance.startedAt_ > timeToFirstPeer;
    const bool isStarting = instance.fractionAt_ == Model::distantPast
                            && now_ - instance.startedAt_ < startingTime && !knowsEarlierInstance;
    return isStarting ? Policy::AloneBecause::Starting : Policy::AloneBecause::CutOff;
}

void QuotaFleet::restart(std::size_t count)
{
    hasEarlierInstances_ = count < instances_.size();
    for (std::size_t i = instances_.size() - count; i < instances_.size(); ++i) {
        Instance &instance = instances_[i];
        Instance fresh;
        fresh.identity_ = instance.identity_;
        fresh.incarnation_ = instance.incarnation_ + Model::Incarnation(1);
        fresh.gate_ = Policy::newQuotaGate(std::uniform_real_distribution<double>()(random_));
        fresh.startedAt_ = now_ + downTime;
        fresh.reportAt_ = fresh.startedAt_ + (hasEarlierInstances_ ? timeToFirstPeer : settleTime)
                          + Milliseconds(random_() % 200);
        instance = std::move(fresh);
    }
    std::erase_if(messages_, [&](const Message &message) {
        const std::size_t first = instances_.size() - count;
        return message.from_ >= first || message.to_ >= first;
    });
}

void QuotaFleet::arrive(Instance &instance)
{
    const int rank = rankOfRequest_(random_);
    auto &usage = instance.ledger_.usage_[key_];
    ++usage.total_.offered_;
    const bool isUpToDate = now_ - instance.fractionAt_ <= Policy::maxQuotaFractionAge;
    const bool isAdmitted = isUpToDate
                                ? Policy::admitByFraction(instance.gate_, workspace_, rank, now_)
                                : Policy::admitAlone(instance.gate_, workspace_, instances_.size(),
                                                     whyAlone(instance), now_);
    usage.total_.sent_ += isAdmitted ? 1 : 0;
    arrivals_.push_back({now_, rank, isAdmitted});
}

void QuotaFleet::updateRoot(Instance &instance)
{
    auto &usage = instance.ledger_.usage_[key_];
    const double coverage
        = Policy::quotaCoverage(Policy::countReporters(instance.ledger_, now_), instances_.size());
    const auto counts = usage.total_ - usage.pooled_;
    usage.pooled_ = usage.total_;
    instance.gate_.fraction_
        = Policy::updateQuotaPool(instance.pool_, workspace_, coverage, counts, now_);
    instance.fractionAt_ = now_;
}

void QuotaFleet::reportDue(std::size_t index)
{
    Instance &instance = instances_[index];
    const auto parent = Policy::quotaParentOf(
        members_, instance.identity_,
        [&](const Model::InstanceId &id) {
            const auto until = instance.unreachableUntil_.find(id);
            return until != instance.unreachableUntil_.end() && now_ < until->second;
        },
        now_);
    instance.reportAt_ = now_ + Policy::quotaReportInterval(parent ? parent->siblings_ : 1);
    if (!parent) {
        if (!instance.isRoot_ && !Policy::mayContinue(instance.pool_, now_)) {
            const bool hasPredecessor = instance.fractionAt_ != Model::distantPast;
            const auto fraction
                = hasPredecessor ? std::optional<double>(instance.gate_.fraction_) : std::nullopt;
            instance.pool_ = Policy::newQuotaPool(fraction, now_);
            auto &usage = instance.ledger_.usage_[key_];
            usage.pooled_ = usage.total_;
        }
        instance.isRoot_ = true;
        updateRoot(instance);
        return;
    }
    instance.isRoot_ = false;
    const std::size_t to = std::stoul(parent->instance_.id_.value().substr(1));
    if (!areConnected(index, to)) {
        instance.unreachableUntil_[parent->instance_.id_] = now_ + reportTimeout + unreachableTime;
        instance.reportAt_ = now_ + reportTimeout;
        instance.needsWhole_ = true;
        return;
    }
    Message message;
    message.from_ = index;
    message.to_ = to;
    message.arrivesAt_ = now_ + delayBetween(index, to);
    message.sentAt_ = now_;
    message.report_.sender_ = instance.identity_.id_;
    message.report_.incarnation_ = instance.incarnation_;
    message.report_.number_ = ++instance.reportsSent_;
    message.report_.isFirst_ = !instance.hasReported_;
    message.report_.isWhole_ = instance.needsWhole_ || instance.parent_ != parent->instance_.id_;
    message.report_.reporters_ = Policy::countReporters(instance.ledger_, now_);
    message.report_.usage_ = Policy::usageToReport(instance.ledger_, message.report_.isWhole_);
    instance.parent_ = parent->instance_.id_;
    messages_.push_back(std::move(message));
}

void QuotaFleet::deliver(Message message)
{
    Instance &receiver = instances_[message.to_];
    if (!areConnected(message.from_, message.to_))
        return;
    if (!message.answer_) {
        Policy::QuotaAnswer answer;
        answer.needsWhole_ = !Policy::addReport(receiver.ledger_, message.report_, now_);
        if (receiver.isRoot_)
            updateRoot(receiver);
        answer.age_ = std::chrono::duration_cast<Milliseconds>(now_ - receiver.fractionAt_);
        answer.fractions_.push_back({Policy::WorkspaceKey(key_), receiver.gate_.fraction_});
        message.answer_ = answer;
        std::swap(message.from_, message.to_);
        message.arrivesAt_ = now_ + delayBetween(message.from_, message.to_);
        messages_.push_back(std::move(message));
        return;
    }
    receiver.needsWhole_ = message.answer_->needsWhole_;
    if (!receiver.needsWhole_) {
        receiver.hasReported_ = true;
        Policy::acknowledge(receiver.ledger_, message.report_.usage_);
    }
    const auto computedAt = message.sentAt_ - message.answer_->age_;
    if (computedAt <= receiver.fractionAt_)
        return;
    receiver.fractionAt_ = computedAt;
    receiver.gate_.fraction_ = message.answer_->fractions_.front().fraction_;
}

std::size_t QuotaFleet::mostAdmittedIn(double seconds) const
{
    const Milliseconds window(static_cast<long long>(seconds * 1000));
    std::deque<SteadyTime> recent;
    std::size_t most = 0;
    for (const auto &arrival : arrivals_) {
        if (!arrival.isAdmitted_)
            continue;
        recent.push_back(arrival.at_);
        while (recent.front() + window < arrival.at_)
            recent.pop_front();
        most = std::max(most, recent.size());
    }
    return most;
}

double QuotaFleet::admittedFraction(double from, std::optional<int> rank) const
{
    std::size_t admitted = 0;
    std::size_t all = 0;
    for (const auto &arrival : arrivals_) {
        const bool isCounted = !rank || arrival.rank_ == *rank;
        if (!isCounted || Model::inSeconds(arrival.at_ - start) < from)
            continue;
        ++all;
        admitted += arrival.isAdmitted_ ? 1 : 0;
    }
    return all == 0 ? 1 : static_cast<double>(admitted) / static_cast<double>(all);
}

} // namespace Fleets
