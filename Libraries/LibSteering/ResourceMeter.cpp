#include "ResourceMeter.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <utility>

namespace Steering {

namespace {

constexpr Model::Milliseconds sampleInterval{500};
/// Weight of one sample: the average covers about two seconds.
constexpr double sampleWeight = 0.25;

Model::Microseconds durationOf(const timeval &time)
{
    return std::chrono::seconds(time.tv_sec) + Model::Microseconds(time.tv_usec);
}

double partOf(double used, double available)
{
    return available > 0 ? used / available : 0;
}

} // namespace

double tightestUse(const ResourceUse &use)
{
    return *std::max_element(use.begin(), use.end());
}

const char *nameOf(Resource resource)
{
    switch (resource) {
    case Resource::Cpu:
        return "cpu";
    case Resource::Memory:
        return "memory";
    case Resource::Descriptors:
        return "descriptors";
    case Resource::Link:
        break;
    }
    return "link";
}

ResourceCount countOwnResources()
{
    ResourceCount count;
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    count.cpuTime_ = durationOf(used.ru_utime) + durationOf(used.ru_stime);
    const auto heap = mallinfo2();
    count.memoryBytes_ = heap.arena + heap.hblkhd;
    return count;
}

bool ResourceMeter::isDue(Model::SteadyTime now) const
{
    return now - sampledAt_ >= sampleInterval;
}

void ResourceMeter::sample(const ResourceCount &count, Model::SteadyTime now)
{
    const bool isFirst = sampledAt_ == Model::distantPast;
    const double elapsed = Model::inSeconds(now - sampledAt_);
    const ResourceCount earlier = std::exchange(last_, count);
    sampledAt_ = now;
    if (isFirst || elapsed <= 0)
        return;
    constexpr double bitsPerMegabit = 1e6;
    constexpr double bytesPerMegabyte = 1048576;
    const double cpu = Model::inSeconds(count.cpuTime_ - earlier.cpuTime_) / elapsed;
    const double bits = static_cast<double>(count.linkBytes_ - earlier.linkBytes_) * 8;
    const double megabytes = static_cast<double>(count.memoryBytes_) / bytesPerMegabyte;
    const ResourceUse current = {
        partOf(cpu, size_.cpu_.value()),
        partOf(megabytes, static_cast<double>(size_.memory_.value())),
        partOf(static_cast<double>(count.descriptors_),
               static_cast<double>(size_.descriptors_.value())),
        partOf(bits / bitsPerMegabit / elapsed, size_.link_.value()),
    };
    for (std::size_t i = 0; i < resourceCount; ++i)
        use_[i] += (current[i] - use_[i]) * sampleWeight;
}

} // namespace Steering
