#include "Shortage.h"

#include <algorithm>
#include <cmath>

namespace Policy {

using Model::Milliseconds;
using Model::SteadyTime;

namespace {

/// Fractions add up to whole requests only within the precision of floating-point numbers.
constexpr double precision = 1e-9;
/// Halvings of the interval in which a level is sought; the rest is below a thousandth of a
/// request.
constexpr int bisectionSteps = 30;

double sumOf(const ByRank &values)
{
    double sum = 0;
    for (const double value : values)
        sum += value;
    return sum;
}

ByRank arrivalsOf(const WorkspaceDemand &workspace)
{
    ByRank arrivals{};
    for (std::size_t i = 0; i < rankCount; ++i)
        arrivals[i] = workspace.ranks_[i].arrivals_;
    return arrivals;
}

/// Returns the largest level up to \a highest at which \a taken does not exceed \a available.
template <typename Taken>
double levelFor(double available, double highest, Taken taken)
{
    if (taken(highest) <= available)
        return highest;
    double low = 0;
    double high = highest;
    for (int i = 0; i < bisectionSteps; ++i) {
        const double middle = (low + high) / 2;
        (taken(middle) <= available ? low : high) = middle;
    }
    return low;
}

/// One workspace, or the group of small ones, while the instance's admitted rate is divided.
struct Claim
{
    WorkspaceDemand *workspace_ = nullptr;
    double members_ = 1;
    ByRank demand_{};
    double total_ = 0;
    ByRank given_{};
};

/// Gives each workspace the least share of each rank, and all up to its equal share of \a available
/// to its most urgent requests. Returns what is left.
double giveEqualShares(std::vector<Claim> &claims, double available, double leastShare)
{
    double members = 0;
    for (const auto &claim : claims)
        members += claim.members_;
    const auto partOf = [&](const Claim &claim, double level) {
        return std::max(leastShare * claim.total_, std::min(claim.total_, claim.members_ * level));
    };
    const double level
        = levelFor(available, available / std::max(1.0, members), [&](double candidate) {
              double taken = 0;
              for (const auto &claim : claims)
                  taken += partOf(claim, candidate);
              return taken;
          });
    for (auto &claim : claims) {
        double left = partOf(claim, level);
        available -= left;
        left -= leastShare * claim.total_;
        for (std::size_t i = 0; i < rankCount; ++i) {
            const double least = leastShare * claim.demand_[i];
            const double more = std::clamp(left, 0.0, claim.demand_[i] - least);
            claim.given_[i] = least + more;
            left -= more;
        }
    }
    return available;
}

/// Gives \a available to the requests that are not admitted yet, the most urgent rank first, and
/// within a rank equally to the workspaces.
void giveByRank(std::vector<Claim> &claims, double available)
{
    for (std::size_t i = 0; i < rankCount && available > precision; ++i) {
        double largest = 0;
        for (const auto &claim : claims)
            largest = std::max(largest, claim.demand_[i] / claim.members_);
        const auto moreOf = [i](const Claim &claim, double level) {
            const double upTo = std::min(claim.demand_[i], claim.members_ * level);
            return std::max(0.0, upTo - claim.given_[i]);
        };
        const double level = levelFor(available, largest, [&](double candidate) {
            double taken = 0;
            for (const auto &claim : claims)
                taken += moreOf(claim, candidate);
            return taken;
        });
        for (auto &claim : claims) {
            const double more = moreOf(claim, level);
            claim.given_[i] += more;
            available -= more;
        }
    }
}

/// Divides what this instance admits among its workspaces and ranks.
void updateFractions(Shortage &shortage, double leastShare)
{
    std::vector<Claim> claims(1);
    claims.reserve(shortage.workspaces_.size() + 1);
    claims[0].workspace_ = &shortage.others_;
    claims[0].demand_ = arrivalsOf(shortage.others_);
    claims[0].members_ = 0;
    for (auto &[id, workspace] : shortage.workspaces_) {
        const ByRank arrivals = arrivalsOf(workspace);
        if (workspace.isSmall_) {
            for (std::size_t i = 0; i < rankCount; ++i)
                claims[0].demand_[i] += arrivals[i];
            claims[0].members_ += 1;
        } else {
            claims.push_back({&workspace, 1, arrivals, sumOf(arrivals), {}});
        }
    }
    claims[0].members_ = std::max(1.0, claims[0].members_);
    claims[0].total_ = sumOf(claims[0].demand_);

    double available = 0;
    for (std::size_t i = 0; i < rankCount; ++i)
        available += shortage.fractions_[i] * shortage.ownArrivals_[i];
    available *= shortage.correction_;
    available = giveEqualShares(claims, available, leastShare);
    giveByRank(claims, available);
    for (auto &claim : claims) {
        for (std::size_t i = 0; i < rankCount; ++i) {
            claim.workspace_->ranks_[i].fraction_
                = claim.demand_[i] > precision ? std::min(1.0, claim.given_[i] / claim.demand_[i])
                                               : shortage.fractions_[i];
        }
    }
}

double smoothingWeight(double seconds)
{
    return 1 - std::exp(-seconds / Model::inSeconds(demandSmoothing));
}

void updateRates(WorkspaceDemand &workspace, Shortage &shortage, double seconds)
{
    const double weight = smoothingWeight(seconds);
    for (std::size_t i = 0; i < rankCount; ++i) {
        RankDemand &rank = workspace.ranks_[i];
        const double timely = (rank.arrived_ - rank.late_) / seconds;
        shortage.ownTarget_ += weight * shortage.fractions_[i] * timely;
        rank.arrivals_ += weight * (rank.arrived_ / seconds - rank.arrivals_);
        rank.admitted_ += weight * (rank.admittedCount_ / seconds - rank.admitted_);
        rank.arrived_ = 0;
        rank.late_ = 0;
        rank.admittedCount_ = 0;
        shortage.ownArrivals_[i] += rank.arrivals_;
        shortage.ownAdmitted_[i] += rank.admitted_;
    }
}

void updateAllRates(Shortage &shortage, double seconds)
{
    shortage.ownArrivals_ = {};
    shortage.ownAdmitted_ = {};
    shortage.ownTarget_ *= 1 - smoothingWeight(seconds);
    updateRates(shortage.others_, shortage, seconds);
    for (auto &[id, workspace] : shortage.workspaces_) {
        updateRates(workspace, shortage, seconds);
        const double rate = sumOf(arrivalsOf(workspace));
        const bool wasSmall = workspace.isSmall_;
        workspace.isSmall_ = rate < (wasSmall ? minWorkspaceRate : minWorkspaceRate / 2);
        if (!wasSmall || workspace.isSmall_)
            continue;
        for (std::size_t i = 0; i < rankCount; ++i)
            workspace.ranks_[i].credit_ = shortage.others_.ranks_[i].credit_;
    }
    std::erase_if(shortage.workspaces_, [](const auto &entry) {
        return sumOf(arrivalsOf(entry.second)) < forgottenWorkspaceRate;
    });
}

/// Corrects what is admitted during a shortage by what was admitted lately.
void updateCorrection(Shortage &shortage, double seconds)
{
    if (!shortage.isShort_) {
        shortage.correction_ = 1;
        return;
    }
    if (shortage.ownTarget_ <= precision)
        return;
    const double excess = sumOf(shortage.ownAdmitted_) / shortage.ownTarget_ - 1;
    shortage.correction_ *= std::exp(-correctionPerSecond * seconds * excess);
    shortage.correction_ = std::clamp(shortage.correction_, leastCorrection, mostCorrection);
}

/// Computes the region's demand from this instance's rates and its peers' reports.
void updateDemand(Shortage &shortage, const ShortageCapacity &capacity, SteadyTime now)
{
    std::erase_if(shortage.peers_, [now](const auto &entry) {
        return now - entry.second.countedAt_ > demandLifetime;
    });
    const double known = static_cast<double>(shortage.peers_.size() + 1);
    const double entries = std::max(known, static_cast<double>(capacity.entries_));
    shortage.freshPeers_ = shortage.peers_.size();
    shortage.demandByRank_ = shortage.ownArrivals_;
    for (const auto &[id, peer] : shortage.peers_) {
        for (std::size_t i = 0; i < rankCount; ++i)
            shortage.demandByRank_[i] += peer.arrivals_[i];
    }
    const double scale = entries / known * Model::inSeconds(capacity.meanWork_);
    for (double &demand : shortage.demandByRank_)
        demand *= scale;
    shortage.demand_ = sumOf(shortage.demandByRank_);
    shortage.slots_ = capacity.slots_;
}

bool updateState(Shortage &shortage, SteadyTime now)
{
    // Without slots in the region, the requests run in other regions.
    const bool isKnown = shortage.slots_ > 0;
    const double use = isKnown ? shortage.demand_ / shortage.slots_ : 0;
    const bool isCrossed = shortage.isShort_ ? use < shortageExitUse : use > shortageEntryUse;
    if (!isCrossed) {
        shortage.crossedSince_.reset();
        return false;
    }
    if (!shortage.crossedSince_)
        shortage.crossedSince_ = now;
    const auto period = shortage.isShort_ ? shortageExitPeriod : shortageEntryPeriod;
    if (now - *shortage.crossedSince_ < period)
        return false;
    shortage.isShort_ = !shortage.isShort_;
    shortage.changedAt_ = now;
    shortage.crossedSince_.reset();
    return true;
}

} // namespace

std::size_t rankIndex(int rank)
{
    return static_cast<std::size_t>(std::clamp(rank, 0, static_cast<int>(rankCount) - 1));
}

ShortageVerdict admitDuringShortage(Shortage &shortage, const ShortageRequest &request)
{
    const std::size_t index = rankIndex(request.rank_);
    WorkspaceDemand *counted = &shortage.others_;
    const auto known = shortage.workspaces_.find(request.workspace_);
    if (known != shortage.workspaces_.end()) {
        counted = &known->second;
    } else if (shortage.workspaces_.size() < maxWorkspacesCounted) {
        counted = &shortage.workspaces_[request.workspace_];
    }
    RankDemand &rank = counted->ranks_[index];
    // Late work counts as demand: while a queue makes all work late, the shortage is not over.
    ++rank.arrived_;
    if (shortage.isShort_) {
        if (request.expected_ > request.left_) {
            ++rank.late_;
            return ShortageVerdict::WouldBeLate;
        }
        RankDemand &credited = counted->isSmall_ ? shortage.others_.ranks_[index] : rank;
        credited.credit_ += credited.fraction_;
        if (credited.credit_ < 1 - precision)
            return ShortageVerdict::Refuse;
        credited.credit_ -= 1;
    }
    ++rank.admittedCount_;
    return ShortageVerdict::Admit;
}

bool updateShortage(Shortage &shortage, const ShortageCapacity &capacity, SteadyTime now)
{
    const bool isFirst = shortage.updatedAt_ == Model::distantPast;
    if (!isFirst && now - shortage.updatedAt_ < demandInterval)
        return false;
    const double seconds = Model::inSeconds(isFirst ? SteadyTime::duration(demandInterval)
                                                    : now - shortage.updatedAt_);
    updateAllRates(shortage, seconds);
    updateCorrection(shortage, seconds);
    shortage.updatedAt_ = now;
    updateDemand(shortage, capacity, now);
    const bool hasChanged = updateState(shortage, now);
    shortage.fractions_ = Shortage::allAdmitted();
    if (!shortage.isShort_)
        return hasChanged;
    double leastShare = 1;
    if (shortage.slots_ > 0 && shortage.demand_ > 0) {
        const double available = shortageAdmittedUse * shortage.slots_;
        shortage.fractions_ = admittedByRank(shortage.demandByRank_, available);
        leastShare = leastShareOfMean * std::min(1.0, available / shortage.demand_);
    }
    updateFractions(shortage, leastShare);
    return hasChanged;
}

void mergePeerDemand(Shortage &shortage, ServiceKey key, const Model::InstanceId &peer,
                     const std::vector<DemandItem> &items, SteadyTime now)
{
    PeerDemand report;
    Milliseconds age{0};
    for (const auto &item : items) {
        if (item.service_ != key)
            continue;
        age = std::max(age, item.age_);
        report.arrivals_[rankIndex(item.rank_)] += item.arrivals_.value();
        report.admitted_[rankIndex(item.rank_)] += item.admitted_.value();
    }
    if (age > demandLifetime)
        return;
    report.countedAt_ = now - age;
    const auto [known, isNew] = shortage.peers_.try_emplace(peer, report);
    if (!isNew && report.countedAt_ >= known->second.countedAt_)
        known->second = report;
}

void addDemandItems(std::vector<DemandItem> &items, ServiceKey key, const Shortage &shortage,
                    SteadyTime now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - shortage.updatedAt_);
    for (std::size_t i = 0; i < rankCount; ++i) {
        if (shortage.ownArrivals_[i] < forgottenWorkspaceRate)
            continue;
        items.push_back({key, static_cast<int>(i),
                         Model::RequestsPerSecond(shortage.ownArrivals_[i]),
                         Model::RequestsPerSecond(shortage.ownAdmitted_[i]), age});
    }
}

