#include "TargetLimit.h"

#include "Admission.h"
#include "HomePlacement.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Policy {

using Model::RequestsPerSecond;
using Model::SteadyTime;

namespace {

/// Requests of a limit's retention that are waited for after limitRetention.
constexpr double retainedRequests = 10;

/// Holders of a limit beyond one for each request per second.
constexpr std::size_t extraHolders = 2;

Model::Milliseconds retentionOf(RequestsPerSecond rate)
{
    const double seconds = retainedRequests / rate.value();
    return limitRetention + Model::Milliseconds(static_cast<long long>(seconds * 1000));
}

std::set<Model::RegionId> regionsWithEntries(const Members &members, SteadyTime now)
{
    std::set<Model::RegionId> regions;
    for (const auto &[id, member] : members) {
        const auto &region = member.instance_.region_;
        if (!regions.contains(region) && entriesIn(members, region, now) > 0)
            regions.insert(region);
    }
    return regions;
}

} // namespace

bool learnLimit(TargetLimit &limit, std::optional<RequestsPerSecond> rate, SteadyTime sentAt,
                SteadyTime reportedAt, SteadyTime now)
{
    const bool isKnown = limit.rate_.has_value();
    if (reportedAt < limit.reportedAt_ || (!rate && !isKnown))
        return false;
    if (!rate && sentAt < limit.reportedAt_)
        return false;
    limit.reportedAt_ = reportedAt;
    if (!rate) {
        limit.endedAt_ = reportedAt;
        limit.rate_.reset();
        return true;
    }
    limit.rate_ = std::max(*rate, minTargetLimit);
    if (isKnown)
        return false;
    limit.part_ = RequestsPerSecond(0);
    limit.usedAt_ = now;
    return true;
}

bool forgetOldLimit(TargetLimit &limit, SteadyTime now)
{
    if (!limit.rate_ || now - limit.reportedAt_ < retentionOf(*limit.rate_))
        return false;
    limit.rate_.reset();
    return true;
}

bool shouldSendLimit(const TargetLimit &limit, SteadyTime now)
{
    const bool isReported = limit.rate_ || limit.endedAt_ == limit.reportedAt_;
    return isReported && now - limit.reportedAt_ <= limitReportLifetime;
}

std::size_t limitHolders(RequestsPerSecond limit, std::size_t instances)
{
    const double whole = std::floor(std::max(0.0, limit.value()));
    if (whole >= static_cast<double>(instances))
        return std::max<std::size_t>(1, instances);
    return std::clamp<std::size_t>(static_cast<std::size_t>(whole) + extraHolders, 1,
                                   std::max<std::size_t>(1, instances));
}

RequestsPerSecond limitPart(RequestsPerSecond limit, std::uint64_t target, std::uint64_t own,
                            const std::vector<std::uint64_t> &peers, std::size_t instances)
{
    const std::size_t holders = limitHolders(limit, std::max(instances, peers.size() + 1));
    const auto rank = std::count_if(peers.begin(), peers.end(), [&](std::uint64_t peer) {
        return ownerScore(target, peer) > ownerScore(target, own);
    });
    if (static_cast<std::size_t>(rank) >= holders)
        return RequestsPerSecond(0);
    return limitPerHolder(limit, holders);
}

RequestsPerSecond limitPart(RequestsPerSecond limit, std::uint64_t target,
                            const Model::RegionId &region, const Model::Instance &own,
                            const Members &members, SteadyTime now)
{
    const std::size_t inRegion = entriesIn(members, region, now);
    if (inRegion > 0 && region != own.region_)
        return RequestsPerSecond(0);
    std::vector<std::uint64_t> peers;
    for (const auto &[id, member] : members) {
        if (id != own.id_ && member.instance_.region_ == own.region_ && isAlive(member, now))
            peers.push_back(seedOf(id.value()));
    }
    const std::uint64_t ownSeed = seedOf(own.id_.value());
    if (inRegion > 0)
        return limitPart(limit, target, ownSeed, peers, inRegion);
    const auto regions = regionsWithEntries(members, now);
    const bool isFirst = std::none_of(peers.begin(), peers.end(), [&](std::uint64_t peer) {
        return ownerScore(target, peer) > ownerScore(target, ownSeed);
    });
    return isFirst ? limitPerHolder(limit, regions.size()) : RequestsPerSecond(0);
}

std::optional<Model::Microseconds> limitInterval(RequestsPerSecond part)
{
    if (part.value() <= 0)
        return std::nullopt;
    return Model::Microseconds(static_cast<long long>(1e6 / part.value()));
}

bool isWithinLimit(const TargetLimit &limit, SteadyTime now)
{
    if (!limit.rate_)
        return true;
    const auto interval = limitInterval(limit.part_);
    return interval && now - limit.usedAt_ >= *interval;
}

} // namespace Policy
