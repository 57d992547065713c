#pragma once

#include "FakePlatform.h"

#include <list>
#include <map>
#include <queue>
#include <set>
#include <vector>

namespace Fakes {

/// Processing times and failures of the simulated targets. A request for an object that a target
/// has loaded takes the warm time.
struct WorkModel
{
    Model::Milliseconds warm_{144};
    Model::Milliseconds cold_{480};
    /// Objects that a target keeps loaded; the least recently used one is evicted first.
    std::size_t objectCapacity_ = 1000000;
    /// One-way delay between regions.
    Model::Milliseconds interRegionDelay_{55};
    /// Targets that answer no request, and factors by which targets are slower than usual.
    std::set<std::string> unresponsive_;
    std::map<std::string, double> slowness_;
    /// Interval at which each entry and a random other one exchange target loads; zero disables the
    /// exchange.
    Model::Milliseconds loadExchangeInterval_{0};
};

/// One caller's request in a simulated load.
struct SimulatedRequest
{
    Model::Milliseconds at_{0};
    /// Index of the entry that receives it.
    std::size_t entry_ = 0;
    std::string route_ = "read";
    std::uint64_t object_ = 0;
};

/// Its outcome.
struct SimulatedResult
{
    std::string target_;
    bool isRefused_ = false;
    /// No answer arrived.
    bool isLost_ = false;
    Model::Milliseconds took_{0};
};

/// Simulates requests to targets with slots and queues, placed by one real PlacementEngine for each
/// entry, without a network. Events run in the order of their times.
std::vector<SimulatedResult> simulate(std::vector<InstanceFixture *> entries,
                                      const std::vector<SimulatedRequest> &requests,
                                      const WorkModel &model);

/// Returns the fraction of the results in [\a first, \a last) that were answered within \a goal.
double servedWithin(const std::vector<SimulatedResult> &results, std::size_t first,
                    std::size_t last, Model::Milliseconds goal);

} // namespace Fakes
