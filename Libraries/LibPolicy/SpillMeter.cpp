#include "SpillMeter.h"

#include <algorithm>

namespace Policy {

namespace {

std::int64_t bucketNumber(Model::SteadyTime now)
{
    return now.time_since_epoch() / spillBucket;
}

struct Sum
{
    double requests_ = 0;
    double spilled_ = 0;
};

Sum sumOf(const SpillMeter &meter, Model::SteadyTime now)
{
    const auto number = bucketNumber(now);
    const auto oldest = number - static_cast<std::int64_t>(meter.buckets_.size());
    Sum sum;
    for (const auto &bucket : meter.buckets_) {
        if (bucket.number_ <= oldest || bucket.number_ > number)
            continue;
        sum.requests_ += bucket.requests_;
        sum.spilled_ += bucket.spilled_;
    }
    return sum;
}

} // namespace

void countRequest(SpillMeter &meter, bool isSpilled, Model::SteadyTime now)
{
    const auto number = bucketNumber(now);
    auto &bucket = meter.buckets_[static_cast<std::size_t>(number) % meter.buckets_.size()];
    if (bucket.number_ != number)
        bucket = {number, 0, 0};
    bucket.requests_ += 1;
    bucket.spilled_ += isSpilled ? 1 : 0;
}

bool maySpill(const SpillMeter &meter, Model::SharePerSecond cap, Model::SteadyTime now)
{
    const Sum sum = sumOf(meter, now);
    const double window = Model::inSeconds(spillBucket * meter.buckets_.size());
    const double share = std::min(1.0, cap.value() * window * spillPart);
    return sum.spilled_ + 1 <= share * (sum.requests_ + 1);
}

} // namespace Policy
