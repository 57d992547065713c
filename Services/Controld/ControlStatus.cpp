#include "ControlState.h"

#include <nlohmann/json.hpp>

namespace Controld {

using Model::Milliseconds;

std::string ControlState::statusText() const
{
    using nlohmann::json;
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    const Peers::InstanceRecord &self = gossip_.self_;
    json members = json::array();
    for (const auto &[id, member] : gossip_.members_.members_) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - member.recordReceivedAt_);
        members.push_back({{"id", id.value()},
                           {"alive", Peers::isAlive(member, now)},
                           {"leaving", member.record_.instance_.isLeaving_},
                           {"ready", member.record_.isReady_},
                           {"entry_version", member.record_.entryVersion_.value()},
                           {"age_ms", age.count()}});
    }
    json marks = json::array();
    for (const auto &[target, incarnation] : gossip_.members_.marks_.marks_)
        marks.push_back(target.value());
    json regions = json::array();
    for (const auto &[region, summary] : gossip_.members_.summaries_) {
        if (region == settings_.region_)
            continue;
        const auto age = std::chrono::duration_cast<Milliseconds>(
            now - gossip_.members_.summaryMadeAt_.at(region));
        regions.push_back({{"id", region.value()},
                           {"entries", summary.contacts_.size()},
                           {"out", !Peers::isFresh(gossip_.members_, region, now)},
                           {"age_ms", age.count()}});
    }
    json moving = json::array();
    for (const auto &walked : self.walked_) {
        json shares = json::object();
        for (const auto &share : walked.shares_)
            shares[share.domain_.value()] = share.share_.value();
        moving.push_back({{"service", walked.service_.value()},
                          {"origin", walked.origin_.value()},
                          {"shares", shares}});
    }
    const json status = {{"id", self.instance_.id_.value()},
                         {"region", self.instance_.region_.value()},
                         {"domain", self.instance_.domain_.value()},
                         {"ready", self.isReady_},
                         {"starting", self.isStarting_},
                         {"leaving", self.instance_.isLeaving_},
                         {"store_down", storeIsDown_},
                         {"control_version", self.controlVersion_.value()},
                         {"entry_version", self.entryVersion_.value()},
                         {"lookup_version", self.lookupVersion_.value()},
                         {"members", members},
                         {"regions", regions},
                         {"moving", moving},
                         {"leaving_targets", marks}};
    return status.dump() + "\n";
}

} // namespace Controld
