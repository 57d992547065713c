#pragma once

#include "Units.h"

#include <cstdint>

namespace Model {

/// The part of a processor core that a process may use; above 1 for several cores.
using CpuShare = StrongNumber<struct CpuShareTag, double>;
using Megabytes = StrongNumber<struct MegabytesTag, std::int64_t>;
/// The number of file descriptors that a process may open.
using Descriptors = StrongNumber<struct DescriptorsTag, std::int64_t>;
using MegabitsPerSecond = StrongNumber<struct MegabitsPerSecondTag, double>;

/// What an instance may use of its resources. Zero stands for an unknown quantity.
struct InstanceSize
{
    CpuShare cpu_;
    Megabytes memory_;
    Descriptors descriptors_;
    MegabitsPerSecond link_;

    bool operator==(const InstanceSize &) const = default;
    bool isKnown() const { return link_.value() > 0; }
};

} // namespace Model