void keepLargestDemand(std::vector<DemandItem> &items)
{
    if (items.size() <= maxDemandPerMessage)
        return;
    const auto end = items.begin() + maxDemandPerMessage;
    std::nth_element(items.begin(), end, items.end(), [](const auto &a, const auto &b) {
        return a.arrivals_ > b.arrivals_;
    });
    items.erase(end, items.end());
}

ByRank admittedByRank(const ByRank &demand, double capacity)
{
    ByRank fractions = Shortage::allAdmitted();
    const double total = sumOf(demand);
    if (total <= capacity)
        return fractions;
    const double least = leastShareOfMean * capacity / total;
    double left = capacity - least * total;
    for (std::size_t i = 0; i < rankCount; ++i) {
        // A rank that no request has had yet is admitted if a less urgent one is.
        if (demand[i] <= precision) {
            fractions[i] = left > precision ? 1 : least;
            continue;
        }
        const double more = std::min(left, (1 - least) * demand[i]);
        fractions[i] = least + more / demand[i];
        left -= more;
    }
    return fractions;
}

WorkspaceShares workspaceShares(const Shortage &shortage)
{
    const auto shareOf = [](double admitted, double arrivals) {
        return arrivals > precision ? std::min(1.0, admitted / arrivals) : 1.0;
    };
    double othersArrivals = 0;
    double othersAdmitted = 0;
    std::vector<double> shares;
    const auto add = [&](const WorkspaceDemand &workspace) {
        double arrivals = 0;
        double admitted = 0;
        for (const auto &rank : workspace.ranks_) {
            arrivals += rank.arrivals_;
            admitted += rank.admitted_;
        }
        if (!workspace.isSmall_) {
            shares.push_back(shareOf(admitted, arrivals));
            return;
        }
        othersArrivals += arrivals;
        othersAdmitted += admitted;
    };
    add(shortage.others_);
    for (const auto &[id, workspace] : shortage.workspaces_)
        add(workspace);
    if (othersArrivals > precision || shares.empty())
        shares.push_back(shareOf(othersAdmitted, othersArrivals));
    const auto [least, most] = std::minmax_element(shares.begin(), shares.end());
    return {*least, *most};
}

ByRank measuredShares(const Shortage &shortage)
{
    ByRank shares = Shortage::allAdmitted();
    for (std::size_t i = 0; i < rankCount; ++i) {
        if (shortage.ownArrivals_[i] > precision)
            shares[i] = std::min(1.0, shortage.ownAdmitted_[i] / shortage.ownArrivals_[i]);
    }
    return shares;
}

} // namespace Policy
