#pragma once

#include <LibPolicy/LibPolicy.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Simulated {

/// One instance with what it knows of the others.
struct Node
{
    Model::Instance instance_;
    Policy::Members members_;
    Policy::CrashBook crashes_;
    bool isRunning_ = true;
};

/// How many regions a fleet has, how many failure domains each, and how many instances those.
struct FleetShape
{
    std::size_t regions_ = 3;
    std::size_t domainsInRegion_ = 2;
    std::size_t perDomain_ = 1;
};

/// Instances that tell each other of themselves in rounds, without a network: exchanges take no
/// time, and all instances make their rounds at the same moments. The same in every run.
class Fleet
{
public:
    static constexpr Model::Milliseconds roundPeriod{400};

    /// Each instance begins with the first one of each region as the only ones that it knows.
    explicit Fleet(const FleetShape &shape);
    /// \a perDomain instances in each of two failure domains in each of three regions.
    explicit Fleet(std::size_t perDomain);

    void playRounds(int rounds);
    /// Whether a message between two instances arrives; all do if this is not set.
    std::function<bool(const Model::Instance &, const Model::Instance &)> isLinked_;

    std::vector<Node> nodes_;
    Model::SteadyTime now_{std::chrono::hours(1)};
    /// Exchanges so far, those between regions, those between failure domains of one region, and
    /// members named in the largest message.
    std::size_t exchanges_ = 0;
    std::size_t farExchanges_ = 0;
    std::size_t acrossDomains_ = 0;
    std::size_t mostNamed_ = 0;
    /// Ended runs and verdicts told so far.
    std::size_t crashesTold_ = 0;

private:
    void beat(Node &node);
    void ask(Node &asker, Node &asked);
    void tellCrashes(const Node &teller, Node &listener);

    std::map<Model::InstanceId, std::size_t> places_;
    std::mt19937_64 random_{7};
};

} // namespace Simulated
