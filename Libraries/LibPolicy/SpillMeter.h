#pragma once

#include <LibModel/LibModel.h>

#include <array>
#include <cstddef>

namespace Policy {

/// Counts how many of an entry's recent requests left the region of their object's home. Not shared
/// between threads.
struct SpillMeter
{
    struct Bucket
    {
        std::int64_t number_ = -1;
        double requests_ = 0;
        double spilled_ = 0;
    };
    std::array<Bucket, 20> buckets_;
};

/// Duration of one bucket. All buckets together form the window in which a shift between regions is
/// measured.
constexpr Model::Milliseconds spillBucket{100};

/// Fraction of the allowed shift that spill-over may use. The rest covers the variation of the
/// homes themselves: a window holds few requests, so a region's share differs between windows even
/// if nothing moves.
constexpr double spillPart = 0.5;

/// Counts one request. Thread safety: \a meter belongs to the calling thread.
void countRequest(SpillMeter &meter, bool isSpilled, Model::SteadyTime now);

/// Returns whether one more request may leave the region of its home, where \a cap is the share of
/// the traffic that may move in a second.
///
/// Without it, at a peak each entry finds the home region slow and the others fast. A third of a
/// region's traffic leaves within two seconds, the targets there take three times as long on
/// objects that are cold to them, and all of it returns two seconds later. Each entry applies the
/// cap to its own traffic, so that the sum keeps it without a message. Thread safety: any thread.
bool maySpill(const SpillMeter &meter, Model::SharePerSecond cap, Model::SteadyTime now);

} // namespace Policy
