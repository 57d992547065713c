#include "Dissemination.h"

#include <algorithm>

namespace Policy {

namespace {

constexpr Model::Milliseconds minPollPeriod{100};

} // namespace

Model::Milliseconds pollPeriod(std::size_t members, double fleetReadsPerSecond)
{
    const double seconds = static_cast<double>(std::max<std::size_t>(1, members))
                           / std::max(0.001, fleetReadsPerSecond);
    const Model::Milliseconds period(static_cast<long long>(seconds * 1000));
    return std::max(minPollPeriod, period);
}

std::vector<std::size_t> choosePeers(std::size_t members, std::size_t count,
                                     const std::vector<std::uint64_t> &draws)
{
    std::vector<std::size_t> left(members);
    for (std::size_t i = 0; i < members; ++i)
        left[i] = i;
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < count && !left.empty(); ++i) {
        const std::size_t position = draws[i] % left.size();
        chosen.push_back(left[position]);
        left[position] = left.back();
        left.pop_back();
    }
    return chosen;
}

bool mayApply(Model::TableVersion held, Model::TableVersion offered)
{
    return offered > held;
}

bool markLeaving(LeavingMarks &marks, const Model::TargetId &target, Model::Incarnation incarnation)
{
    const auto [mark, isNew] = marks.marks_.try_emplace(target, incarnation);
    if (isNew)
        return true;
    if (incarnation <= mark->second)
        return false;
    mark->second = incarnation;
    return true;
}

bool isLeaving(const LeavingMarks &marks, const Model::TargetId &target,
               Model::Incarnation incarnation)
{
    const auto mark = marks.marks_.find(target);
    return mark != marks.marks_.end() && incarnation <= mark->second;
}

bool mayServe(const StartupState &knowledge)
{
    if (knowledge.heldVersion_ == Model::TableVersion(0))
        return false;
    const bool isStoreEnough = knowledge.storeAnswered_ && knowledge.peersAnswered_
                               && knowledge.heldVersion_ >= knowledge.storeVersion_;
    if (!isStoreEnough && knowledge.peerVersions_.size() < domainsNeededToStart)
        return false;
    return std::all_of(knowledge.peerVersions_.begin(), knowledge.peerVersions_.end(),
                       [&](const auto &entry) {
                           return entry.second <= knowledge.heldVersion_;
                       });
}

} // namespace Policy
