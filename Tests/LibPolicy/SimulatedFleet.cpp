#include "SimulatedFleet.h"

#include <algorithm>

namespace Simulated {

namespace {

void receive(Node &node, Policy::Member reported, Model::SteadyTime now)
{
    if (reported.instance_.id_ == node.instance_.id_)
        return;
    reported.isRemote_ = reported.instance_.region_ != node.instance_.region_;
    Policy::mergeMemberRecord(node.members_, reported, now - reported.heartbeatRecord_.age_);
}

void receiveUpdate(Node &node, const Policy::PeerUpdate &news, Model::SteadyTime now)
{
    for (const auto &member : news.fullRecords_)
        receive(node, member, now);
    for (const auto &pulse : news.heartbeatRecords_) {
        if (pulse.id_ != node.instance_.id_)
            Policy::mergeHeartbeatRecord(node.members_, pulse, now);
    }
}

} // namespace

Fleet::Fleet(const FleetShape &shape)
{
    for (std::size_t region = 0; region < shape.regions_; ++region) {
        const std::string regionName(1, static_cast<char>('r' + region));
        for (std::size_t domain = 0; domain < shape.domainsInRegion_; ++domain) {
            const std::string domainName = regionName + "-" + static_cast<char>('a' + domain);
            for (std::size_t i = 0; i < shape.perDomain_; ++i) {
                Node node;
                node.instance_.domain_ = Model::FailureDomainId(domainName);
                node.instance_.region_ = Model::RegionId(regionName);
                node.instance_.id_ = Model::InstanceId(domainName + std::to_string(i));
                indexById_[node.instance_.id_] = nodes_.size();
                nodes_.push_back(std::move(node));
            }
        }
    }
    const std::size_t inRegion = shape.domainsInRegion_ * shape.perDomain_;
    for (auto &node : nodes_) {
        for (std::size_t region = 0; region < shape.regions_; ++region) {
            Policy::Member seed;
            seed.instance_ = nodes_[region * inRegion].instance_;
            seed.isUnconfirmed_ = true;
            receive(node, seed, now_);
        }
    }
}

Fleet::Fleet(std::size_t perDomain)
    : Fleet(FleetShape{3, 2, perDomain})
{
}

void Fleet::incrementHeartbeat(Node &node)
{
    Policy::Member &own = node.members_[node.instance_.id_];
    own.instance_ = node.instance_;
    own.heartbeatAt_ = now_;
    own.heartbeatRecord_.id_ = node.instance_.id_;
    own.heartbeatRecord_.incarnation_ = Model::Incarnation(1);
    ++own.heartbeatRecord_.heartbeat_;
    own.heartbeatRecord_.regionEntries_ = static_cast<std::uint32_t>(
        Policy::entriesIn(node.members_, node.instance_.region_, now_));
}

void Fleet::exchange(Node &asker, Node &asked)
{
    const bool isLinked = !isLinked_ || isLinked_(asker.instance_, asked.instance_);
    if (!asked.isRunning_ || !isLinked)
        return;
    ++exchanges_;
    const bool isLocal = asker.instance_.region_ == asked.instance_.region_;
    remoteExchanges_ += isLocal ? 0 : 1;
    crossDomainExchanges_ += isLocal && asker.instance_.domain_ != asked.instance_.domain_ ? 1 : 0;
    const auto known = Policy::heartbeatRecordsForRequest(asker.members_, asker.instance_,
                                                          asked.instance_.region_, now_, random_());
    receive(asked, asker.members_.at(asker.instance_.id_), now_);
    receiveUpdate(asked, {{}, known}, now_);
    sendCrashUpdate(asker, asked);
    const auto news = Policy::peerUpdateFor(asked.members_, asked.instance_, asker.instance_, known,
                                            now_, random_());
    maxMembersInMessage_ = std::max({maxMembersInMessage_, known.size(),
                                     news.fullRecords_.size() + news.heartbeatRecords_.size()});
    receive(asker, asked.members_.at(asked.instance_.id_), now_);
    receiveUpdate(asker, news, now_);
    sendCrashUpdate(asked, asker);
}

void Fleet::sendCrashUpdate(const Node &sender, Node &receiver)
{
    const auto news = Policy::crashUpdateFrom(sender.crashes_, now_);
    crashRecordsSent_ += news.runs_.size() + news.quarantines_.size();
    Policy::takeIn(receiver.crashes_, news, now_);
}

void Fleet::playRounds(int rounds)
{
    for (int i = 0; i < rounds; ++i) {
        for (auto &node : nodes_) {
            Policy::forgetNonContacts(node.members_, now_);
            if (node.isRunning_)
                incrementHeartbeat(node);
        }
        for (auto &node : nodes_) {
            if (!node.isRunning_)
                continue;
            const auto peers = Policy::peersOfRound(node.members_, node.instance_, now_, random_());
            for (const auto &peer : peers) {
                const auto asked = indexById_.find(peer.id_);
                if (asked != indexById_.end())
                    exchange(node, nodes_[asked->second]);
            }
        }
        now_ += roundPeriod;
        for (auto &node : nodes_)
            Policy::judge(node.crashes_, now_);
    }
}

} // namespace Simulated
