#pragma once

#include <LibModel/LibModel.h>

#include <array>
#include <cstdint>

namespace Steering {

enum class Resource { Cpu, Memory, Descriptors, Link };
constexpr std::size_t resourceCount = 4;

/// The used parts of an instance's resources, by Resource; zero where its size is not known.
using ResourceUse = std::array<double, resourceCount>;

/// Returns the used part of the tightest resource. Thread safety: any thread.
double tightestUse(const ResourceUse &use);
/// Returns the label value for metrics. Thread safety: any thread.
const char *nameOf(Resource resource);

/// What a process has used up to a point in time.
struct ResourceCount
{
    Model::Microseconds cpuTime_{0};
    std::uint64_t memoryBytes_ = 0;
    std::size_t descriptors_ = 0;
    /// Bytes sent on the instance's link in either direction.
    std::uint64_t linkBytes_ = 0;
};

/// Returns the processor time and the memory of this process. Thread safety: any thread.
ResourceCount countOwnResources();

/// Measures the used part of each resource as a moving average.
///
/// Thread safety: none; belongs to one thread.
class ResourceMeter
{
public:
    explicit ResourceMeter(const Model::InstanceSize &size)
        : size_(size)
    {
    }

    /// Tells whether a sample is due.
    bool isDue(Model::SteadyTime now) const;
    void sample(const ResourceCount &count, Model::SteadyTime now);
    const ResourceUse &use() const { return use_; }

private:
    Model::InstanceSize size_;
    ResourceUse use_{};
    ResourceCount last_;
    Model::SteadyTime sampledAt_ = Model::distantPast;
};

} // namespace Steering
