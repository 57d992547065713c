#pragma once

#include <LibModel/LibModel.h>

#include <array>
#include <cstddef>

namespace Policy {

/// How many of an entry's requests left the region of their object's home lately.
/// Not shared between threads.
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

/// The window in which a shift between regions is judged, one bucket for each tenth of a second.
constexpr Model::Milliseconds spillBucket{100};

/// Part of the allowed shift that spilling may use; the rest is for the scatter of the homes
/// themselves: a window holds few requests, so a region's share differs between windows even where
/// nothing moves.
constexpr double spillPart = 0.5;

/// Counts one request. Thread safety: \a meter belongs to the calling thread.
void countRequest(SpillMeter &meter, bool isSpilled, Model::SteadyTime now);

/// Tells whether one more request may leave the region of its home, where \a cap of the traffic may
/// move in a second.
///
/// What goes wrong without it: at a peak each entry finds the home region slow and the others fast,
/// a third of a region's traffic leaves within two seconds, the targets there work three times as
/// long on objects that they do not know, and it all comes back two seconds later. Each entry
/// applies the cap to its own traffic, so that the sum keeps it without a message.
/// Thread safety: any thread.
bool maySpill(const SpillMeter &meter, Model::SharePerSecond cap, Model::SteadyTime now);

} // namespace Policy
