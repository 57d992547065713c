#pragma once

#include <LibPolicy/LibPolicy.h>

#include <cstdint>
#include <vector>

namespace Fakes {

/// How requests wait in a simulated fleet.
enum class Waiting {
    /// In one queue for all slots, first in, first out, without returns.
    Common,
    /// At the instances, in a Policy::WaitingQueue each.
    AtInstances,
};

/// Slots that all instances share, and the kind of request that takes them. A request takes from
/// half to three halves of the mean work time.
struct FleetModel
{
    std::size_t instances_ = 8;
    std::size_t slots_ = 64;
    Model::Milliseconds work_{100};
    Model::Milliseconds goal_{1000};
    Model::Milliseconds timeout_{3000};
    /// Refused callers return once, as announced.
    bool returnsOnce_ = false;

    /// Requests a second that the slots carry.
    double capacity() const { return static_cast<double>(slots_) / Model::inSeconds(work_); }
};

struct Arrival
{
    Model::Milliseconds at_{0};
    int rank_ = 0;
    int workspace_ = 0;
};

/// What became of an arrival.
struct Served
{
    Arrival arrival_;
    bool isAnswered_ = false;
    bool isRefused_ = false;
    bool wasSent_ = false;
    /// Since the first arrival.
    Model::Microseconds took_{0};
};

struct FleetResult
{
    std::vector<Served> requests_;
    /// When the last waiting request left a queue.
    Model::Milliseconds emptyAt_{0};
    /// Returns of refused callers in each bin of 100 ms.
    std::vector<int> returnsByTenth_;
};

/// Returns arrivals at \a perSecond from \a first to \a last with exponential gaps.
std::vector<Arrival> poisson(double perSecond, Model::Milliseconds first, Model::Milliseconds last,
                             int rank, int workspace, std::uint64_t seed);

/// Simulates \a arrivals, each at a random instance. A slot that comes free goes to the instance
/// whose request has ended, otherwise to whoever asks first; instances ask at an arrival and every
/// Policy::tickPeriod.
FleetResult simulate(const FleetModel &model, Waiting waiting, std::vector<Arrival> arrivals,
                     std::uint64_t seed);

} // namespace Fakes
