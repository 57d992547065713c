#pragma once

#include <LibPolicy/LibPolicy.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Simulated {

/// One instance with its own state.
struct Node
{
    Model::Instance instance_;
    Policy::Members members_;
    Policy::CrashRecords crashes_;
    bool isRunning_ = true;
};

/// The number of regions, of failure domains per region, and of instances per failure domain.
struct FleetShape
{
    std::size_t regions_ = 3;
    std::size_t domainsInRegion_ = 2;
    std::size_t perDomain_ = 1;
};

/// Instances that gossip in rounds, without a network: exchanges take no time, and all instances
/// make their rounds simultaneously. Deterministic.
class Fleet
{
public:
    static constexpr Model::Milliseconds roundPeriod{400};

    /// Each instance starts with the first one of each region as its seeds.
    explicit Fleet(const FleetShape &shape);
    /// \a perDomain instances in each of two failure domains in each of three regions.
    explicit Fleet(std::size_t perDomain);

    void playRounds(int rounds);
    /// Whether a message between two instances arrives; if not set, all messages do.
    std::function<bool(const Model::Instance &, const Model::Instance &)> isLinked_;

    std::vector<Node> nodes_;
    Model::SteadyTime now_{std::chrono::hours(1)};
    /// The number of exchanges, of those between regions, of those between failure domains of one
    /// region, and of members in the largest message.
    std::size_t exchanges_ = 0;
    std::size_t remoteExchanges_ = 0;
    std::size_t crossDomainExchanges_ = 0;
    std::size_t maxMembersInMessage_ = 0;
    /// Crashed incarnations and quarantine decisions sent so far.
    std::size_t crashRecordsSent_ = 0;

private:
    void incrementHeartbeat(Node &node);
    void exchange(Node &asker, Node &asked);
    void sendCrashUpdate(const Node &sender, Node &receiver);

    std::map<Model::InstanceId, std::size_t> indexById_;
    std::mt19937_64 random_{7};
};

} // namespace Simulated
